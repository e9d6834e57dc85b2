/// \file
/// A worker confirms a stop, and the run is there all the same. Guards against
/// a run that is kept alive since nothing stops it again.
#include "support/RecordingLog.h"
#include "support/VirtualClock.h"

#include "pool/PoolScheduler.h"

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

/// A scheduler with one task on one worker, whose answers the test gives.
struct CancelledRun {
  static constexpr WallTime Wall{100s};

  VirtualClock Clock;
  RecordingLog Log{Clock};
  PoolLimits Limits;
  PoolScheduler Scheduler{Limits, Log};
  TimePoint Now{100s};
  StartOrder Start;

  CancelledRun() {
    PoolConfiguration Configuration;
    QueueSpec Queue;
    Queue.Id = QueueId("batch");
    Queue.Terms.Service = ServiceId("service");
    Configuration.Queues = {Queue};
    Scheduler.configure(Configuration);
    PoolWorker Worker;
    Worker.Id = Holder;
    Worker.Address = "w1:1";
    Worker.Service = Queue.Terms.Service;
    Worker.Capacity = {32000, 131072, 8};
    Scheduler.updateWorker(Worker, Now);
    report(FirstLife, false);
    pool::JobSpec Spec;
    Spec.Id = Task.Job;
    Spec.Queue = Queue.Id;
    Spec.Steps.emplace_back().PerTask = {1000, 1024, 1};
    Scheduler.submit(Spec, JobStatus::Queued);
    pass();
    Scheduler.committed(Scheduler.changes(100), Now);
    PoolOrders Orders = pass();
    cr_assert_eq(Orders.Starts.size(), 1U);
    Start = Orders.Starts.front();
  }

  PoolOrders pass() { return Scheduler.runPass(Now, Wall); }

  /// Reports of the worker, requested now.
  void report(Incarnation Life, bool Runs) {
    WorkerReport Report;
    Report.Result = OrderResult::Done;
    Report.WorkerIncarnation = Life;
    if (Runs)
      Report.Running.push_back({Start.Task, Start.Run, "", 10, 0});
    Now += 1ms;
    Scheduler.workerReported(Holder, Report, Now, Now);
  }

  /// Cancels the job; the worker confirms the stop.
  void cancel() {
    Scheduler.cancel(Task.Job);
    expectStop();
  }

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
  Run.Scheduler.startAnswered(Run.Start, OrderResult::Done, Run.Now);
  Run.cancel();
  // A worker may take this long to stop a run.
  Run.Now += Run.Limits.StopTime - 1ms;
  Run.report(FirstLife, true);
  cr_assert(Run.pass().Stops.empty());
  Run.report(FirstLife, true);
  Run.expectStop();
}

// The start order was delayed until the worker had restarted under its id.
Test(pool_repeated_stops, run_of_a_restarted_worker_is_stopped_again) {
  CancelledRun Run;
  Run.Scheduler.startAnswered(Run.Start, OrderResult::NoAnswer, Run.Now);
  Run.cancel();
  Run.Now += Run.Limits.OrderRetry;
  Run.report(SecondLife, true);
  Run.expectStop();
}

// The same, before the delayed order arrives.
Test(pool_repeated_stops, unanswered_start_is_stopped_at_a_restarted_worker) {
  CancelledRun Run;
  Run.Scheduler.startAnswered(Run.Start, OrderResult::NoAnswer, Run.Now);
  Run.cancel();
  Run.Now += Run.Limits.OrderRetry;
  Run.report(SecondLife, false);
  Run.expectStop();
  // The restarted worker rejects the order now.
  Run.report(SecondLife, false);
  Run.Now += Run.Limits.OrderRetry;
  cr_assert(Run.pass().Stops.empty());
  Run.Scheduler.committed(Run.Scheduler.changes(100), Run.Now);
  cr_assert(Run.Scheduler.removeJob(Task.Job));
}

// A run that the owner no longer knows, as after a delayed start order, was
// kept alive although its job was cancelled.
Test(pool_repeated_stops, stray_run_of_a_cancelled_job_is_stopped) {
  CancelledRun Run;
  Run.Scheduler.startAnswered(Run.Start, OrderResult::NoAnswer, Run.Now);
  Run.cancel();
  Run.report(FirstLife, false);
  Run.report(FirstLife, true);
  Run.expectStop();
}
