/// \file
/// When the ownership of the pool changes while tasks run, no task runs twice.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<PoolSimulation> startedSimulation() {
  auto Simulation = std::make_unique<PoolSimulation>(7, 3, 2);
  Simulation->runFor(2s);
  return Simulation;
}

} // namespace

Test(pool_takeover, successor_adopts_what_runs) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 4, 8, true, 8s));
  Simulation->runFor(1s);
  std::size_t First = *Simulation->owner();
  Simulation->kill(First);
  Simulation->runFor(12s);
  cr_assert(Simulation->owner() && *Simulation->owner() != First);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.starts(), 4);
}

Test(pool_takeover, retiring_owner_hands_over_at_once) {
  auto Simulation = startedSimulation();
  std::size_t First = *Simulation->owner();
  Simulation->daemon(First).Owner->retire();
  Simulation->runFor(1s);
  cr_assert(Simulation->owner() && *Simulation->owner() != First);
}

Test(pool_takeover, paused_owner_does_not_disturb_its_successor) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 4, 1, false, 10s));
  Simulation->runFor(1s);
  std::size_t First = *Simulation->owner();
  Simulation->daemon(First).Timers.pauseUntil(Simulation->Clock.now() + 5s);
  Simulation->runFor(15s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.starts(), 4);
  cr_assert(Simulation->Pool.violations().empty());
}

Test(pool_takeover, owner_disconnected_from_the_store_is_replaced) {
  auto Simulation = startedSimulation();
  std::size_t First = *Simulation->owner();
  Simulation->daemon(First).Store.Faults.Unresponsive = true;
  Simulation->submit((First + 1) % 3, Simulation->job(1, 2, 1, false, 1s));
  Simulation->runFor(6s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert(Simulation->Pool.violations().empty());
}

Test(pool_takeover, lost_answers_of_commits_are_resolved) {
  auto Simulation = startedSimulation();
  std::size_t First = *Simulation->owner();
  Simulation->daemon(First).Store.Faults.LostAnswerRate = 0.5;
  Simulation->submit((First + 1) % 3, Simulation->job(1, 6, 1, false, 1s));
  Simulation->runFor(20s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert(Simulation->Pool.violations().empty());
}

Test(pool_takeover, late_order_starts_no_task_twice) {
  auto Simulation = startedSimulation();
  std::size_t First = *Simulation->owner();
  Simulation->daemon(First).Workers.Faults.LateOrderRate = 0.5;
  Simulation->submit((First + 1) % 3, Simulation->job(1, 6, 1, false, 2s));
  Simulation->runFor(300ms);
  Simulation->kill(First);
  Simulation->runFor(30s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert(Simulation->Pool.violations().empty(), "%s",
            Simulation->Pool.violations().front().c_str());
}

Test(pool_takeover,
     end_at_an_unresponsive_worker_is_not_run_again_while_it_may_count) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 1, 8, false, 2s));
  Simulation->runFor(1s);
  // The task ends while no daemon reaches its worker, which retains the end.
  for (const WorkerId &Id : Simulation->Pool.ids())
    Simulation->setReachable(Id, false);
  Simulation->runFor(4s);
  for (const WorkerId &Id : Simulation->Pool.ids())
    Simulation->setReachable(Id, true);
  Simulation->runFor(4s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.starts(), 1);
}

Test(pool_takeover, restarted_worker_runs_its_task_again) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 1, 8, false, 2s));
  Simulation->runFor(1s);
  for (const WorkerId &Id : Simulation->Pool.ids()) {
    Simulation->Pool.crash(Id);
    Simulation->Pool.restart(Id);
  }
  Simulation->runFor(5s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert(Simulation->Pool.violations().empty());
}

namespace {

/// Pauses the owner \p After it gave an order to a worker that only this owner
/// can reach, so that the worker never receives the successor's token.
void resumeAfterLongPause(Duration After) {
  PoolSimulation Simulation(7, 3, 1);
  Simulation.runFor(2s);
  std::size_t First = *Simulation.owner();
  WorkerId Unreachable = Simulation.Pool.ids().front();
  Simulation.setReachable(Unreachable, false);
  for (const WorkerId &Other : Simulation.Pool.ids())
    if (Other != Unreachable)
      Simulation.listWorker(Other, true);
  Simulation.submit(First, Simulation.job(1, 1, 8, false, 60s));
  Simulation.runFor(After);
  Simulation.daemon(First).Workers.Faults.Unresponsive.clear();
  Simulation.daemon(First).Timers.pauseUntil(Simulation.Clock.now() + 25s);
  for (const WorkerId &Other : Simulation.Pool.ids())
    Simulation.listWorker(Other);
  Simulation.runFor(30s);
  cr_assert(Simulation.owner() && *Simulation.owner() != First);
  auto Paused = static_cast<long>(After.count());
  cr_assert(Simulation.Pool.violations().empty(), "paused after %ld us: %s",
            Paused, Simulation.Pool.violations().front().c_str());
  cr_assert_eq(Simulation.Pool.running(), 1U, "paused after %ld us", Paused);
}

} // namespace

