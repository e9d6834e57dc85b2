/// \file
/// Checks that encoding and decoding preserves every field of the messages
/// between routers.
#include "edge/PeerMessageJson.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

const ClaimIdentity TestIdentity{DaemonId("127.0.0.1:1"), Incarnation(2), 3};

PeerReport fullReport() {
  PeerReport Report;
  Report.Service = ServiceId("planner");
  Report.Sender = DaemonId("127.0.0.1:1");
  Report.SenderIncarnation = Incarnation(11);
  Report.Domain = DomainId("a");
  Report.Sequence = 12;
  Report.SentAt = -13;
  Report.EchoIncarnation = Incarnation(14);
  Report.EchoSequence = 15;
  Report.EchoSentAt = 16;
  Report.LiveDigest = 18446744073709551615ULL;
  Report.Draining = true;
  Report.Demands = {{EndpointId("e"), 1, 2, 3}};
  Report.Grants = {{EndpointId("e"), 4}};
  Report.Endpoints = {{EndpointId("e"), 5, true, true}};
  Report.Limits = {{MethodId("m"), 0.5, 6}};
  return Report;
}

void expectRoundTrip(const PeerMessage &Message) {
  auto Decoded = peerMessageFromJson(peerMessageToJson(Message));
  cr_assert(Decoded.has_value());
  cr_assert(*Decoded == Message);
}

} // namespace

Test(peer_messages, report_round_trip) { expectRoundTrip(fullReport()); }

Test(peer_messages, claim_messages_round_trip) {
  ServiceId Service("planner");
  DaemonId Sender("127.0.0.1:1");
  WorkspaceId Space("shops");
  IdempotencyKey Key("k");
  expectRoundTrip(ClaimRequest{
      Service, Sender, {{Space, Key, BodyDigest(7), TestIdentity}}});
  expectRoundTrip(
      ClaimReport{Service,
                  Sender,
                  {{Space, Key, TestIdentity, ClaimState::Answered, 200}}});
  expectRoundTrip(ClaimReply{Service,
                             Sender,
                             {{TestIdentity, ClaimResult::HeldByEarlierClaim,
                               TestIdentity, ClaimState::Unknown, 500}},
                             {TestIdentity}});
}
