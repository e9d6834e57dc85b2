/// \file
/// Checks that an owner notices a stalled watch by its own commits. A store
/// that dropped its history delivered nothing for a second, and the owner saw
/// 60 jobs 1.9 s late.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <utility>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

/// Upper bound of the time from submission to start: the owner commits at least
/// each 100 ms under this load, then WatchTiming::MaxLag, twice that if the
/// history is gone, and 100 ms for round trips and the order.
constexpr Duration MaxStartDelay = 600ms;

/// Starts a small job each 50 ms, whose starts and ends make the owner commit,
/// stalls all watches for a second, and returns the longest time from a
/// submission to the start of the job.
Duration longestStartDelay(bool StallsAllWatches, bool DropsHistoryFirst) {
  PoolSimulation Simulation(1, 2, 4);
  Simulation.runFor(2s);
  std::uint64_t LastJob = 0;
  std::map<JobId, TimePoint> SubmittedAt;
  TimePoint StallAt = Simulation.Clock.now() + 2s;
  TimePoint End = StallAt + 3s;
  bool Stalled = false;
  while (Simulation.Clock.now() < End) {
    if (Simulation.Clock.now() >= StallAt && !std::exchange(Stalled, true)) {
      for (std::size_t Number = 0; Number < 2; ++Number) {
        StoreFaults &Faults = Simulation.daemon(Number).Store.Faults;
        Faults.WatchesStalledUntil = StallAt + 1s;
        Faults.StallsAllWatches = StallsAllWatches;
      }
      if (DropsHistoryFirst)
        Simulation.Clock.scheduleAfter(
            100ms, [&Simulation] { Simulation.Shared.compact(); });
      Simulation.Clock.scheduleAfter(
          1s, [&Simulation] { Simulation.Shared.compact(); });
    }
    pool::JobSpec Spec = Simulation.job(++LastJob, 1, 1, false, 300ms);
    SubmittedAt[Spec.Id] = Simulation.Clock.now();
    Simulation.submit(0, Spec);
    Simulation.runFor(50ms);
  }
  Simulation.runFor(5s);
  Duration Longest{};
  for (const auto &[Id, At] : SubmittedAt) {
    auto Started = Simulation.Pool.firstStart(Id);
    cr_assert(Started.has_value());
    Longest = std::max(Longest, *Started - At);
  }
  return Longest;
}

} // namespace

Test(pool_watch_stall, owner_sees_jobs_while_watches_are_stalled) {
  for (bool StallsAllWatches : {false, true}) {
    for (bool DropsHistoryFirst : {false, true}) {
      Duration Longest = longestStartDelay(StallsAllWatches, DropsHistoryFirst);
      cr_assert(Longest <= MaxStartDelay, "%ld ms, %d, %d",
                static_cast<long>(Longest / 1ms), StallsAllWatches,
                DropsHistoryFirst);
    }
  }
}