Test(pool_takeover, owner_resumed_after_a_long_pause_starts_nothing) {
  for (Duration After = 20ms; After < 1700ms; After += 20ms)
    resumeAfterLongPause(After);
}

// A successor adopted the tasks of a job that its predecessor had recorded as
// cancelled, and kept them running.
Test(pool_takeover, run_of_a_job_recorded_as_cancelled_is_stopped) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 2, 8, false, 60s));
  Simulation->runFor(1s);
  WorkerId Unreachable = *Simulation->Pool.holderOf({JobId(1), 0, 0, 0});
  Simulation->setReachable(Unreachable, false);
  std::size_t First = *Simulation->owner();
  Simulation->cancel((First + 1) % 3, JobId(1));
  Simulation->runFor(1s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Cancelled);
  Simulation->kill(First);
  Simulation->runFor(2s);
  cr_assert(Simulation->owner() && *Simulation->owner() != First);
  cr_assert_eq(Simulation->Pool.runningOn(Unreachable), 1U);
  Simulation->setReachable(Unreachable, true);
  Simulation->runFor(1s);
  cr_assert_eq(Simulation->Pool.runningOn(Unreachable), 0U);
}

// The same for a job that was given up after too many failures of one task.
Test(pool_takeover, run_of_a_job_recorded_as_failed_is_stopped) {
  auto Simulation = startedSimulation();
  pool::JobSpec Spec = Simulation->job(1, 2, 8, false, 60s);
  // The second task fails at once.
  auto Inner = Simulation->Pool.Behaviour;
  Simulation->Pool.Behaviour = [Inner](const TaskKey &Task) {
    TaskBehaviour Result = Inner(Task);
    if (Task.Index == 1) {
      Result.Fails = true;
      Result.RunTime = 700ms;
    }
    return Result;
  };
  Simulation->submit(0, Spec);
  Simulation->runFor(500ms);
  WorkerId Holder = *Simulation->Pool.holderOf({JobId(1), 0, 0, 0});
  Simulation->setReachable(Holder, false);
  Simulation->runFor(2500ms);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Failed);
  std::size_t First = *Simulation->owner();
  Simulation->kill(First);
  Simulation->runFor(2s);
  cr_assert(Simulation->owner() && *Simulation->owner() != First);
  cr_assert_eq(Simulation->Pool.runningOn(Holder), 1U);
  Simulation->setReachable(Holder, true);
  Simulation->runFor(1s);
  cr_assert_eq(Simulation->Pool.runningOn(Holder), 0U);
}

// The same for a run that was started by an order without an answer, whose
// worker is cut off in one direction until the next owner has taken over.
Test(pool_takeover, unanswered_start_of_a_cancelled_job_is_stopped) {
  auto Simulation = startedSimulation();
  std::size_t First = *Simulation->owner();
  WorkerFaults &Faults = Simulation->daemon(First).Workers.Faults;
  Faults.LateOrderRate = 1.0;
  Faults.LateOrderDelay = 20ms;
  Simulation->submit((First + 1) % 3, Simulation->job(1, 1, 8, false, 60s));
  while (Simulation->Pool.running() == 0)
    Simulation->runFor(1ms);
  WorkerId Unreachable = *Simulation->Pool.holderOf({JobId(1), 0, 0, 0});
  Simulation->setReachable(Unreachable, false);
  Simulation->cancel((First + 1) % 3, JobId(1));
  Simulation->runFor(1s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Cancelled);
  Simulation->kill(First);
  Simulation->runFor(2s);
  cr_assert_eq(Simulation->Pool.running(), 1U);
  Simulation->setReachable(Unreachable, true);
  Simulation->runFor(1s);
  cr_assert_eq(Simulation->Pool.running(), 0U);
}
