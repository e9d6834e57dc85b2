/// \file
/// Defines ConfigurationReader, which reads the payload of one version from its
/// chunks and verifies the digest.
#ifndef BANYANWORKS_STATE_CONFIGURATIONREADER_H
#define BANYANWORKS_STATE_CONFIGURATIONREADER_H

#include "state/ConfigurationManifest.h"
#include "state/StoreCommand.h"

#include <optional>
#include <string>

namespace banyanworks {

/// State machine that reads the chunks of a manifest in sequence.
class ConfigurationReader {
public:
  explicit ConfigurationReader(ConfigurationManifest Manifest);

  /// The next store operation; nothing after the last chunk or a failure.
  std::optional<StoreCommand> nextCommand() const;
  /// Takes the outcome of the operation that nextCommand() returned.
  void handleOutcome(const StoreOutcome &Outcome);
  bool failed() const { return Failed; }
  const ConfigurationManifest &manifest() const { return Snapshot.Manifest; }
  /// The complete version; null until all chunks are read and the digest
  /// matches.
  ConfigurationSnapshotPtr snapshot() const;

private:
  ConfigurationSnapshot Snapshot;
  std::size_t ChunksRead = 0;
  bool Failed = false;
};

} // namespace banyanworks

#endif
