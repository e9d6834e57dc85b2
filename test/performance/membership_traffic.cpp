/// \file
/// The gossip traffic of 88 daemons stays below half of a daemon's budget.
#include "support/MembershipFleet.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(state_membership, gossip_of_88_daemons_uses_less_than_half_the_budget) {
  constexpr std::uint64_t HalfBudgetBytesPerSecond = 7500;
  constexpr std::uint64_t Seconds = 60;
  MembershipFleet Fleet(11, 8, 1);
  Fleet.advance(30s);
  std::vector<std::uint64_t> Before;
  for (std::size_t I = 0; I != Fleet.size(); ++I)
    Before.push_back(Fleet.bytes(I));
  Fleet.advance(std::chrono::seconds(Seconds));
  for (std::size_t I = 0; I != Fleet.size(); ++I)
    cr_assert_lt(Fleet.bytes(I) - Before[I],
                 HalfBudgetBytesPerSecond * Seconds);
}
