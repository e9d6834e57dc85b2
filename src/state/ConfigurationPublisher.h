/// \file
/// Defines ConfigurationPublisher, which publishes one version of the
/// configuration: it writes the chunks, then replaces the root by
/// compare-and-swap.
#ifndef BANYANWORKS_STATE_CONFIGURATIONPUBLISHER_H
#define BANYANWORKS_STATE_CONFIGURATIONPUBLISHER_H

#include "base/Reason.h"
#include "state/ConfigurationManifest.h"
#include "state/StoreCommand.h"

#include <optional>
#include <string>

namespace banyanworks {

/// The input of a publication.
struct Publication {
  /// The version that the change is based on; any other version in the store is
  /// a conflict.
  ConfigVersion Base;
  /// The new version: Base plus one, unless a version that the store lost is
  /// published again.
  ConfigVersion Version;
  std::string Payload;
  std::string Author;
  std::string Comment;
};

/// The outcome of a publication.
enum class PublishStatus : std::uint8_t {
  /// The version is in the store and is never withdrawn.
  Accepted,
  /// Another version was published since Base; the configuration is unchanged.
  Conflict,
  /// The store could not be reached; the configuration is unchanged.
  NotApplied,
  /// The version may have been published; read the history to find out.
  Unknown,
};

/// The outcome of a publication with its details.
struct PublishResult {
  PublishStatus Status = PublishStatus::Unknown;
  Reason Cause = Reason::None;
  ConfigVersion Version;
  /// For Conflict: the manifest that the store has instead of Base.
  std::optional<ConfigurationManifest> Current;
};

/// State machine that publishes one version with one store operation at a time.
class ConfigurationPublisher {
public:
  /// \p Identity must not have been used for another write.
  ConfigurationPublisher(Publication Change, const WriteIdentity &Identity);

  /// Returns the first store operation.
  StoreCommand start();
  /// Takes the outcome of the previous operation; returns the next operation,
  /// or nothing after the last one.
  std::optional<StoreCommand> handleOutcome(const StoreOutcome &Outcome);
  /// The result, once it is known. Operations that delete unused keys may still
  /// follow.
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
  std::optional<StoreCommand> abandon(PublishStatus Status, Reason Cause);
  StoreCommand updateRoot();
  StoreCommand makeCommand(StoreRequest Request);
  /// True if the root lists this publication among its recent writes.
  bool isAmongRecent(const ConfigurationManifest &Root) const;

  Publication Change;
  WriteIdentity Identity;
  Step CurrentStep = Step::ReadRoot;
  std::optional<ConfigurationManifest> Root;
  std::string RootValue;
  StoreRevision RootVersion;
  ConfigurationManifest Manifest;
  std::size_t ChunksWritten = 0;
  std::vector<std::string> KeysToDelete;
  std::optional<PublishResult> Result;
};

} // namespace banyanworks

#endif
