/// \file
/// An urgent job for which no resources can be reclaimed does not prevent a
/// smaller one from getting resources in the same scheduling pass.
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
constexpr std::size_t Entries = 100;

JobSpec job(std::uint64_t Id, const QueueSpec &Queue, std::uint32_t Tasks) {
  JobSpec Spec;
  Spec.Id = JobId(Id);
  Spec.Queue = Queue.Id;
  Spec.Terms = Queue.Terms;
  Spec.AcceptedAt = Wall;
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.PerTask = {1000, 1024, 1};
  Step.Estimate = 2500ms;
  Spec.Steps = {Step};
  return Spec;
}

} // namespace

Test(pool_reclaim_by_size, smaller_urgent_job_gets_resources) {
  VirtualClock Clock;
  RecordingLog Log(Clock);
  PoolScheduler Scheduler(PoolLimits(), Log);
  QueueSpec Urgent;
  Urgent.Id = QueueId("urgent");
  Urgent.Terms.Service = ServiceId("service");
  Urgent.Terms.Stretch = 1.5;
  QueueSpec Batch = Urgent;
  Batch.Id = QueueId("batch");
  Batch.Terms.Priority = 2;
  PoolConfiguration Configuration;
  Configuration.Queues = {Urgent, Batch};
  Scheduler.configure(Configuration);
  PoolWorker Worker;
  Worker.Id = WorkerId("w1");
  Worker.Address = "10.0.0.1:1";
  Worker.Service = Urgent.Terms.Service;
  Worker.Capacity = {32000, 131072, 8};
  Scheduler.updateWorker(Worker, Now);
  WorkerReport Report;
  Report.Result = OrderResult::Done;
  Scheduler.workerReported(Worker.Id, Report, Now, Now);

  Scheduler.submit(job(1, Batch, 8), JobStatus::Queued);
  Scheduler.runPass(Now, Wall);
  Scheduler.committed(Scheduler.changes(Entries), Now);
  for (const StartOrder &Order : Scheduler.runPass(Now, Wall).Starts)
    Scheduler.startAnswered(Order, OrderResult::Done, Now);
  // One job with more tasks than the pool has accelerators, and one with one
  // task.
  Scheduler.submit(job(2, Urgent, 10), JobStatus::Queued);
  Scheduler.submit(job(3, Urgent, 1), JobStatus::Queued);
  cr_assert_not(Scheduler.runPass(Now, Wall).Stops.empty());
}
