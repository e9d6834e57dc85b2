/// \file
/// Implements the JSON codec of store calls.
#include "edge/StoreJson.h"

#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

json encode(const StoreEntry &Entry) {
  return {{"key", Entry.Key},
          {"value", Entry.Value},
          {"version", Entry.Version},
          {"lease", Entry.Lease}};
}

StoreEntry decodeEntry(const json &In) {
  return {In.at("key"), In.at("value"), In.at("version"), In.at("lease")};
}

void encode(json &Encoded, const char *Name,
            const std::optional<StoreEntry> &Entry) {
  if (Entry)
    Encoded[Name] = encode(*Entry);
}

std::optional<StoreEntry> decodeOptional(const json &In, const char *Name) {
  if (!In.contains(Name))
    return std::nullopt;
  return decodeEntry(In.at(Name));
}

std::optional<StoreRevision> decodeExpected(const json &In) {
  if (!In.contains("expected"))
    return std::nullopt;
  return In.at("expected").get<StoreRevision>();
}

/// Encodes each type of request; the field "op" names the type.
struct RequestEncoder {
  json operator()(const GetRequest &R) const {
    return {{"op", "get"}, {"key", R.Key}};
  }
  json operator()(const PutRequest &R) const {
    json Encoded = {
        {"op", "put"}, {"key", R.Key}, {"value", R.Value}, {"lease", R.Lease}};
    if (R.ExpectedVersion)
      Encoded["expected"] = *R.ExpectedVersion;
    return Encoded;
  }
  json operator()(const DeleteRequest &R) const {
    json Encoded = {{"op", "delete"}, {"key", R.Key}};
    if (R.ExpectedVersion)
      Encoded["expected"] = *R.ExpectedVersion;
    return Encoded;
  }
  json operator()(const ListRequest &R) const {
    return {{"op", "list"}, {"prefix", R.Prefix}};
  }
  json operator()(const LeaseGrantRequest &R) const {
    return {{"op", "grant"}, {"time_to_live_us", R.TimeToLive}};
  }
  json operator()(const LeaseRenewRequest &R) const {
    return {{"op", "renew"}, {"lease", R.Lease}};
  }
  json operator()(const LeaseRevokeRequest &R) const {
    return {{"op", "revoke"}, {"lease", R.Lease}};
  }
  json operator()(const WatchRequest &R) const {
    return {{"op", "watch"},
            {"prefix", R.Prefix},
            {"after", R.AfterRevision},
            {"wait_us", R.MaxWait}};
  }
};

StoreRequest decodeRequest(const json &In) {
  std::string Op = In.at("op");
  if (Op == "get")
    return GetRequest{In.at("key")};
  if (Op == "put")
    return PutRequest{In.at("key"), In.at("value"), decodeExpected(In),
                      In.at("lease")};
  if (Op == "delete")
    return DeleteRequest{In.at("key"), decodeExpected(In)};
  if (Op == "list")
    return ListRequest{In.at("prefix")};
  if (Op == "grant")
    return LeaseGrantRequest{In.at("time_to_live_us")};
  if (Op == "renew")
    return LeaseRenewRequest{In.at("lease")};
  if (Op == "revoke")
    return LeaseRevokeRequest{In.at("lease")};
  if (Op == "watch")
    return WatchRequest{In.at("prefix"), In.at("after"), In.at("wait_us")};
  throw std::invalid_argument("'" + Op + "' is not an operation of the store");
}

/// Encodes each type of result; the field "kind" names the type.
struct ResultEncoder {
  json operator()(const EntryAnswer &R) const {
    json Encoded = {{"kind", "entry"}};
    encode(Encoded, "entry", R.Entry);
    return Encoded;
  }
  json operator()(const WrittenAnswer &R) const {
    return {{"kind", "written"}, {"version", R.Version}};
  }
  json operator()(const ConflictAnswer &R) const {
    json Encoded = {{"kind", "conflict"}};
    encode(Encoded, "entry", R.Current);
    return Encoded;
  }
  json operator()(const EntriesAnswer &R) const {
    json Entries = json::array();
    for (const StoreEntry &Entry : R.Entries)
      Entries.push_back(encode(Entry));
    return {{"kind", "entries"}, {"entries", Entries}};
  }
  json operator()(const LeaseAnswer &R) const {
    return {{"kind", "lease"},
            {"lease", R.Lease},
            {"time_to_live_us", R.TimeToLive}};
  }
  json operator()(const LeaseGoneAnswer &) const {
    return {{"kind", "lease_gone"}};
  }
  json operator()(const EventsAnswer &R) const {
    json Events = json::array();
    for (const StoreEvent &Event : R.Events) {
      json Encoded = {{"revision", Event.Revision}, {"key", Event.Key}};
      encode(Encoded, "entry", Event.Entry);
      Events.push_back(std::move(Encoded));
    }
    return {{"kind", "events"}, {"events", Events}, {"compacted", R.Compacted}};
  }
  json operator()(const RefusedAnswer &R) const {
    return {{"kind", "refused"}, {"retry_after_us", R.RetryAfter}};
  }
  json operator()(const UnavailableAnswer &) const {
    return {{"kind", "unavailable"}};
  }
};

EventsAnswer decodeEvents(const json &In) {
  EventsAnswer Result;
  Result.Compacted = In.at("compacted");
  for (const json &Event : In.at("events"))
    Result.Events.push_back({Event.at("revision"), Event.at("key"),
                             decodeOptional(Event, "entry")});
  return Result;
}

EntriesAnswer decodeEntries(const json &In) {
  EntriesAnswer Result;
  for (const json &Entry : In.at("entries"))
    Result.Entries.push_back(decodeEntry(Entry));
  return Result;
}

StoreResult decodeResult(const json &In) {
  std::string Kind = In.at("kind");
  if (Kind == "entry")
    return EntryAnswer{decodeOptional(In, "entry")};
  if (Kind == "written")
    return WrittenAnswer{In.at("version")};
  if (Kind == "conflict")
    return ConflictAnswer{decodeOptional(In, "entry")};
  if (Kind == "entries")
    return decodeEntries(In);
  if (Kind == "lease")
    return LeaseAnswer{In.at("lease"), In.at("time_to_live_us")};
  if (Kind == "lease_gone")
    return LeaseGoneAnswer{};
  if (Kind == "events")
    return decodeEvents(In);
  if (Kind == "refused")
    return RefusedAnswer{In.at("retry_after_us")};
  if (Kind == "unavailable")
    return UnavailableAnswer{};
  throw std::invalid_argument("'" + Kind + "' is not an answer of the store");
}

} // namespace

std::string storeRequestToJson(const StoreRequest &Request) {
  return std::visit(RequestEncoder(), Request).dump();
}

Outcome<StoreRequest> storeRequestFromJson(std::string_view Text) {
  return decodeJson(Text, decodeRequest);
}

std::string storeAnswerToJson(const StoreAnswer &Answer) {
  json Encoded = std::visit(ResultEncoder(), Answer.Result);
  Encoded["revision"] = Answer.Revision;
  return Encoded.dump();
}

Outcome<StoreAnswer> storeAnswerFromJson(std::string_view Text) {
  return decodeJson(Text, [](const json &In) {
    return StoreAnswer{In.at("revision"), decodeResult(In)};
  });
}

} // namespace banyanworks
