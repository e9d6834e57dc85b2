/// \file
/// A worker that holds more ends than one report lists has its tasks run once.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Tasks = 620;

/// Three daemons and one worker that runs a job of many small tasks, all of
/// which end at the same time.
struct ManyTasks {
  PoolSimulation Simulation{11, 3, 1};
  WorkerId Worker = Simulation.Pool.ids().front();

  explicit ManyTasks(Duration RunTime) {
    for (const WorkerId &Other : Simulation.Pool.ids())
      if (Other != Worker)
        Simulation.unlistWorker(Other);
    Simulation.runFor(2s);
    JobSpec Spec = Simulation.job(1, Tasks, 0, false, RunTime);
    Spec.Steps.front().PerTask = {50, 64, 0};
    Simulation.submit(0, Spec);
    Simulation.runFor(1s);
    cr_assert_eq(Simulation.Pool.runningOn(Worker), Tasks);
  }

  void expectEachRanOnce() {
    cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
    cr_assert_eq(Simulation.Pool.starts(), Tasks);
    cr_assert(Simulation.Pool.violations().empty());
  }
};

} // namespace

// The tasks whose ends were left out of the first report started again.
Test(pool_many_ends, ends_beyond_the_first_report_count) {
  ManyTasks Many(4s);
  Many.Simulation.setReachable(Many.Worker, false);
  Many.Simulation.runFor(4s);
  Many.Simulation.setReachable(Many.Worker, true);
  Many.Simulation.runFor(5s);
  Many.expectEachRanOnce();
}

// The same for the tasks that a successor inherits.
Test(pool_many_ends, successor_counts_ends_beyond_the_first_report) {
  ManyTasks Many(4s);
  Many.Simulation.setReachable(Many.Worker, false);
  Many.Simulation.runFor(1s);
  Many.Simulation.kill(*Many.Simulation.owner());
  Many.Simulation.runFor(3s);
  Many.Simulation.setReachable(Many.Worker, true);
  Many.Simulation.runFor(5s);
  Many.expectEachRanOnce();
}

// A truncated report still shows that an earlier incarnation's runs are gone.
Test(pool_many_ends, truncated_report_of_a_restarted_worker_shows_the_loss) {
  ManyTasks Many(30s);
  Many.Simulation.Pool.MaxListedEnds = 0;
  Many.Simulation.Pool.crash(Many.Worker);
  Many.Simulation.Pool.restart(Many.Worker);
  Many.Simulation.runFor(1s);
  cr_assert_gt(Many.Simulation.Pool.starts(), Tasks);
  cr_assert(Many.Simulation.Pool.violations().empty());
}
