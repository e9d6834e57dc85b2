/// \file
/// Defines ConfigurationReader, which reads one version's payload from its
/// chunks and checks it.
#ifndef BANYANWORKS_STATE_CONFIGURATIONREADER_H
#define BANYANWORKS_STATE_CONFIGURATIONREADER_H

#include "state/ConfigurationManifest.h"
#include "state/StoreCommand.h"

#include <optional>
#include <string>

namespace banyanworks {

/// Reads the chunks of a manifest one after another.
class ConfigurationReader {
public:
  explicit ConfigurationReader(ConfigurationManifest Manifest);

  /// The next operation; nothing once all chunks are read or reading failed.
  std::optional<StoreCommand> nextCommand() const;
  /// Takes the outcome of next().
  void handleOutcome(const StoreOutcome &Outcome);
  bool failed() const { return Failed; }
  const ConfigurationManifest &manifest() const { return Snapshot.Manifest; }
  /// The whole version; null until it is read and found intact.
  ConfigurationSnapshotPtr snapshot() const;

private:
  ConfigurationSnapshot Snapshot;
  std::size_t ChunksRead = 0;
  bool Failed = false;
};

} // namespace banyanworks

#endif
