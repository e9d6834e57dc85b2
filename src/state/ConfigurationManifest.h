/// \file
/// Defines ConfigurationManifest, the small value by which one version of the
/// configuration is found in the store, and the keys that it is kept under.
#ifndef BANYANWORKS_STATE_CONFIGURATIONMANIFEST_H
#define BANYANWORKS_STATE_CONFIGURATIONMANIFEST_H

#include "base/Ids.h"
#include "state/WriteIdentity.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanworks {

/// The key whose compare-and-swap publishes a version.
inline constexpr std::string_view ConfigurationRootKey = "config/root";
/// Payload bytes in one chunk.
inline constexpr std::size_t ConfigurationChunkBytes = 512 << 10;
/// Versions that stay in the history.
inline constexpr std::uint64_t MaxHistoryVersions = 200;
/// Recent writes that a manifest names.
inline constexpr std::size_t MaxRecentWrites = 16;

/// A published version and the write that published it.
struct PublishedWrite {
  ConfigVersion Version;
  WriteIdentity Identity;

  bool operator==(const PublishedWrite &) const = default;
};

/// Where a version's payload is and what it must hash to.
struct ConfigurationManifest {
  ConfigVersion Version;
  /// 128-bit hash of the payload, in hexadecimal.
  std::string Digest;
  std::uint64_t PayloadBytes = 0;
  /// Keys of the chunks in order.
  std::vector<std::string> Chunks;
  std::string Author;
  std::string Comment;
  /// The latest writes, this one first, so that a publisher whose answer was
  /// lost finds its own version also after it was superseded.
  std::vector<PublishedWrite> Recent;

  bool operator==(const ConfigurationManifest &) const = default;
};

/// One whole version.
struct ConfigurationSnapshot {
  ConfigurationManifest Manifest;
  std::string Payload;
};

using ConfigurationSnapshotPtr = std::shared_ptr<const ConfigurationSnapshot>;

/// The manifest as a stamped store value.
std::string encodeManifest(const ConfigurationManifest &Manifest,
                           const WriteIdentity &Identity);

/// Reads what encodeManifest() wrote; nothing if the value is damaged.
std::optional<ConfigurationManifest> decodeManifest(std::string_view Value);

/// The hash by which a payload is checked.
std::string payloadDigest(std::string_view Payload);

/// True if the payload is the one that the manifest names.
bool isIntact(const ConfigurationSnapshot &Snapshot);

/// The key of a superseded version's manifest.
std::string historyKey(ConfigVersion Version);

} // namespace banyanworks

#endif
