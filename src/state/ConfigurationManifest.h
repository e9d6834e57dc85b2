/// \file
/// Defines ConfigurationManifest, which describes one version of the
/// configuration and lists the chunks that hold its payload, and the store keys
/// of manifests.
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
/// Maximum payload bytes per chunk.
inline constexpr std::size_t ConfigurationChunkBytes = 512 << 10;
/// Versions that the history retains.
inline constexpr std::uint64_t MaxHistoryVersions = 200;
/// Maximum number of recent writes that a manifest lists.
inline constexpr std::size_t MaxRecentWrites = 16;

/// A published version and the write that published it.
struct PublishedWrite {
  ConfigVersion Version;
  WriteIdentity Identity;

  bool operator==(const PublishedWrite &) const = default;
};

/// The location and digest of a version's payload.
struct ConfigurationManifest {
  ConfigVersion Version;
  /// 128-bit hash of the payload, in hexadecimal.
  std::string Digest;
  std::uint64_t PayloadBytes = 0;
  /// Keys of the chunks in payload order.
  std::vector<std::string> Chunks;
  std::string Author;
  std::string Comment;
  /// The latest writes, newest first, including this one. A publisher that lost
  /// the store's answer finds its own version here even after that version was
  /// superseded.
  std::vector<PublishedWrite> Recent;

  bool operator==(const ConfigurationManifest &) const = default;
};

/// A manifest with its complete payload.
struct ConfigurationSnapshot {
  ConfigurationManifest Manifest;
  std::string Payload;
};

using ConfigurationSnapshotPtr = std::shared_ptr<const ConfigurationSnapshot>;

/// Encodes the manifest as a store value stamped with \p Identity.
std::string encodeManifest(const ConfigurationManifest &Manifest,
                           const WriteIdentity &Identity);

/// Decodes the output of encodeManifest(); returns nothing if the value is
/// malformed.
std::optional<ConfigurationManifest> decodeManifest(std::string_view Value);

/// The 128-bit hash of a payload, as 32 hexadecimal digits.
std::string payloadDigest(std::string_view Payload);

/// True if size and digest of the payload match the manifest.
bool isIntact(const ConfigurationSnapshot &Snapshot);

/// The key of a superseded version's manifest.
std::string historyKey(ConfigVersion Version);

} // namespace banyanworks

#endif
