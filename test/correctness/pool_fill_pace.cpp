/// \file
/// Best-effort tasks are throttled in favour of tasks that serve users.
#include "pool/BestEffortThrottle.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// A job of one long-running task that serves users with this bound on the
/// tail response time.
JobSpec servingJob(PoolSimulation &Simulation, std::uint64_t Id,
                   Duration Target) {
  JobSpec Spec = Simulation.job(Id, 1, 1, false, 1h);
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().TailTarget = Target;
  return Spec;
}

JobSpec bestEffortJob(PoolSimulation &Simulation, std::uint64_t Id,
                      std::uint32_t Tasks) {
  JobSpec Spec = Simulation.job(Id, Tasks, 0, false, 1h);
  Spec.Steps.front().FillsIdle = true;
  Spec.Steps.front().PerTask.MilliCores = 4000;
  return Spec;
}

/// One worker with a serving task, whose tail response time is 40 ms alone and
/// should stay below 60 ms, and a best-effort task that interferes with it.
struct SharedWorker {
  PoolSimulation Simulation{1, 1, 1};
  WorkerId Id;
  double Interference = 0.0;

  explicit SharedWorker(double Interference) : Interference(Interference) {
    Simulation.Pool.Behaviour = [this](const TaskKey &Task) {
      TaskBehaviour Behaviour;
      Behaviour.RunTime = 1h;
      Behaviour.Allocated = {1000, 1024, 1};
      if (Task.Job == JobId(1))
        Behaviour.TailLatency = 40ms;
      else
        Behaviour = {{0, 1024, 0}, 1h, 0, false, {}, this->Interference};
      return Behaviour;
    };
    Simulation.runFor(2s);
    for (const WorkerId &Other : Simulation.Pool.ids())
      if (Other != Simulation.Pool.ids().front())
        Simulation.unlistWorker(Other);
    Id = Simulation.Pool.ids().front();
    Simulation.submit(0, servingJob(Simulation, 1, 60ms));
    Simulation.runFor(500ms);
    Simulation.submit(0, bestEffortJob(Simulation, 2, 1));
  }

  /// Longest continuous time for which the tail exceeded its bound.
  Duration longestExceedance(Duration Span) {
    Duration Worst{};
    Duration CurrentRun{};
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 10ms) {
      Simulation.runFor(10ms);
      CurrentRun = Simulation.Pool.worstTailLatency(Id) > 60ms
                       ? CurrentRun + 10ms
                       : Duration();
      Worst = std::max(Worst, CurrentRun);
    }
    return Worst;
  }
};

} // namespace

Test(pool_fill_pace, interfering_best_effort_task_is_throttled_at_once) {
  SharedWorker Shared(4.0);
  cr_assert(Shared.longestExceedance(20s) < 1500ms);
  cr_assert_eq(Shared.Simulation.Pool.runningOn(Shared.Id), 2);
}

Test(pool_fill_pace, harmless_best_effort_task_runs_at_full_pace) {
  SharedWorker Shared(0.0);
  Shared.Simulation.runFor(15s);
  cr_assert(Shared.Simulation.Pool.paceOf({JobId(2), 0, 0, 0}) == 100U);
}

Test(pool_fill_pace, interference_that_begins_later_is_detected) {
  SharedWorker Shared(0.0);
  Shared.Simulation.runFor(15s);
  Shared.Interference = 6.0;
  cr_assert(Shared.longestExceedance(10s) < 1500ms);
}

Test(pool_fill_pace, best_effort_task_without_serving_tasks_is_not_throttled) {
  PoolSimulation Simulation(1, 1, 1);
  Simulation.runFor(2s);
  Simulation.submit(0, bestEffortJob(Simulation, 2, 3));
  Simulation.runFor(5s);
  for (std::uint32_t Index = 0; Index < 3; ++Index)
    cr_assert(Simulation.Pool.paceOf({JobId(2), 0, 0, Index}) == 100U);
}

Test(pool_fill_pace, best_effort_tasks_reserve_no_processor_time) {
  PoolSimulation Simulation(1, 1, 1);
  Simulation.runFor(2s);
  // Twice the processor capacity of the eight workers.
  Simulation.submit(0, bestEffortJob(Simulation, 2, 128));
  Simulation.runFor(2s);
  Simulation.submit(0, Simulation.job(3, 8, 8, false, 1s));
  Simulation.runFor(4s);
  cr_assert(Simulation.visibleStatus(JobId(3)) == JobStatus::Completed);
  cr_assert(Simulation.Pool.violations().empty());
}

Test(pool_fill_pace, pace_recovers_to_less_than_what_caused_interference) {
  BestEffortThrottle Throttle;
  TimePoint Now{10s};
  Throttle.observe(0.2, Now);
  std::uint32_t TooMuch = Throttle.percent();
  Throttle.observe(1.4, Now + 1s);
  cr_assert_eq(Throttle.percent(), 0U);
  std::uint32_t Highest = 0;
  for (Duration Later = 2s; Later < 8s; Later += 400ms) {
    Throttle.observe(0.3, Now + Later);
    Highest = std::max(Highest, Throttle.percent());
  }
  cr_assert_gt(Highest, 0U);
  cr_assert_lt(Highest, TooMuch);
}

Test(pool_fill_pace, late_long_running_step_is_not_queued_behind_others) {
  PoolSimulation Simulation(1, 1, 1);
  Simulation.runFor(2s);
  // The pool is full and more tasks of the same queue are waiting.
  for (std::uint64_t Id = 10; Id < 40; ++Id)
    Simulation.submit(0, Simulation.job(Id, 1, 8, false, 3s));
  Simulation.runFor(200ms);
  Simulation.submit(0, servingJob(Simulation, 1, 60ms));
  Simulation.runFor(8s);
  cr_assert(Simulation.Pool.firstStart(JobId(1)));
}
