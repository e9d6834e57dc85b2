/// \file
/// Implements the JSON codec of the messages between routers.
#include "edge/PeerMessageJson.h"

#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

template <typename Enum> Enum decodeEnum(const json &In, Enum Last) {
  int Value = In.get<int>();
  if (Value < 0 || Value > static_cast<int>(Last))
    throw std::invalid_argument(std::to_string(Value) + " is out of range");
  return static_cast<Enum>(Value);
}

json encode(const ClaimIdentity &Id) {
  return json::array({Id.Daemon, Id.DaemonIncarnation, Id.Serial});
}

ClaimIdentity decodeIdentity(const json &In) {
  return {In.at(0), In.at(1), In.at(2)};
}

json encode(const Claim &C) {
  return {{"workspace", C.Workspace},
          {"key", C.Key},
          {"body", C.Body},
          {"identity", encode(C.Identity)}};
}

Claim decodeClaim(const json &In) {
  return {In.at("workspace"), In.at("key"), In.at("body"),
          decodeIdentity(In.at("identity"))};
}

json encode(const ClaimOutcome &O) {
  return {{"workspace", O.Workspace},
          {"key", O.Key},
          {"identity", encode(O.Identity)},
          {"end", static_cast<int>(O.State)},
          {"status", O.Status}};
}

ClaimOutcome decodeOutcome(const json &In) {
  return {In.at("workspace"), In.at("key"), decodeIdentity(In.at("identity")),
          decodeEnum(In.at("end"), ClaimState::Released), In.at("status")};
}

json encode(const ClaimDecision &Decision) {
  return {{"identity", encode(Decision.Identity)},
          {"result", static_cast<int>(Decision.Result)},
          {"holder", encode(Decision.Holder)},
          {"end", static_cast<int>(Decision.HolderState)},
          {"status", Decision.Status}};
}

ClaimDecision decodeDecision(const json &In) {
  return {decodeIdentity(In.at("identity")),
          decodeEnum(In.at("result"), ClaimResult::Unavailable),
          decodeIdentity(In.at("holder")),
          decodeEnum(In.at("end"), ClaimState::Released), In.at("status")};
}

json encode(const SlotDemand &D) {
  return json::array({D.Endpoint, D.HeldSlots, D.BusySlots, D.RequestedSlots});
}

SlotDemand decodeDemand(const json &In) {
  return {In.at(0), In.at(1), In.at(2), In.at(3)};
}

json encode(const SlotGrant &G) { return json::array({G.Endpoint, G.Granted}); }

SlotGrant decodeGrant(const json &In) { return {In.at(0), In.at(1)}; }

json encode(const EndpointObservation &Observation) {
  return json::array({Observation.Endpoint, Observation.InFlight,
                      Observation.Draining, Observation.Ejected});
}

EndpointObservation decodeObservation(const json &In) {
  return {In.at(0), In.at(1), In.at(2), In.at(3)};
}

json encode(const LimitUsage &Usage) {
  return json::array({Usage.Method, Usage.ArrivalRate, Usage.Open});
}

LimitUsage decodeUsage(const json &In) {
  return {In.at(0), In.at(1), In.at(2)};
}

/// Encodes each element of a list; an empty list is left out.
template <typename Item>
void encodeOptional(json &Encoded, const char *Name,
                    const std::vector<Item> &Items) {
  for (const Item &Element : Items)
    Encoded[Name].push_back(encode(Element));
}

template <typename Item>
std::vector<Item> decodeOptional(const json &In, const char *Name,
                                 Item (*Decode)(const json &)) {
  std::vector<Item> Result;
  if (!In.contains(Name))
    return Result;
  for (const json &Element : In.at(Name))
    Result.push_back(Decode(Element));
  return Result;
}

