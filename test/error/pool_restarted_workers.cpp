/// \file
/// A worker restarts under its id while it is idle, and an order to its earlier
/// incarnation arrives. Guards against a run that nothing asks for, and that
/// goes on until its lease ends. Guards also against a task that is blamed for
/// a restart before its start.
#include "support/LateStart.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr pool::TaskKey Task = LateStart::Task;
/// Time within which a worker is asked, and a stop ends a run; as on the users'
/// platform.
constexpr Duration AllowedTime = 3s + 900ms;
/// Longest time for which an order is on the way.
constexpr Duration LongestDelay = 12s;

/// The job was cancelled, and its worker has become idle.
struct DelayedStart : LateStart {
  explicit DelayedStart(Duration Delay) : LateStart(Delay, 60s) {
    Simulation.cancel(*Simulation.owner(), Task.Job);
    Simulation.runFor(1s);
    cr_assert_eq(Simulation.Pool.running(), 0U);
    cr_assert_eq(Simulation.Pool.startsOf(Task), 1U);
  }

  /// Expects that the order was refused, or carried out and stopped if the
  /// worker received it right after its restart.
  void expectStopped(bool AtRestart = false) {
    cr_assert_eq(Simulation.Pool.startsOf(Task), AtRestart ? 2U : 1U);
    Simulation.runFor(AllowedTime);
    cr_assert_eq(Simulation.Pool.running(), 0U);
    cr_assert(Simulation.Pool.violations().empty());
  }
};

} // namespace

Test(pool_restarted_workers, idle_worker_carries_out_an_order_after_a_restart) {
  DelayedStart Run(LongestDelay);
  Run.Simulation.restartWorker(Run.Holder);
  Run.awaitOrder();
  Run.expectStopped();
}

// The directory does not show the restart yet.
Test(pool_restarted_workers, order_arrives_right_after_a_restart) {
  DelayedStart Run(4s);
  Run.Simulation.runFor(Run.ArrivesAt - Run.Simulation.Clock.now());
  Run.Simulation.restartWorker(Run.Holder);
  Run.awaitOrder();
  Run.expectStopped(/*AtRestart=*/true);
}

// The restarted worker has seen no token of the newer owner.
Test(pool_restarted_workers, idle_worker_carries_out_an_order_of_an_old_owner) {
  DelayedStart Run(LongestDelay);
  Run.Simulation.kill(*Run.Simulation.owner());
  Run.Simulation.runFor(4s);
  cr_assert(Run.Simulation.owner().has_value());
  Run.Simulation.restartWorker(Run.Holder);
  Run.awaitOrder();
  cr_assert_eq(Run.Simulation.Pool.running(), 0U);
  cr_assert_eq(Run.Simulation.Pool.startsOf(Task), 1U);
}

// The worker was missing in the directory in between.
Test(pool_restarted_workers, worker_is_listed_again_after_its_restart) {
  DelayedStart Run(LongestDelay);
  Run.Simulation.unlistWorker(Run.Holder);
  Run.Simulation.restartWorker(Run.Holder);
  Run.Simulation.runFor(2s);
  Run.Simulation.listWorker(Run.Holder);
  Run.awaitOrder();
  Run.expectStopped();
}

namespace {

/// A pool whose only worker restarts while it is idle, as the directory shows,
/// and then gets a task.
struct RestartBeforeStart : ScriptedPool {
  static constexpr Incarnation FirstLife{1};
  static constexpr Incarnation SecondLife{2};
  const WorkerId Holder{"w1"};
  StartOrder Start;

  RestartBeforeStart() {
    list(Holder, WholeWorker, FirstLife);
    report(Holder, {}, FirstLife);
  }

  void restart() {
    Now += 1s;
    list(Holder, WholeWorker, SecondLife);
  }

  /// Returns the start orders of the next passes.
  std::vector<StartOrder> nextStarts() {
    std::vector<StartOrder> Orders = pass().Starts;
    commit();
    return Orders.empty() ? pass().Starts : Orders;
  }

  /// Starts the task, at the latest when the worker has reported.
  void startTask() {
    std::vector<StartOrder> Orders = nextStarts();
    if (Orders.empty()) {
      report(Holder, {}, SecondLife);
      Orders = nextStarts();
    }
    cr_assert_eq(Orders.size(), 1U);
    Start = Orders.front();
  }

  /// The start order gets no answer, and the worker does not list the run.
  void loseOrder() {
    Scheduler.startAnswered(Start, OrderResult::NoAnswer, Now);
    Now += Limits.OrderRetry;
    report(Holder, {}, SecondLife);
  }
};

} // namespace

Test(pool_restarted_workers, unanswered_task_is_blamed_for_an_earlier_restart) {
  RestartBeforeStart Pool;
  Pool.restart();
  Pool.submit(Task.Job.value(), {1000, 1024, 1});
  Pool.startTask();
  Pool.loseOrder();
  cr_assert_eq(Pool.Log.count("task.lost_worker"), 0U);
  cr_assert_eq(Pool.pass().Starts.size(), 1U);
}

// The restart is listed between the placement and the order.
Test(pool_restarted_workers, placed_task_is_blamed_for_an_earlier_restart) {
  RestartBeforeStart Pool;
  Pool.submit(Task.Job.value(), {1000, 1024, 1});
  Pool.pass();
  Pool.restart();
  Pool.commit();
  Pool.startTask();
  Pool.loseOrder();
  cr_assert_eq(Pool.Log.count("task.lost_worker"), 0U);
  cr_assert_eq(Pool.pass().Starts.size(), 1U);
}

Test(pool_restarted_workers, stopping_run_is_stopped_twice_after_a_restart) {
  RestartBeforeStart Pool;
  Pool.restart();
  Pool.submit(Task.Job.value(), {1000, 1024, 1});
  Pool.startTask();
  Pool.Scheduler.startAnswered(Pool.Start, OrderResult::Done, Pool.Now);
  Pool.Scheduler.cancel(Task.Job);
  std::vector<StopOrder> Stops = Pool.pass().Stops;
  cr_assert_eq(Stops.size(), 1U);
  Pool.Scheduler.stopAnswered(Stops.front(), OrderResult::Done, Pool.Now);
  Pool.Now += Pool.Limits.OrderRetry;
  Pool.report(Pool.Holder, {Pool.Start}, RestartBeforeStart::SecondLife);
  cr_assert_eq(Pool.Log.count("run.outlasts_stop"), 0U);
  cr_assert(Pool.pass().Stops.empty());
}
