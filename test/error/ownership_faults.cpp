/// \file
/// Ownership when owners die, pause or stop, and during store outages.
#include "support/OwnershipFleet.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(state_ownership, one_owner_is_elected_and_stays) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  cr_assert_lt(First, Fleet.size());
  Fleet.advance(60s);
  cr_assert_eq(Fleet.owner(), First);
  cr_assert_eq(Fleet.ownersByEpoch().size(), 1U);
}

Test(state_ownership, killed_owner_is_replaced_within_3_s) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Fleet.kill(First);
  auto Took = Fleet.advanceUntilOwnerChange(First, 3s);
  cr_assert(Took.has_value());
}

Test(state_ownership, restarted_owner_resumes_under_a_higher_epoch) {
  OwnershipFleet Fleet(1);
  Fleet.advance(3s);
  Epoch First = Fleet.stateMachine(0).term();
  Fleet.restart(0);
  Fleet.advance(3s);
  cr_assert_eq(Fleet.owner(), 0U);
  cr_assert(Fleet.stateMachine(0).term() > First);
}

Test(state_ownership, paused_owner_is_replaced_and_resumes_as_a_follower) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Fleet.pause(First, true);
  auto Took = Fleet.advanceUntilOwnerChange(First, 3s);
  cr_assert(Took.has_value());
  Fleet.advance(60s);
  Fleet.pause(First, false);
  cr_assert_not(Fleet.stateMachine(First).owns(Fleet.Now));
  Fleet.advance(5s);
  cr_assert_neq(Fleet.owner(), First);
  cr_assert_lt(Fleet.owner(), Fleet.size());
}

Test(state_ownership, resumed_owner_stays_owner_without_the_deadline_check) {
  Ownership::Options Unprotected;
  Unprotected.ChecksLeaseDeadline = false;
  OwnershipFleet Fleet(3, Unprotected);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Fleet.pause(First, true);
  Fleet.advance(60s);
  Fleet.pause(First, false);
  cr_assert_eq(Fleet.owners().size(), 2U,
               "without the deadline check, two daemons must act as owner");
}

Test(state_ownership, hand_over_leaves_no_gap) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Fleet.shutDown(First);
  for (int I = 0; I != 300; ++I) {
    Fleet.advance(10ms);
    cr_assert_eq(Fleet.owners().size(), 1U, "gap after %d0 ms", I);
  }
  cr_assert_neq(Fleet.owner(), First);
  cr_assert(Fleet.stateMachine(First).stopped());
}

Test(state_ownership, hand_over_in_an_outage_leaves_no_gap) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Fleet.Store.addFault({.Fault = StoreFault::Fail});
  Fleet.advance(10s);
  Fleet.shutDown(First);
  for (int I = 0; I != 300; ++I) {
    Fleet.advance(10ms);
    cr_assert_geq(Fleet.owners().size(), 1U, "gap after %d0 ms", I);
  }
  cr_assert_neq(Fleet.owner(), First);
}

Test(state_ownership, last_daemon_of_a_domain_can_stop) {
  OwnershipFleet Fleet(1);
  Fleet.advance(3s);
  Fleet.shutDown(0);
  Fleet.advance(100ms);
  cr_assert(Fleet.stateMachine(0).stopped());
}

Test(state_ownership, owner_keeps_its_epoch_through_an_outage) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Epoch Term = Fleet.stateMachine(First).term();
  Fleet.Store.addFault({.Fault = StoreFault::DropCall});
  for (int I = 0; I != 600; ++I) {
    Fleet.advance(1s);
    cr_assert_eq(Fleet.owner(), First, "second %d", I);
  }
  Fleet.Store.clearFaults();
  Fleet.advance(10s);
  cr_assert_eq(Fleet.owner(), First);
  cr_assert(Fleet.stateMachine(First).term() == Term);
  cr_assert_not(Fleet.stateMachine(First).runsWithoutStore());
}

Test(state_ownership, owner_killed_in_an_outage_is_succeeded) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Epoch Term = Fleet.stateMachine(First).term();
  Fleet.Store.addFault({.Fault = StoreFault::Fail});
  Fleet.advance(10s);
  Fleet.kill(First);
  auto Took = Fleet.advanceUntilOwnerChange(First, 3s);
  cr_assert(Took.has_value());
  Fleet.advance(5s);
  std::size_t Second = Fleet.owner();
  cr_assert(Fleet.stateMachine(Second).term() > Term);
  Fleet.Store.clearFaults();
  Fleet.advance(10s);
  cr_assert_eq(Fleet.owner(), Second);
}

