/// \file
/// A worker confirms a stop, and the run is there all the same. Guards against
/// a run that is kept alive since nothing stops it again.
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

const WorkerId Holder("w1");
constexpr pool::TaskKey Task{JobId(1), 0, 0, 0};
constexpr Incarnation FirstLife{1};
constexpr Incarnation SecondLife{2};

/// A pool with one task on one worker.
struct CancelledRun : ScriptedPool {
  StartOrder Start;

  CancelledRun() {
    list(Holder);
    report(Holder, {}, FirstLife);
    submit(Task.Job.value(), {1000, 1024, 1});
    std::vector<StartOrder> Orders = starts();
    cr_assert_eq(Orders.size(), 1U);
    Start = Orders.front();
  }

  /// A later report of the worker.
  void reportAs(Incarnation Life, bool Runs) {
    Now += 1ms;
    std::vector<StartOrder> Running;
    if (Runs)
      Running.push_back(Start);
    report(Holder, Running, Life);
  }

  /// Answers the start order and cancels the job; the worker confirms the stop.
  void cancelAfter(OrderResult StartResult) {
    Scheduler.startAnswered(Start, StartResult, Now);
    Scheduler.cancel(Task.Job);
    expectStop();
  }

  /// Number of workers that are counted as lost under the task.
  std::size_t losses() const { return Log.count("task.lost_worker"); }

  /// Expects a stop order in the next pass, which the worker confirms.
  void expectStop() {
    std::vector<StopOrder> Stops = pass().Stops;
    cr_assert_eq(Stops.size(), 1U);
    cr_assert(Stops.front().Task == Task && Stops.front().Run == Start.Run);
    Now += 1ms;
    Scheduler.stopAnswered(Stops.front(), OrderResult::Done, Now);
  }
};

} // namespace

Test(pool_repeated_stops,
     run_that_outlasts_its_confirmed_stop_is_stopped_again) {
  CancelledRun Run;
  Run.cancelAfter(OrderResult::Done);
  // A worker may take this long to stop a run.
  Run.Now += Run.Limits.StopTime - 1ms;
  Run.reportAs(FirstLife, true);
  cr_assert(Run.pass().Stops.empty());
  Run.reportAs(FirstLife, true);
  Run.expectStop();
}

// The start order was delayed until the worker had restarted under its id.
Test(pool_repeated_stops, run_of_a_restarted_worker_is_stopped_again) {
  CancelledRun Run;
  Run.cancelAfter(OrderResult::NoAnswer);
  Run.Now += Run.Limits.OrderRetry;
  Run.reportAs(SecondLife, true);
  Run.expectStop();
}

// The same, before the delayed order arrives.
Test(pool_repeated_stops, unanswered_start_is_stopped_at_a_restarted_worker) {
  CancelledRun Run;
  Run.cancelAfter(OrderResult::NoAnswer);
  Run.Now += Run.Limits.OrderRetry;
  Run.reportAs(SecondLife, false);
  Run.expectStop();
  // The restarted worker rejects the order now.
  Run.reportAs(SecondLife, false);
  Run.Now += Run.Limits.OrderRetry;
  cr_assert(Run.pass().Stops.empty());
  Run.commit();
  cr_assert(Run.Scheduler.removeJob(Task.Job));
}

// A run that the owner no longer knows, as after a delayed start order, was
// kept alive although its job was cancelled.
Test(pool_repeated_stops, stray_run_of_a_cancelled_job_is_stopped) {
  CancelledRun Run;
  Run.cancelAfter(OrderResult::NoAnswer);
  Run.reportAs(FirstLife, false);
  Run.reportAs(FirstLife, true);
  Run.expectStop();
}

// The lease ends before the stop at the restarted worker is answered.
Test(pool_repeated_stops, unanswered_start_counts_as_two_losses) {
  CancelledRun Run;
  Run.Scheduler.startAnswered(Run.Start, OrderResult::NoAnswer, Run.Now);
  Run.Now += Run.Limits.OrderRetry;
  Run.reportAs(SecondLife, false);
  cr_assert_eq(Run.losses(), 1U);
  cr_assert_eq(Run.pass().Stops.size(), 1U);
  Run.Now += 6s;
  Run.Scheduler.leasesExpired(Holder, Run.Now);
  cr_assert_eq(Run.losses(), 1U);
}

// The restarted worker carries the order out, and is lost as well.
Test(pool_repeated_stops, run_that_crashes_two_lives_counts_as_two_losses) {
  CancelledRun Run;
  Run.Scheduler.startAnswered(Run.Start, OrderResult::NoAnswer, Run.Now);
  Run.Now += Run.Limits.OrderRetry;
  Run.reportAs(SecondLife, false);
  Run.reportAs(SecondLife, true);
  Run.Now += 6s;
  Run.Scheduler.leasesExpired(Holder, Run.Now);
  cr_assert_eq(Run.losses(), 2U);
}
