/// \file
/// Publishing is one atomic version whatever its size; it spreads to every
/// daemon through one watcher a failure domain.
#include "support/ConfigurationFleet.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(state_configuration, a_version_is_in_force_on_all_daemons_within_5_s) {
  ConfigurationFleet Fleet(3, 3);
  Fleet.advance(1s);
  cr_assert(Fleet.publishNext("one").Status == PublishStatus::Accepted);
  Fleet.advance(5s);
  cr_assert(Fleet.allHave(ConfigVersion(1)));
  cr_assert(Fleet.replica(8).snapshot()->Payload == "one");
}

Test(state_configuration, a_payload_over_the_value_limit_is_one_version) {
  ConfigurationFleet Fleet(2, 2);
  std::string Large(3 * MaxStoreValueBytes + 17, 'x');
  Large[MaxStoreValueBytes] = 'y';
  cr_assert(Fleet.publishNext(Large).Status == PublishStatus::Accepted);
  Fleet.advance(5s);
  cr_assert(Fleet.allHave(ConfigVersion(1)));
  cr_assert(Fleet.replica(3).snapshot()->Payload == Large);
}

Test(state_configuration, only_one_daemon_a_domain_waits_on_a_watch) {
  ConfigurationFleet Fleet(3, 3);
  Fleet.advance(1s);
  cr_assert_eq(Fleet.Store.counters().Watches, 3U);
}

Test(state_configuration, rollback_is_a_new_version_with_the_old_payload) {
  ConfigurationFleet Fleet(2, 2);
  Fleet.publishNext("one");
  Fleet.publishNext("two");
  cr_assert(Fleet.publishNext("one").Version == ConfigVersion(3));
  Fleet.advance(5s);
  cr_assert(Fleet.allHave(ConfigVersion(3)));
  cr_assert(Fleet.replica(1).snapshot()->Payload == "one");
}

Test(state_configuration, history_keeps_superseded_manifests_and_no_more) {
  ConfigurationFleet Fleet(1, 1);
  std::uint64_t Last = MaxHistoryVersions + 5;
  for (std::uint64_t I = 0; I != Last; ++I)
    Fleet.publishNext("payload " + std::to_string(I));
  std::size_t Chunks = 0;
  for (const auto &[Key, Entry] : Fleet.Store.entries())
    Chunks += Key.starts_with("config/chunk/") ? 1 : 0;
  cr_assert_eq(Chunks, MaxHistoryVersions);
  cr_assert_eq(Fleet.Store.entries().count(historyKey(ConfigVersion(5))), 0U);
  cr_assert_eq(Fleet.Store.entries().count(historyKey(ConfigVersion(6))), 1U);
}
