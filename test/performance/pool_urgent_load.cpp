/// \file
/// Urgent gangs come every second to a pool that other work fills: most of them
/// start at once, and without a reserve they do not.
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr int UrgentGangs = 25;
constexpr std::uint64_t FirstUrgent = 1000;

/// How long the slowest tenth of urgent gangs waited at least for a start.
Duration waitOfSlowestTenth(const pool::ReserveLimits &Reserve) {
  pool::PoolLimits Limits;
  Limits.Reserve = Reserve;
  PoolWorld World(3, 2, 3, Limits);
  World.run(2s);
  // More work of 8 s than the 192 accelerators can take.
  for (std::uint64_t Id = 1; Id <= 25; ++Id)
    World.submit(0, World.job(Id, 20, 1, false, 8s));
  World.run(3s);
  std::vector<TimePoint> Came;
  for (int Number = 0; Number < UrgentGangs; ++Number) {
    pool::JobSpec Urgent = World.job(
        FirstUrgent + static_cast<std::uint64_t>(Number), 4, 4, true, 2500ms);
    Urgent.Queue = pool::QueueId("urgent");
    Urgent.Terms.Priority = 0;
    Came.push_back(World.Clock.now());
    World.submit(1, Urgent);
    World.run(1s);
  }
  World.run(5s);
  std::vector<Duration> Waits;
  for (int Number = 0; Number < UrgentGangs; ++Number) {
    JobId Id(FirstUrgent + static_cast<std::uint64_t>(Number));
    auto Started = World.Pool.firstStart(Id);
    cr_assert(Started);
    Waits.push_back(*Started - Came[static_cast<std::size_t>(Number)]);
  }
  cr_assert(World.Pool.violations().empty());
  std::sort(Waits.begin(), Waits.end());
  return Waits[Waits.size() * 9 / 10];
}

} // namespace

Test(pool_urgent_load, reserve_lets_urgent_gangs_start_at_once) {
  // A stop takes 300 ms here; a start without one takes a few round trips.
  cr_assert(waitOfSlowestTenth(pool::ReserveLimits()) < 150ms);
  pool::ReserveLimits None;
  None.MinShare = 0.0;
  None.MaxShare = 0.0;
  cr_assert(waitOfSlowestTenth(None) >= 300ms);
}
