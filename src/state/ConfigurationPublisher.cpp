/// \file
/// Implements the sequence of store operations that publishes a version.
#include "state/ConfigurationPublisher.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

constexpr Duration StepTimeout = std::chrono::seconds(5);

/// The entry that a read returned, or the current entry of a write conflict.
std::optional<StoreEntry> entryOf(const StoreAnswer &Answer) {
  if (const auto *Read = std::get_if<EntryAnswer>(&Answer.Result))
    return Read->Entry;
  if (const auto *Conflict = std::get_if<ConflictAnswer>(&Answer.Result))
    return Conflict->Current;
  return std::nullopt;
}

} // namespace

ConfigurationPublisher::ConfigurationPublisher(Publication Publish,
                                               const WriteIdentity &Identity)
    : Change(std::move(Publish)), Identity(Identity) {
  Manifest.Version = Change.Version;
  Manifest.Digest = payloadDigest(Change.Payload);
  Manifest.PayloadBytes = Change.Payload.size();
  Manifest.Author = Change.Author;
  Manifest.Comment = Change.Comment;
  std::size_t Count = (Change.Payload.size() + ConfigurationChunkBytes - 1) /
                      ConfigurationChunkBytes;
  for (std::size_t I = 0; I != Count; ++I)
    Manifest.Chunks.push_back("config/chunk/" + toText(Identity) + "/" +
                              std::to_string(I));
}

StoreCommand ConfigurationPublisher::start() {
  return makeCommand(GetRequest{std::string(ConfigurationRootKey)});
}

std::optional<StoreCommand>
ConfigurationPublisher::handleOutcome(const StoreOutcome &Outcome) {
  switch (CurrentStep) {
  case Step::ReadRoot:
    return onRootRead(Outcome);
  case Step::WriteHistory:
    if (Outcome.Status != StoreStatus::Done)
      return abandon(PublishStatus::NotApplied, Outcome.Cause);
    CurrentStep = Step::WriteChunks;
    return nextChunkWrite();
  case Step::WriteChunks:
    if (Outcome.Status != StoreStatus::Done)
      return abandon(PublishStatus::NotApplied, Outcome.Cause);
    ++ChunksWritten;
    return nextChunkWrite();
  case Step::UpdateRoot:
    return onRootUpdated(Outcome);
  case Step::ReadOldest:
    return onOldestRead(Outcome);
  case Step::DeleteOldest:
  case Step::DeleteOwnChunks:
    return nextDelete();
  case Step::Finished:
    break;
  }
  return std::nullopt;
}

std::optional<StoreCommand>
ConfigurationPublisher::onRootRead(const StoreOutcome &Outcome) {
  if (Outcome.Status != StoreStatus::Done)
    return abandon(PublishStatus::NotApplied, Outcome.Cause);
  if (auto Entry = entryOf(Outcome.Answer)) {
    Root = decodeManifest(Entry->Value);
    RootVersion = Entry->Version;
    RootValue = std::move(Entry->Value);
  }
  ConfigVersion Current = Root ? Root->Version : ConfigVersion();
  if (Current != Change.Base)
    return abandon(PublishStatus::Conflict, Reason::VersionConflict);
  Manifest.Recent = {{Change.Version, Identity}};
  if (!Root) {
    CurrentStep = Step::WriteChunks;
    return nextChunkWrite();
  }
  std::size_t KeptCount = std::min(Root->Recent.size(), MaxRecentWrites - 1);
  Manifest.Recent.insert(Manifest.Recent.end(), Root->Recent.begin(),
                         Root->Recent.begin() + static_cast<long>(KeptCount));
  // A superseded root never changes again, so concurrent publishers write the
  // same value under this key.
  CurrentStep = Step::WriteHistory;
  return makeCommand(PutRequest{historyKey(Root->Version), RootValue, {}, {}});
}

std::optional<StoreCommand> ConfigurationPublisher::nextChunkWrite() {
  if (ChunksWritten == Manifest.Chunks.size())
    return updateRoot();
  std::size_t Offset = ChunksWritten * ConfigurationChunkBytes;
  return makeCommand(
      PutRequest{Manifest.Chunks[ChunksWritten],
                 Change.Payload.substr(Offset, ConfigurationChunkBytes),
                 {},
                 {}});
}

