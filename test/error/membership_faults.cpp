/// \file
/// Failure detection under daemon deaths, message loss, network partitions and
/// replaced VMs.
#include "support/MembershipFleet.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(state_membership, daemons_discover_each_other_from_a_few_addresses) {
  MembershipFleet Fleet(3, 3, 1);
  Fleet.advance(20s);
  for (std::size_t I = 0; I != Fleet.size(); ++I)
    cr_assert_eq(Fleet.stateMachine(I).liveMembers().size(), Fleet.size());
}

Test(state_membership, killed_daemon_is_dead_to_its_domain_within_5_s) {
  MembershipFleet Fleet(3, 3, 1);
  Fleet.advance(20s);
  Fleet.kill(4);
  Fleet.advance(5s);
  cr_assert_not(Fleet.believesLive(3, 4));
  cr_assert_not(Fleet.believesLive(5, 4));
  Fleet.advance(5s);
  cr_assert_eq(Fleet.countBelievers(4), 0U);
}

Test(state_membership, loss_of_10_percent_causes_no_false_death) {
  MembershipFleet Fleet(3, 3, 2);
  Fleet.advance(20s);
  Fleet.CountFalseDeaths = true;
  Fleet.LossProbability = 0.1;
  Fleet.advance(10min);
  cr_assert_eq(Fleet.falseDeaths(), 0U);
}

Test(state_membership, one_cut_link_causes_no_false_death) {
  MembershipFleet Fleet(3, 3, 3);
  Fleet.advance(20s);
  Fleet.IsCut = [](std::size_t From, std::size_t To) {
    return From == 0 && To == 1;
  };
  for (int I = 0; I != 120; ++I) {
    Fleet.advance(1s);
    cr_assert_eq(Fleet.countBelievers(1), Fleet.size() - 1);
    cr_assert_eq(Fleet.countBelievers(0), Fleet.size() - 1);
  }
  cr_assert_not(Fleet.stateMachine(0).isReachable(Fleet.nameOf(1), Fleet.Now));
  cr_assert(Fleet.stateMachine(0).isReachable(Fleet.nameOf(2), Fleet.Now));
}

Test(state_membership,
     one_cut_link_causes_false_deaths_without_indirect_probes) {
  Membership::Options Alone;
  Alone.UsesIndirectProbes = false;
  MembershipFleet Fleet(3, 3, 3, Alone);
  Fleet.advance(20s);
  Fleet.IsCut = [](std::size_t From, std::size_t To) {
    return (From == 0 && To == 1) || (From == 1 && To == 0);
  };
  std::size_t Missing = 0;
  for (int I = 0; I != 120; ++I) {
    Fleet.advance(1s);
    Missing += Fleet.size() - 1 - Fleet.countBelievers(1);
  }
  cr_assert_gt(Missing, 0U,
               "without indirect probes, members must be declared dead");
}

Test(state_membership, partitioned_domains_rejoin) {
  MembershipFleet Fleet(3, 2, 4);
  Fleet.advance(20s);
  Fleet.IsCut = [](std::size_t From, std::size_t To) {
    return (From < 2) != (To < 2);
  };
  Fleet.advance(60s);
  cr_assert_eq(Fleet.stateMachine(0).liveMembers().size(), 2U);
  cr_assert_eq(Fleet.stateMachine(5).liveMembers().size(), 4U);
  Fleet.IsCut = nullptr;
  Fleet.advance(60s);
  for (std::size_t I = 0; I != Fleet.size(); ++I)
    cr_assert_eq(Fleet.stateMachine(I).liveMembers().size(), Fleet.size());
}

Test(state_membership, vm_replaced_under_its_address_is_a_new_member) {
  MembershipFleet Fleet(2, 3, 5);
  Fleet.advance(20s);
  Incarnation Old = Fleet.stateMachine(1).self().Process;
  Fleet.restart(1);
  cr_assert(Fleet.stateMachine(1).self().Process > Old);
  Fleet.advance(10s);
  cr_assert_eq(Fleet.countBelievers(1), Fleet.size() - 1);
  cr_assert_eq(Fleet.stateMachine(1).liveMembers().size(), Fleet.size());
}

Test(state_membership, old_process_under_a_replaced_address_must_stop) {
  Membership Old(
      {DaemonId("a"), DomainId("d"), Incarnation(1), 0, Liveness::Alive}, 1);
  GossipMessage Message;
  Message.Sender = {DaemonId("b"), DomainId("d"), Incarnation(2), 0,
                    Liveness::Alive};
  Message.Updates = {
      {DaemonId("a"), DomainId("d"), Incarnation(3), 0, Liveness::Alive}};
  cr_assert_not(Old.isSuperseded());
  Old.handle(GossipReceived{Message}, TimePoint(1s));
  cr_assert(Old.isSuperseded());
}

Test(state_membership, stopping_daemon_leaves_at_once) {
  MembershipFleet Fleet(1, 3, 6);
  Fleet.advance(20s);
  Fleet.shutDown(1);
  Fleet.advance(100ms);
  cr_assert_not(Fleet.believesLive(0, 1));
  cr_assert_not(Fleet.believesLive(2, 1));
}

Test(state_membership, platform_list_does_not_change_liveness) {
  MembershipFleet Fleet(1, 3, 7);
  Fleet.advance(20s);
  Fleet.hint(0, {Fleet.nameOf(1), Fleet.domainOf(1), true});
  cr_assert(Fleet.believesLive(0, 1));
  cr_assert(Fleet.stateMachine(0).isLeaving(Fleet.nameOf(1)));
  Fleet.kill(2);
  Fleet.advance(10s);
  Fleet.hint(0, {Fleet.nameOf(2), Fleet.domainOf(2), false});
  Fleet.advance(10s);
  cr_assert_not(Fleet.believesLive(0, 2));
}

Test(state_membership, damaged_datagrams_are_ignored) {
  cr_assert_not(decodeGossip("").has_value());
  cr_assert_not(decodeGossip("nonsense").has_value());
  GossipMessage Message;
  Message.Sender = {DaemonId("b"), DomainId("d"), Incarnation(2), 3,
                    Liveness::Suspect};
  Message.Digest = {ConfigVersion(4), DaemonId("o"), Epoch(9), 5ms};
  Message.Updates = {Message.Sender};
  std::string Bytes = encodeGossip(Message);
  cr_assert(decodeGossip(Bytes) == Message);
  for (std::size_t Length = 0; Length != Bytes.size(); ++Length)
    cr_assert_not(decodeGossip(Bytes.substr(0, Length)).has_value());
}
