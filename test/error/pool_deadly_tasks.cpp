/// \file
/// A task crashes each worker that starts it. Guards against one that is
/// started again without a limit, since no worker reports the end of such a
/// run, and against innocent tasks that are given up because workers crash.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// After three crashes a task may be started twice more.
constexpr std::size_t MaxStarts = 5;
constexpr pool::TaskKey Deadly{JobId(1), 0, 0, 0};

/// Makes the first task of job 1 deadly.
void addDeadlyTask(PoolSimulation &Simulation) {
  Simulation.Pool.ReportsProgress = true;
  Simulation.Pool.Behaviour =
      [Base = Simulation.Pool.Behaviour](const pool::TaskKey &Task) {
        TaskBehaviour Result = Base(Task);
        if (Task == Deadly)
          Result.CrashesAfter = 10ms;
        return Result;
      };
}

} // namespace

Test(pool_deadly_tasks, deadly_task_crashes_worker_after_worker) {
  PoolSimulation Simulation(7, 3, 2);
  addDeadlyTask(Simulation);
  Simulation.runFor(2s);
  Simulation.submit(0, Simulation.job(1, 1, 4, false, 5s));
  Simulation.runFor(60s);
  std::size_t Starts = Simulation.Pool.startsOf(Deadly);
  cr_assert_leq(Starts, MaxStarts, "%zu starts", Starts);
  cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Failed);
}

Test(pool_deadly_tasks,
     deadly_task_crashes_worker_after_worker_over_takeovers) {
  PoolSimulation Simulation(7, 3, 2);
  addDeadlyTask(Simulation);
  Simulation.runFor(2s);
  Simulation.submit(0, Simulation.job(1, 1, 4, false, 5s));
  for (int Takeover = 0; Takeover < 8; ++Takeover) {
    Simulation.runFor(5s);
    if (auto Owner = Simulation.owner())
      Simulation.restart(*Owner);
  }
  Simulation.runFor(60s);
  std::size_t Starts = Simulation.Pool.startsOf(Deadly);
  cr_assert_leq(Starts, MaxStarts, "%zu starts", Starts);
  cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Failed);
}
