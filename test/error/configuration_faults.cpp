/// \file
/// Configuration under concurrent publications, lost answers, lost events,
/// outages and a store that lost an accepted version.
#include "support/ConfigurationFleet.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(state_configuration, second_of_two_racing_operators_gets_a_conflict) {
  ConfigurationFleet Fleet(1, 1);
  Fleet.publishNext("base");
  ConfigVersion Base(1);
  cr_assert(Fleet.publish({Base, Base.next(), "a", "ann", ""}).Status ==
            PublishStatus::Accepted);
  PublishResult Second = Fleet.publish({Base, Base.next(), "b", "bob", ""});
  cr_assert(Second.Status == PublishStatus::Conflict);
  cr_assert(Second.Current && Second.Current->Author == "ann");
  Fleet.advance(2s);
  cr_assert(Fleet.replica(0).snapshot()->Payload == "a");
}

Test(state_configuration, an_abandoned_publication_leaves_no_chunks) {
  ConfigurationFleet Fleet(1, 1);
  Fleet.publishNext("base");
  Fleet.Store.addFault({.Fault = StoreFault::RateLimit,
                        .KeyPrefix = std::string(ConfigurationRootKey)});
  std::size_t Before = Fleet.Store.entries().size();
  PublishResult Result = Fleet.publishNext("next");
  cr_assert(Result.Status == PublishStatus::NotApplied);
  cr_assert_eq(Fleet.Store.entries().size(), Before);
}

Test(state_configuration, accepted_although_the_root_update_lost_its_answer) {
  ConfigurationFleet Fleet(1, 2);
  for (StoreFault Fault :
       {StoreFault::LoseAnswer, StoreFault::FailAfterApplying,
        StoreFault::DropCall}) {
    Fleet.Store.addFault({.Fault = Fault,
                          .MaxCalls = 1,
                          .KeyPrefix = std::string(ConfigurationRootKey),
                          .WritesOnly = true});
    cr_assert(Fleet.publishNext("x").Status == PublishStatus::Accepted);
  }
  Fleet.advance(5s);
  cr_assert_eq(Fleet.Store.counters().Injected, 3U);
  cr_assert(Fleet.allInForce(ConfigVersion(3)));
}

Test(state_configuration,
     watch_without_events_delays_a_version_by_at_most_5_s) {
  ConfigurationFleet Fleet(2, 2);
  Fleet.Store.addFault({.Fault = StoreFault::DropEvents,
                        .KeyPrefix = std::string(ConfigurationRootKey)});
  Fleet.advance(1s);
  Fleet.publishNext("one");
  Fleet.advance(5s);
  cr_assert(Fleet.allInForce(ConfigVersion(1)));
}

Test(state_configuration, daemon_started_in_an_outage_learns_from_peers) {
  ConfigurationFleet Fleet(2, 2);
  Fleet.publishNext("one");
  Fleet.advance(3s);
  Fleet.Store.addFault({.Fault = StoreFault::Fail});
  Fleet.restart(0);
  cr_assert(Fleet.replica(0).version() == ConfigVersion(0));
  Fleet.advance(5s);
  cr_assert(Fleet.replica(0).version() == ConfigVersion(1));
}

Test(state_configuration, domain_without_the_store_learns_from_peers) {
  ConfigurationFleet Fleet(2, 2);
  Fleet.advance(1s);
  Fleet.cutFromStore(0, true);
  Fleet.cutFromStore(1, true);
  Fleet.publishNext("one");
  Fleet.advance(5s);
  cr_assert(Fleet.allInForce(ConfigVersion(1)));
}

Test(state_configuration, stale_roots_never_revert_a_daemon) {
  ConfigurationFleet Fleet(2, 2);
  Fleet.publishNext("one");
  Fleet.Store.addFault({.Fault = StoreFault::Stale,
                        .KeyPrefix = "config/root",
                        .Probability = 0.5});
  for (int I = 0; I != 10; ++I) {
    Fleet.restart(static_cast<std::size_t>(I) % Fleet.size());
    Fleet.advance(1s);
  }
  cr_assert_eq(Fleet.reversions(), 0U);
  cr_assert(Fleet.replica(0).version() == ConfigVersion(1));
}

Test(state_configuration, version_lost_by_the_store_is_published_again) {
  ConfigurationFleet Fleet(2, 2);
  Fleet.publishNext("one");
  StoreEntry Old = Fleet.Store.entries().at(std::string(ConfigurationRootKey));
  Fleet.publishNext("two");
  Fleet.advance(3s);
  Fleet.Store.call(PutRequest{Old.Key, Old.Value, {}, {}}, Fleet.Now);
  Fleet.advance(10s);
  cr_assert(Fleet.allInForce(ConfigVersion(2)));
  std::string Root =
      Fleet.Store.entries().at(std::string(ConfigurationRootKey)).Value;
  cr_assert(decodeManifest(Root)->Version == ConfigVersion(2));
}

Test(state_configuration, malformed_root_is_rejected) {
  cr_assert_not(decodeManifest("").has_value());
  cr_assert_not(decodeManifest("no stamp\n{}").has_value());
  std::string Stamped = stampValue({Incarnation(1), 1}, "{\"version\":\"x\"}");
  cr_assert_not(decodeManifest(Stamped).has_value());
}
