/// \file
/// Implements the MessagePack codec of gossip messages.
#include "state/Gossip.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace banyanworks {

namespace {

using Json = nlohmann::json;

/// Maximum number of records that are decoded from one message.
constexpr std::size_t MaxUpdates = 512;

Json recordToJson(const MemberRecord &Record) {
  return Json::array({Record.Daemon.str(), Record.Domain.str(),
                      Record.Process.value(), Record.Refutation,
                      static_cast<unsigned>(Record.State)});
}

MemberRecord recordFromJson(const Json &List) {
  MemberRecord Record;
  Record.Daemon = DaemonId(List.at(0).get<std::string>());
  Record.Domain = DomainId(List.at(1).get<std::string>());
  Record.Process = Incarnation(List.at(2).get<std::uint64_t>());
  Record.Refutation = List.at(3).get<std::uint32_t>();
  auto State = List.at(4).get<unsigned>();
  Record.State = static_cast<Liveness>(
      std::min(State, static_cast<unsigned>(Liveness::Left)));
  return Record;
}

Json digestToJson(const MemberDigest &Digest) {
  return Json::array({Digest.Config.value(), Digest.Owner.str(),
                      Digest.Term.value(), Digest.OwnerAge.count()});
}

MemberDigest digestFromJson(const Json &List) {
  MemberDigest Digest;
  Digest.Config = ConfigVersion(List.at(0).get<std::uint64_t>());
  Digest.Owner = DaemonId(List.at(1).get<std::string>());
  Digest.Term = Epoch(List.at(2).get<std::uint64_t>());
  Digest.OwnerAge = Duration(List.at(3).get<std::int64_t>());
  return Digest;
}

GossipMessage messageFromJson(const Json &List) {
  GossipMessage Message;
  auto Kind = List.at(0).get<unsigned>();
  Message.Kind = static_cast<GossipKind>(
      std::min(Kind, static_cast<unsigned>(GossipKind::PingRequest)));
  Message.Number = List.at(1).get<std::uint64_t>();
  Message.Sender = recordFromJson(List.at(2));
  Message.Target = DaemonId(List.at(3).get<std::string>());
  Message.Digest = digestFromJson(List.at(4));
  for (const Json &Record : List.at(5)) {
    if (Message.Updates.size() == MaxUpdates)
      break;
    Message.Updates.push_back(recordFromJson(Record));
  }
  return Message;
}

} // namespace

bool overrides(const MemberRecord &Left, const MemberRecord &Right) {
  auto Key = [](const MemberRecord &Record) {
    return std::make_tuple(Record.Process.value(), Record.Refutation,
                           static_cast<unsigned>(Record.State));
  };
  return Key(Left) > Key(Right);
}

std::string encodeGossip(const GossipMessage &Message) {
  Json Updates = Json::array();
  for (const MemberRecord &Record : Message.Updates)
    Updates.push_back(recordToJson(Record));
  Json Document =
      Json::array({static_cast<unsigned>(Message.Kind), Message.Number,
                   recordToJson(Message.Sender), Message.Target.str(),
                   digestToJson(Message.Digest), std::move(Updates)});
  std::string Bytes;
  Json::to_msgpack(Document, Bytes);
  return Bytes;
}

std::optional<GossipMessage> decodeGossip(std::string_view Bytes) {
  try {
    return messageFromJson(Json::from_msgpack(Bytes));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace banyanworks