StoreCommand ConfigurationPublisher::updateRoot() {
  CurrentStep = Step::UpdateRoot;
  return makeCommand(PutRequest{std::string(ConfigurationRootKey),
                                encodeManifest(Manifest, Identity),
                                RootVersion,
                                {}});
}

std::optional<StoreCommand>
ConfigurationPublisher::onRootUpdated(const StoreOutcome &Outcome) {
  if (auto Entry = entryOf(Outcome.Answer))
    Root = decodeManifest(Entry->Value);
  switch (Outcome.Status) {
  case StoreStatus::Done:
    break;
  case StoreStatus::Conflict:
    return abandon(PublishStatus::Conflict, Reason::VersionConflict);
  case StoreStatus::NotApplied:
    return abandon(PublishStatus::NotApplied, Outcome.Cause);
  case StoreStatus::Overwritten:
    if (Root && isAmongRecent(*Root))
      break;
    // If the list of recent writes reaches back to Base and lacks this write,
    // the write was never applied. Otherwise the outcome is unknown.
    if (Root && Root->Version.value() < Change.Base.value() + MaxRecentWrites)
      return abandon(PublishStatus::Conflict, Reason::VersionConflict);
    [[fallthrough]];
  case StoreStatus::Unknown:
    Result = PublishResult{PublishStatus::Unknown, Outcome.Cause,
                           Change.Version, Root};
    CurrentStep = Step::Finished;
    return std::nullopt;
  }
  Result = PublishResult{PublishStatus::Accepted, Reason::None, Change.Version,
                         std::nullopt};
  if (Change.Version.value() <= MaxHistoryVersions) {
    CurrentStep = Step::Finished;
    return std::nullopt;
  }
  CurrentStep = Step::ReadOldest;
  ConfigVersion Oldest(Change.Version.value() - MaxHistoryVersions);
  KeysToDelete = {historyKey(Oldest)};
  return makeCommand(GetRequest{KeysToDelete.front()});
}

std::optional<StoreCommand>
ConfigurationPublisher::onOldestRead(const StoreOutcome &Outcome) {
  std::optional<StoreEntry> Entry = entryOf(Outcome.Answer);
  if (Outcome.Status != StoreStatus::Done || !Entry) {
    CurrentStep = Step::Finished;
    return std::nullopt;
  }
  if (auto Oldest = decodeManifest(Entry->Value))
    KeysToDelete.insert(KeysToDelete.end(), Oldest->Chunks.begin(),
                        Oldest->Chunks.end());
  CurrentStep = Step::DeleteOldest;
  return nextDelete();
}

std::optional<StoreCommand> ConfigurationPublisher::nextDelete() {
  if (KeysToDelete.empty()) {
    CurrentStep = Step::Finished;
    return std::nullopt;
  }
  std::string Key = std::move(KeysToDelete.back());
  KeysToDelete.pop_back();
  return makeCommand(DeleteRequest{std::move(Key), std::nullopt});
}

std::optional<StoreCommand>
ConfigurationPublisher::abandon(PublishStatus Status, Reason Cause) {
  Result = PublishResult{Status, Cause, Change.Version, Root};
  // Chunk keys contain this publication's identity, so no other manifest refers
  // to them.
  KeysToDelete.assign(Manifest.Chunks.begin(),
                      Manifest.Chunks.begin() +
                          static_cast<long>(ChunksWritten));
  CurrentStep = Step::DeleteOwnChunks;
  return nextDelete();
}

StoreCommand ConfigurationPublisher::makeCommand(StoreRequest Request) {
  return {StoreTag(), std::move(Request), StepTimeout};
}

bool ConfigurationPublisher::isAmongRecent(
    const ConfigurationManifest &Current) const {
  for (const PublishedWrite &Write : Current.Recent)
    if (Write.Identity == Identity)
      return true;
  return false;
}

} // namespace banyanworks
