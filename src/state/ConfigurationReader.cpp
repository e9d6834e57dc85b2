/// \file
/// Implements reading a version from its chunks.
#include "state/ConfigurationReader.h"

#include <utility>

namespace banyanworks {

namespace {

constexpr Duration ReadLimit = std::chrono::seconds(3);

} // namespace

ConfigurationReader::ConfigurationReader(ConfigurationManifest Manifest) {
  Snapshot.Manifest = std::move(Manifest);
}

std::optional<StoreCommand> ConfigurationReader::nextCommand() const {
  if (Failed || ChunksRead == Snapshot.Manifest.Chunks.size())
    return std::nullopt;
  return StoreCommand{
      StoreTag(), GetRequest{Snapshot.Manifest.Chunks[ChunksRead]}, ReadLimit};
}

void ConfigurationReader::handleOutcome(const StoreOutcome &Outcome) {
  const auto *Read = std::get_if<EntryAnswer>(&Outcome.Answer.Result);
  if (Outcome.Status != StoreStatus::Done || !Read || !Read->Entry) {
    Failed = true;
    return;
  }
  Snapshot.Payload += Read->Entry->Value;
  ++ChunksRead;
  if (ChunksRead == Snapshot.Manifest.Chunks.size())
    Failed = !isIntact(Snapshot);
}

ConfigurationSnapshotPtr ConfigurationReader::snapshot() const {
  if (Failed || ChunksRead != Snapshot.Manifest.Chunks.size())
    return nullptr;
  return std::make_shared<const ConfigurationSnapshot>(Snapshot);
}

} // namespace banyanworks
