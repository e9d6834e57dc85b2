/// \file
/// Defines ConfigurationPublisher, which publishes one version of the
/// configuration: chunks first, then one compare-and-swap of the root.
#ifndef BANYANWORKS_STATE_CONFIGURATIONPUBLISHER_H
#define BANYANWORKS_STATE_CONFIGURATIONPUBLISHER_H

#include "base/Reason.h"
#include "state/ConfigurationManifest.h"
#include "state/StoreCommand.h"

#include <optional>
#include <string>

namespace banyanworks {

/// What is to be published.
struct Publication {
  /// The version that the change was made from; any other in the store is a
  /// conflict.
  ConfigVersion Base;
  /// The new version; greater than Base by one, except when a version that the
  /// store lost is put back.
  ConfigVersion Version;
  std::string Payload;
  std::string Author;
  std::string Comment;
};

/// How a publication ended.
enum class PublishStatus : std::uint8_t {
  /// The version is in the store and is never taken back.
  Accepted,
  /// Another version was published since Base; nothing changed.
  Conflict,
  /// Nothing changed, as the store could not be reached.
  NotApplied,
  /// The version may have been published; read the history to find out.
  Unknown,
};

/// The end of a publication.
struct PublishResult {
  PublishStatus Status = PublishStatus::Unknown;
  Reason Why = Reason::None;
  ConfigVersion Version;
  /// The manifest that stands in the way, for Conflict.
  std::optional<ConfigurationManifest> Current;
};

/// Publishes one version. It asks for one store operation at a time.
class ConfigurationPublisher {
public:
  /// \p Identity must not have been used for another write.
  ConfigurationPublisher(Publication Change, const WriteIdentity &Identity);

  /// The first operation.
  StoreCommand start();
  /// Takes an outcome; returns the next operation, or nothing at the end.
  std::optional<StoreCommand> handleOutcome(const StoreOutcome &Outcome);
  /// The result, as soon as it is known; operations that only tidy up may
  /// still follow.
  const std::optional<PublishResult> &result() const { return Result; }

private:
  enum class Step : std::uint8_t {
    ReadRoot,
    WriteHistory,
    WriteChunks,
    UpdateRoot,
    ReadOldest,
    DeleteOldest,
    DeleteOwnChunks,
    Finished,
  };

  std::optional<StoreCommand> onRootRead(const StoreOutcome &Outcome);
  std::optional<StoreCommand> nextChunkWrite();
  std::optional<StoreCommand> onRootUpdated(const StoreOutcome &Outcome);
  std::optional<StoreCommand> onOldestRead(const StoreOutcome &Outcome);
  std::optional<StoreCommand> nextDelete();
  std::optional<StoreCommand> abandon(PublishStatus Status, Reason Why);
  StoreCommand updateRoot();
  StoreCommand makeCommand(StoreRequest Request);
  /// True if the root names this publication among its latest writes.
  bool isAmongRecent(const ConfigurationManifest &Root) const;

  Publication Change;
  WriteIdentity Identity;
  Step CurrentStep = Step::ReadRoot;
  std::optional<ConfigurationManifest> Root;
  std::string RootValue;
  StoreRevision RootVersion;
  ConfigurationManifest Manifest;
  std::size_t ChunksWritten = 0;
  std::vector<std::string> ToDelete;
  std::optional<PublishResult> Result;
};

} // namespace banyanworks

#endif
