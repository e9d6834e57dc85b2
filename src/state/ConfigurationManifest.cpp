/// \file
/// Implements the JSON encoding of manifests.
#include "state/ConfigurationManifest.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cstdio>

namespace banyanworks {

namespace {

using Json = nlohmann::json;

std::vector<PublishedWrite> recentWritesFromJson(const Json &List) {
  std::vector<PublishedWrite> Recent;
  for (const Json &Entry : List) {
    auto Identity = parseWriteIdentity(Entry.at("identity").get<std::string>());
    if (!Identity)
      continue;
    ConfigVersion Version(Entry.at("version").get<std::uint64_t>());
    Recent.push_back({Version, *Identity});
  }
  return Recent;
}

} // namespace

std::string encodeManifest(const ConfigurationManifest &Manifest,
                           const WriteIdentity &Identity) {
  Json Recent = Json::array();
  for (const PublishedWrite &Write : Manifest.Recent)
    Recent.push_back({{"version", Write.Version.value()},
                      {"identity", toText(Write.Identity)}});
  Json Root = {
      {"version", Manifest.Version.value()}, {"digest", Manifest.Digest},
      {"bytes", Manifest.PayloadBytes},      {"chunks", Manifest.Chunks},
      {"author", Manifest.Author},           {"comment", Manifest.Comment},
      {"recent", std::move(Recent)}};
  constexpr auto Lenient = Json::error_handler_t::replace;
  return stampValue(Identity, Root.dump(-1, ' ', false, Lenient));
}

std::optional<ConfigurationManifest> decodeManifest(std::string_view Value) {
  auto Stamped = parseStampedValue(Value);
  if (!Stamped)
    return std::nullopt;
  try {
    Json Root = Json::parse(Stamped->Payload);
    ConfigurationManifest Manifest;
    Manifest.Version = ConfigVersion(Root.at("version").get<std::uint64_t>());
    Manifest.Digest = Root.at("digest").get<std::string>();
    Manifest.PayloadBytes = Root.at("bytes").get<std::uint64_t>();
    Manifest.Chunks = Root.at("chunks").get<std::vector<std::string>>();
    Manifest.Author = Root.at("author").get<std::string>();
    Manifest.Comment = Root.at("comment").get<std::string>();
    Manifest.Recent = recentWritesFromJson(Root.at("recent"));
    return Manifest;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string payloadDigest(std::string_view Payload) {
  XXH128_hash_t Hash = XXH3_128bits(Payload.data(), Payload.size());
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Text;
}

bool isIntact(const ConfigurationSnapshot &Snapshot) {
  const ConfigurationManifest &Manifest = Snapshot.Manifest;
  return Manifest.PayloadBytes == Snapshot.Payload.size() &&
         Manifest.Digest == payloadDigest(Snapshot.Payload);
}

std::string historyKey(ConfigVersion Version) {
  char Text[48];
  std::snprintf(Text, sizeof(Text), "config/history/%020llu",
                static_cast<unsigned long long>(Version.value()));
  return Text;
}

} // namespace banyanworks
