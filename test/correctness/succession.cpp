/// \file
/// Succession spreads roles over the daemons, and a member that leaves does not
/// reorder the others.
#include "state/Succession.h"

#include <map>

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

std::vector<DaemonId> members(std::size_t Count) {
  std::vector<DaemonId> Result;
  for (std::size_t I = 0; I != Count; ++I)
    Result.push_back(DaemonId("10.0.0." + std::to_string(I) + ":9000"));
  return Result;
}

} // namespace

Test(state_succession, order_is_independent_of_the_input_order) {
  std::vector<DaemonId> Members = members(8);
  std::vector<DaemonId> Reversed(Members.rbegin(), Members.rend());
  cr_assert(successionOrder(DomainId("a"), Members) ==
            successionOrder(DomainId("a"), Reversed));
}

Test(state_succession, leaving_member_does_not_reorder_the_others) {
  std::vector<DaemonId> Order = successionOrder(DomainId("a"), members(8));
  std::vector<DaemonId> Fewer = Order;
  Fewer.erase(Fewer.begin() + 3);
  cr_assert(successionOrder(DomainId("a"), Fewer) == Fewer);
}

Test(state_succession, no_daemon_is_first_for_most_domains) {
  std::map<DaemonId, int> First;
  for (int I = 0; I != 800; ++I) {
    DomainId Domain("d" + std::to_string(I));
    ++First[successionOrder(Domain, members(8)).front()];
  }
  cr_assert_eq(First.size(), 8U);
  for (const auto &[Daemon, Count] : First)
    cr_assert(Count > 50 && Count < 200);
}

Test(state_succession, watcher_is_the_second_of_two_daemons_or_more) {
  std::vector<DaemonId> Order = successionOrder(DomainId("a"), members(2));
  cr_assert(configurationWatcher(Order) == Order[1]);
  cr_assert(configurationWatcher({Order[0]}) == Order[0]);
  cr_assert(configurationWatcher({}).empty());
}

Test(state_succession, epochs_order_by_counter_before_daemon) {
  DaemonId Low("a");
  DaemonId High("b");
  if (epochTag(Low) > epochTag(High))
    std::swap(Low, High);
  cr_assert(makeEpoch(2, Low) > makeEpoch(1, High));
  cr_assert(makeEpoch(1, Low) != makeEpoch(1, High));
  cr_assert_eq(epochCounter(makeEpoch(7, High)), 7U);
}