Test(state_ownership, owner_paused_in_an_outage_yields_to_its_successor) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Fleet.Store.addFault({.Fault = StoreFault::Fail});
  Fleet.advance(10s);
  Fleet.pause(First, true);
  Fleet.advance(60s);
  std::size_t Second = Fleet.owner();
  cr_assert_lt(Second, Fleet.size());
  Fleet.pause(First, false);
  cr_assert_not(Fleet.stateMachine(First).owns(Fleet.Now));
  Fleet.advance(5s);
  cr_assert_eq(Fleet.owner(), Second);
}

Test(state_ownership, owner_releases_the_domain_on_a_higher_worker_epoch) {
  OwnershipFleet Fleet(2);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  Epoch Higher(Fleet.stateMachine(First).term().value() + (5ULL << 20));
  Fleet.reportWorkerEpoch(First, Higher);
  cr_assert_not(Fleet.stateMachine(First).owns(Fleet.Now));
  Fleet.advance(5s);
  cr_assert_lt(Fleet.owner(), Fleet.size());
  cr_assert(Fleet.stateMachine(Fleet.owner()).term() > Higher);
}

Test(state_ownership, replaced_daemons_elect_one_owner_with_a_new_epoch) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  Epoch Term = Fleet.stateMachine(Fleet.owner()).term();
  for (std::size_t I = 0; I != Fleet.size(); ++I)
    Fleet.restart(I);
  Fleet.advance(5s);
  cr_assert_lt(Fleet.owner(), Fleet.size());
  cr_assert(Fleet.stateMachine(Fleet.owner()).term() > Term);
}

Test(state_ownership, lost_answers_and_expired_leases_never_share_an_epoch) {
  for (std::uint32_t Seed = 0; Seed != 20; ++Seed) {
    OwnershipFleet Fleet(3);
    Fleet.Store.addFault({.Fault = Seed % 2 ? StoreFault::LoseAnswer
                                            : StoreFault::FailAfterApplying,
                          .Probability = 0.2 + 0.02 * Seed});
    for (int I = 0; I != 30; ++I) {
      Fleet.advance(1s);
      if (I % 7 == 3)
        Fleet.Store.expireAllLeases(Fleet.Now);
    }
    Fleet.Store.clearFaults();
    Fleet.advance(10s);
    cr_assert_lt(Fleet.owner(), Fleet.size());
    cr_assert_eq(Fleet.sharedEpochs(), 0U);
  }
}

Test(state_ownership, isolated_daemon_takes_over_ever_less_often) {
  OwnershipFleet Fleet(3);
  Fleet.advance(3s);
  std::size_t First = Fleet.owner();
  std::size_t Alone = (First + 1) % Fleet.size();
  Fleet.cutFromStore(Alone, true);
  Fleet.cutFromPeers(Alone, true);
  // Workers are in contact with both daemons. Whenever the isolated daemon
  // takes the domain, the owner is fenced off, takes a higher epoch and fences
  // off the isolated daemon in turn.
  std::size_t Disturbances = 0;
  Epoch Last;
  for (int I = 0; I != 600; ++I) {
    Fleet.advance(1s);
    Epoch Newest = Fleet.ownersByEpoch().rbegin()->first;
    if (Newest == Last)
      continue;
    Last = Newest;
    ++Disturbances;
    for (std::size_t Daemon = 0; Daemon != Fleet.size(); ++Daemon)
      Fleet.reportWorkerEpoch(Daemon, Newest);
  }
  cr_assert_lt(Disturbances, 30U);
}

Test(state_ownership, successor_that_dies_after_the_offer_ends_the_hand_over) {
  OwnershipFleet Fleet(2);
  Fleet.advance(std::chrono::seconds(5));
  std::size_t First = Fleet.owner();
  cr_assert_lt(First, 2U);
  Fleet.cutFromPeers(1 - First, true);
  Fleet.shutDown(First);
  Fleet.kill(1 - First);
  Fleet.advance(std::chrono::seconds(3));
  cr_assert(Fleet.owners().empty());
}
