/// \file
/// Guards against an owner that spends its time in scheduling passes, and
/// against orders that wait for the next placement although they are due.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration PassCost = 30ms;
/// The time in which jobs arrive.
constexpr Duration Span = 3s;

/// An owner each of whose passes that place tasks takes PassCost, while jobs
/// arrive.
struct ExpensivePasses {
  PoolSimulation Simulation{5, 2, 4};
  std::vector<TimePoint> PassEnds;
  /// Start orders, by the time from the end of the last placement.
  std::vector<Duration> StartDelays;

  ExpensivePasses() {
    for (std::size_t Number = 0; Number < 2; ++Number) {
      PoolDaemon &Daemon = Simulation.daemon(Number);
      Daemon.Owner->observe([this, &Daemon](PoolSpan Observed, Duration) {
        if (Observed == PoolSpan::Queued)
          placed(Daemon);
      });
    }
    Simulation.runFor(2s);
    std::size_t Entry = 1 - *Simulation.owner();
    Simulation.Pool.Started = [this](const TaskKey &, TimePoint SentAt) {
      StartDelays.push_back(SentAt - PassEnds.back());
    };
    constexpr Duration Interval = 15ms;
    for (int Number = 0; Number < Span / Interval; ++Number) {
      Simulation.Clock.scheduleAfter(Number * Interval, [this, Entry, Number] {
        auto Id = static_cast<std::uint64_t>(Number) + 1;
        Simulation.submit(Entry, Simulation.job(Id, 1, 1, false, 10s));
      });
    }
    Simulation.runFor(Span + 1s);
  }

  /// Lets PassCost go by in which the owner does nothing else.
  void placed(PoolDaemon &Daemon) {
    // Further tasks of the same pass.
    if (!PassEnds.empty() && Simulation.Clock.now() == PassEnds.back())
      return;
    TimePoint End = Simulation.Clock.now() + PassCost;
    Daemon.Timers.pauseUntil(End + 1us);
    PassEnds.push_back(End);
    Simulation.Clock.runUntil(End);
  }
};

} // namespace

Test(pool_pass_pace, expensive_passes_take_a_third_of_the_time) {
  ExpensivePasses Passes;
  cr_assert_geq(Passes.PassEnds.size(), 10U);
  Duration Elapsed =
      Passes.PassEnds.back() - (Passes.PassEnds.front() - PassCost);
  // The pause after the last pass is not in the elapsed time.
  auto Busy = static_cast<int>(Passes.PassEnds.size() - 1) * PassCost;
  cr_assert(3 * Busy <= Elapsed, "%zu passes in %.3f s", Passes.PassEnds.size(),
            toSeconds(Elapsed));
}

Test(pool_pass_pace, recorded_runs_start_during_the_pause) {
  ExpensivePasses Passes;
  cr_assert_eq(Passes.StartDelays.size(), 200U);
  for (Duration Delay : Passes.StartDelays)
    cr_assert(Delay < 2 * PassCost, "%.3f s", toSeconds(Delay));
}