/// Encodes each type of message; the field "kind" names the type.
struct MessageEncoder {
  json operator()(const PeerReport &M) const {
    json Encoded = {{"kind", "report"},
                    {"service", M.Service},
                    {"from", M.Sender},
                    {"life", M.SenderIncarnation},
                    {"domain", M.Domain},
                    {"sequence", M.Sequence},
                    {"sent_at", M.SentAt},
                    {"echo_life", M.EchoIncarnation},
                    {"echo_sequence", M.EchoSequence},
                    {"echo_sent_at", M.EchoSentAt},
                    {"live_digest", M.LiveDigest},
                    {"leaving", M.Draining}};
    encodeOptional(Encoded, "demands", M.Demands);
    encodeOptional(Encoded, "grants", M.Grants);
    encodeOptional(Encoded, "endpoints", M.Endpoints);
    encodeOptional(Encoded, "limits", M.Limits);
    return Encoded;
  }
  json operator()(const ClaimRequest &M) const {
    json Encoded = {
        {"kind", "ask"}, {"service", M.Service}, {"from", M.Sender}};
    encodeOptional(Encoded, "claims", M.Claims);
    return Encoded;
  }
  json operator()(const ClaimReport &M) const {
    json Encoded = {
        {"kind", "outcomes"}, {"service", M.Service}, {"from", M.Sender}};
    encodeOptional(Encoded, "outcomes", M.Outcomes);
    return Encoded;
  }
  json operator()(const ClaimReply &M) const {
    json Encoded = {
        {"kind", "reply"}, {"service", M.Service}, {"from", M.Sender}};
    encodeOptional(Encoded, "verdicts", M.Decisions);
    encodeOptional(Encoded, "acknowledged", M.Acknowledged);
    return Encoded;
  }
};

PeerReport decodeReport(const json &In) {
  PeerReport M;
  M.Service = In.at("service");
  M.Sender = In.at("from");
  M.SenderIncarnation = In.at("life");
  M.Domain = In.at("domain");
  M.Sequence = In.at("sequence");
  M.SentAt = In.at("sent_at");
  M.EchoIncarnation = In.at("echo_life");
  M.EchoSequence = In.at("echo_sequence");
  M.EchoSentAt = In.at("echo_sent_at");
  M.LiveDigest = In.at("live_digest");
  M.Draining = In.at("leaving");
  M.Demands = decodeOptional(In, "demands", decodeDemand);
  M.Grants = decodeOptional(In, "grants", decodeGrant);
  M.Endpoints = decodeOptional(In, "endpoints", decodeObservation);
  M.Limits = decodeOptional(In, "limits", decodeUsage);
  return M;
}

PeerMessage decodeMessage(const json &In) {
  std::string Kind = In.at("kind");
  ServiceId Service = In.at("service");
  DaemonId From = In.at("from");
  if (Kind == "report")
    return decodeReport(In);
  if (Kind == "ask")
    return ClaimRequest{Service, From,
                        decodeOptional(In, "claims", decodeClaim)};
  if (Kind == "outcomes")
    return ClaimReport{Service, From,
                       decodeOptional(In, "outcomes", decodeOutcome)};
  if (Kind == "reply") {
    return ClaimReply{Service, From,
                      decodeOptional(In, "verdicts", decodeDecision),
                      decodeOptional(In, "acknowledged", decodeIdentity)};
  }
  throw std::invalid_argument("'" + Kind + "' is not a message of a router");
}

} // namespace

std::string peerMessageToJson(const PeerMessage &Message) {
  return std::visit(MessageEncoder(), Message).dump();
}

Outcome<PeerMessage> peerMessageFromJson(std::string_view Text) {
  return decodeJson(Text, decodeMessage);
}

std::string claimBatchToJson(const ClaimBatch &Batch) {
  json Encoded = {{"number", Batch.Number}, {"writer", encode(Batch.Writer)}};
  encodeOptional(Encoded, "claims", Batch.Claims);
  encodeOptional(Encoded, "outcomes", Batch.Outcomes);
  return Encoded.dump();
}

Outcome<ClaimBatch> claimBatchFromJson(std::string_view Text) {
  return decodeJson(Text, [](const json &In) {
    return ClaimBatch{In.at("number"), decodeIdentity(In.at("writer")),
                      decodeOptional(In, "claims", decodeClaim),
                      decodeOptional(In, "outcomes", decodeOutcome)};
  });
}

const ServiceId &serviceOf(const PeerMessage &Message) {
  return std::visit(
      [](const auto &M) -> const ServiceId & { return M.Service; }, Message);
}

} // namespace banyanworks
