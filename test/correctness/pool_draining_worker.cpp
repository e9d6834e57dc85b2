/// \file
/// Tasks are moved off a draining worker in time, unless they end there.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

/// Time until a job of one task completes whose worker leaves 2 s after it
/// starts to drain.
Duration completionTime(Duration Work) {
  PoolSimulation Simulation(1, 2, 2);
  Simulation.runFor(2s);
  Simulation.submit(0, Simulation.job(1, 1, 8, false, Work));
  Simulation.runFor(500ms);
  TimePoint Begin = Simulation.Clock.now();
  for (const WorkerId &Id : Simulation.Pool.ids()) {
    if (Simulation.Pool.runningOn(Id) == 0)
      continue;
    Simulation.listWorker(Id, true);
    Simulation.Clock.scheduleAfter(
        2s, [&Simulation, Id] { Simulation.Pool.crash(Id); });
    Simulation.Clock.scheduleAfter(
        2100ms, [&Simulation, Id] { Simulation.unlistWorker(Id); });
  }
  while (Simulation.visibleStatus(JobId(1)) != pool::JobStatus::Completed) {
    Simulation.runFor(100ms);
    cr_assert(Simulation.Clock.now() - Begin < 60s);
  }
  cr_assert(Simulation.Pool.violations().empty());
  return Simulation.Clock.now() - Begin;
}

} // namespace

Test(pool_draining_worker, long_task_moves_before_the_worker_leaves) {
  // Waiting for the lease to expire would take six seconds more.
  cr_assert(completionTime(5s) < 6500ms);
}

Test(pool_draining_worker, short_task_ends_on_the_draining_worker) {
  cr_assert(completionTime(1s) < 1s);
}
