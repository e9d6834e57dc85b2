/// \file
/// A worker that fails every task has free resources for that reason. Urgent
/// jobs, which have few attempts, are not placed on such workers.
#include "pool/PoolScheduler.h"
#include "support/RecordingLog.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr WallTime Wall{100s};
const WorkerId Failing("w1");
const WorkerId Healthy("w2");

/// Two workers, the first of which has failed a task of job 1.
struct SchedulerFixture {
  VirtualClock Clock;
  RecordingLog Log{Clock};
  PoolScheduler Scheduler{PoolLimits(), Log};
  PoolConfiguration Configuration;

  SchedulerFixture() {
    QueueSpec Urgent;
    Urgent.Id = QueueId("urgent");
    Urgent.Terms.Service = ServiceId("service");
    Urgent.Terms.Stretch = 1.5;
    Urgent.Terms.MaxAttempts = 2;
    QueueSpec Batch = Urgent;
    Batch.Id = QueueId("batch");
    Batch.Terms.Priority = 2;
    Configuration.Queues = {Urgent, Batch};
    Scheduler.configure(Configuration);
    join(Failing);
    submit(1, "batch", 1);
    StartOrder Failed = starts().front();
    report(Failing, {{1, Failed.Task, Failed.Run, RunEnd::Failed, ""}});
    join(Healthy);
    // The failed task starts again on the healthy worker.
    starts();
  }

  void join(const WorkerId &Id) {
    PoolWorker Worker;
    Worker.Id = Id;
    Worker.Address = "10.0.0.1:1";
    Worker.Service = ServiceId("service");
    Worker.Capacity = {32000, 131072, 8};
    Scheduler.updateWorker(Worker, Now);
    report(Id, {});
  }

  void report(const WorkerId &Id, std::vector<ReportedEnd> Ends) {
    WorkerReport Report;
    Report.Result = OrderResult::Done;
    Report.Ended = std::move(Ends);
    Scheduler.workerReported(Id, Report, Now, Now);
  }

  void submit(std::uint64_t Id, const char *Queue, std::int32_t Accelerators) {
    JobSpec Spec;
    Spec.Id = JobId(Id);
    Spec.Queue = QueueId(Queue);
    Spec.Terms = Configuration.findQueue(Spec.Queue)->Terms;
    Spec.AcceptedAt = Wall;
    StepSpec Step;
    Step.PerTask = {1000, 1024, Accelerators};
    Step.Estimate = 2500ms;
    Spec.Steps = {Step};
    Scheduler.submit(Spec, JobStatus::Queued);
  }

  /// Places all tasks that fit and returns their start orders.
  std::vector<StartOrder> starts() {
    constexpr std::size_t Entries = 100;
    Scheduler.runPass(Now, Wall);
    Scheduler.committed(Scheduler.changes(Entries), Now);
    return Scheduler.runPass(Now, Wall).Starts;
  }
};

} // namespace

Test(pool_risky_workers, urgent_work_is_not_placed_on_a_risky_worker) {
  SchedulerFixture Fixture;
  // The job needs a whole worker, and only the failing one is free.
  Fixture.submit(2, "urgent", 8);
  cr_assert(Fixture.starts().empty());
}

Test(pool_risky_workers, other_work_starts_on_a_risky_worker) {
  SchedulerFixture Fixture;
  Fixture.submit(2, "batch", 8);
  auto Starts = Fixture.starts();
  cr_assert_eq(Starts.size(), 1U);
  cr_assert(Starts.front().Worker == Failing);
}

Test(pool_risky_workers, completed_task_clears_the_risk) {
  SchedulerFixture Fixture;
  Fixture.submit(2, "batch", 8);
  StartOrder Completed = Fixture.starts().front();
  Fixture.report(Failing,
                 {{2, Completed.Task, Completed.Run, RunEnd::Done, ""}});
  Fixture.submit(3, "urgent", 8);
  auto Starts = Fixture.starts();
  cr_assert_eq(Starts.size(), 1U);
  cr_assert(Starts.front().Worker == Failing);
}
