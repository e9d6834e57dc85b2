/// \file
/// A copy of a start order arrives after its worker has restarted under its id.
/// Guards against a run that works beside the next run of its task, after the
/// end of its task, or after the job was cancelled.
#include "pool/OrdersInTransit.h"
#include "pool/WorkerLink.h"
#include "support/LateStart.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr pool::TaskKey Task = LateStart::Task;

struct ConfirmedStart : LateStart {
  explicit ConfirmedStart(Duration RunTime) : LateStart(6s, RunTime) {}

  void restartHolder() {
    Simulation.Pool.crash(Holder);
    Simulation.runFor(500ms);
    Simulation.Pool.restart(Holder);
  }

  void expectStarts(std::size_t Starts) {
    cr_assert_eq(Simulation.Pool.startsOf(Task), Starts);
    cr_assert(Simulation.Pool.violations().empty());
  }
};

} // namespace

// The first copy started the run again beside the task's next run.
Test(pool_late_starts, copy_of_a_confirmed_order_outlives_a_restart) {
  ConfirmedStart Run(60s);
  Run.restartHolder();
  Run.awaitOrder();
  Run.expectStarts(2);
  cr_assert_eq(Run.Simulation.Pool.running(), 1U);
}

Test(pool_late_starts, copy_arrives_after_the_task_has_ended) {
  ConfirmedStart Run(1s);
  Run.Simulation.runFor(1s);
  cr_assert(Run.Simulation.visibleStatus(Task.Job) == JobStatus::Completed);
  Run.restartHolder();
  Run.awaitOrder();
  Run.expectStarts(1);
}

Test(pool_late_starts, copy_arrives_after_the_job_was_cancelled) {
  ConfirmedStart Run(60s);
  Run.Simulation.cancel(*Run.Simulation.owner(), Task.Job);
  Run.Simulation.runFor(1s);
  Run.restartHolder();
  Run.awaitOrder();
  Run.expectStarts(1);
}

// The worker was idle, and the directory does not show the restart.
Test(pool_late_starts, restart_of_an_idle_worker_is_known_within_a_second) {
  ConfirmedStart Run(1s);
  Run.Simulation.runFor(Run.ArrivesAt - 1s - Run.Simulation.Clock.now());
  Run.Simulation.Pool.crash(Run.Holder);
  Run.Simulation.Pool.restart(Run.Holder);
  Run.awaitOrder();
  Run.expectStarts(1);
}

// A successor does not know of the copy. Its first call to the worker carries a
// higher fencing token.
Test(pool_late_starts, copy_arrives_after_a_takeover_and_a_restart) {
  ConfirmedStart Run(60s);
  Run.Simulation.kill(*Run.Simulation.owner());
  Run.Simulation.runFor(2500ms);
  cr_assert(Run.Simulation.owner().has_value());
  Run.restartHolder();
  Run.awaitOrder();
  Run.expectStarts(2);
  cr_assert_eq(Run.Simulation.Pool.running(), 1U);
}

// What the worker might start keeps its room until the stop is confirmed, and
// the task waits.
Test(pool_late_starts, task_waits_until_its_run_is_stopped_after_a_restart) {
  ScriptedPool Pool;
  WorkerId Holder("w1");
  Pool.list(Holder, ScriptedPool::WholeWorker, Incarnation(1));
  Pool.report(Holder, {}, Incarnation(1));
  Pool.submit(1, ScriptedPool::WholeWorker);
  std::vector<StartOrder> First = Pool.starts();
  cr_assert_eq(First.size(), 1U);
  Pool.Scheduler.startAnswered(First.front(), OrderResult::NoAnswer, Pool.Now);
  Pool.Now += Pool.Limits.OrderRetry;
  Pool.report(Holder, {}, Incarnation(1));
  std::vector<StartOrder> Second = Pool.pass().Starts;
  cr_assert_eq(Second.size(), 1U);
  Pool.Scheduler.startAnswered(Second.front(), OrderResult::Done, Pool.Now);
  Pool.Now += 1s;
  Pool.report(Holder, Second, Incarnation(1));
  Pool.Now += 1s;
  Pool.report(Holder, {}, Incarnation(2));
  cr_assert(Pool.Scheduler.takeStopsDue());
  PoolOrders Orders = Pool.pass();
  cr_assert_eq(Orders.Stops.size(), 1U);
  cr_assert(Orders.Starts.empty());
  Pool.Now += 100ms;
  Pool.report(Holder, {}, Incarnation(2));
  cr_assert(Pool.starts().empty());
  Pool.Scheduler.stopAnswered(Orders.Stops.front(), OrderResult::Done,
                              Pool.Now);
  Pool.Now += 100ms;
  Pool.report(Holder, {}, Incarnation(2));
  cr_assert_eq(Pool.starts().size(), 1U);
  cr_assert_eq(Pool.Log.count("task.lost_worker"), 1U);
}

Test(pool_late_starts, only_copies_without_an_answer_stay_in_transit) {
  OrdersInTransit Orders;
  WorkerId Id("w");
  RunKey Run(Task, RunNumber(1));
  TimePoint Now{100s};
  Orders.sent(Id, Run, Incarnation(1), Now);
  Orders.answered(Id, Run, OrderResult::Done, Now);
  cr_assert_not(Orders.contains(Id));
  Orders.sent(Id, Run, Incarnation(1), Now);
  Orders.answered(Id, Run, OrderResult::NoAnswer, Now);
  Orders.sent(Id, Run, Incarnation(1), Now + 1s);
  Orders.answered(Id, Run, OrderResult::Done, Now + 1s);
  cr_assert(Orders.contains(Id, Run));
  cr_assert(Orders.takeUnknownTo(Id, Incarnation(1)).empty());
  cr_assert_eq(Orders.takeUnknownTo(Id, Incarnation(2)).size(), 1U);
  cr_assert(Orders.takeUnknownTo(Id, Incarnation(2)).empty());
  cr_assert_eq(Orders.takeUnknownTo(Id, Incarnation(3)).size(), 1U);
  Orders.expire(Now + LongestOrderDelay - 1ms);
  cr_assert(Orders.contains(Id));
  Orders.expire(Now + LongestOrderDelay);
  cr_assert_not(Orders.contains(Id));
}
