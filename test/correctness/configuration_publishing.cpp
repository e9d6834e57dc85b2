/// \file
/// A publication of any size is one atomic version; it reaches every daemon
/// through one watcher per failure domain.
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
  cr_assert(Fleet.allInForce(ConfigVersion(1)));
  cr_assert(Fleet.replica(8).snapshot()->Payload == "one");
}

Test(state_configuration, payload_over_the_value_limit_is_one_version) {
  ConfigurationFleet Fleet(2, 2);
  std::string Large(3 * MaxStoreValueBytes + 17, 'x');
  Large[MaxStoreValueBytes] = 'y';
  cr_assert(Fleet.publishNext(Large).Status == PublishStatus::Accepted);
  Fleet.advance(5s);
  cr_assert(Fleet.allInForce(ConfigVersion(1)));
  cr_assert(Fleet.replica(3).snapshot()->Payload == Large);
}

Test(state_configuration, one_daemon_per_domain_watches_the_root) {
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
  cr_assert(Fleet.allInForce(ConfigVersion(3)));
  cr_assert(Fleet.replica(1).snapshot()->Payload == "one");
}

Test(state_configuration, history_retains_a_limited_number_of_manifests) {
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
