/// \file
/// Urgent gangs arrive every second at a pool that is filled with other work.
/// Most of them start at once, which they do not without a reserve.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr int UrgentGangs = 25;
constexpr std::uint64_t FirstUrgent = 1000;

/// The 90th percentile of the time that urgent gangs waited for their start.
Duration waitAtNinetiethPercentile(const pool::ReserveLimits &Reserve) {
  pool::PoolLimits Limits;
  Limits.Reserve = Reserve;
  PoolSimulation Simulation(3, 2, 3, Limits);
  Simulation.runFor(2s);
  // More tasks of 8 s than the 192 accelerators can run.
  for (std::uint64_t Id = 1; Id <= 25; ++Id)
    Simulation.submit(0, Simulation.job(Id, 20, 1, false, 8s));
  Simulation.runFor(3s);
  std::vector<TimePoint> SubmittedAt;
  for (int Number = 0; Number < UrgentGangs; ++Number) {
    pool::JobSpec Urgent = Simulation.job(
        FirstUrgent + static_cast<std::uint64_t>(Number), 4, 4, true, 2500ms);
    Urgent.Queue = pool::QueueId("urgent");
    Urgent.Terms.Priority = 0;
    SubmittedAt.push_back(Simulation.Clock.now());
    Simulation.submit(1, Urgent);
    Simulation.runFor(1s);
  }
  Simulation.runFor(5s);
  std::vector<Duration> Waits;
  for (int Number = 0; Number < UrgentGangs; ++Number) {
    JobId Id(FirstUrgent + static_cast<std::uint64_t>(Number));
    auto Started = Simulation.Pool.firstStart(Id);
    cr_assert(Started);
    Waits.push_back(*Started - SubmittedAt[static_cast<std::size_t>(Number)]);
  }
  cr_assert(Simulation.Pool.violations().empty());
  std::sort(Waits.begin(), Waits.end());
  return Waits[Waits.size() * 9 / 10];
}

} // namespace

Test(pool_urgent_load, reserve_lets_urgent_gangs_start_at_once) {
  // A stop takes 300 ms in this simulation; a start without one takes a few
  // round trips.
  cr_assert(waitAtNinetiethPercentile(pool::ReserveLimits()) < 150ms);
  pool::ReserveLimits None;
  None.MinShare = 0.0;
  None.MaxShare = 0.0;
  cr_assert(waitAtNinetiethPercentile(None) >= 300ms);
}
