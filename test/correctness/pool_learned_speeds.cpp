/// \file
/// A scheduler that has learned the speeds of its workers from progress
/// reports. Guards against urgent work that clears slower workers while fast
/// ones cost the same, and against estimates that ignore the speed of a worker.
#include "pool/PoolScheduler.h"
#include "support/RecordingLog.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t WorkerCount = 12;
constexpr std::uint64_t FirstFast = 8;

/// Twelve workers, of which the last four are twice as fast.
struct SchedulerFixture {
  VirtualClock Clock;
  RecordingLog Log{Clock};
  PoolScheduler Scheduler{withoutReserve(), Log};
  PoolConfiguration Configuration;
  TimePoint Now{100s};
  std::map<WorkerId, std::vector<StartOrder>> Started;
  std::map<WorkerId, std::uint64_t> LastEnd;

  SchedulerFixture() {
    QueueSpec Urgent;
    Urgent.Id = QueueId("urgent");
    Urgent.Terms.Service = ServiceId("service");
    Urgent.Terms.Stretch = 100.0;
    QueueSpec Batch = Urgent;
    Batch.Id = QueueId("batch");
    Batch.Terms.Priority = 2;
    Configuration.Queues = {Urgent, Batch};
    Scheduler.configure(Configuration);
    for (std::uint64_t Number = 0; Number < WorkerCount; ++Number) {
      PoolWorker Worker;
      Worker.Id = id(Number);
      Worker.Address = "10.0.0.1:1";
      Worker.Service = ServiceId("service");
      Worker.Capacity = {32000, 131072, 8};
      Scheduler.updateWorker(Worker, Now);
    }
    report(0, 0);
    // Each worker runs two tasks of each of four jobs.
    for (std::uint64_t Job = 1; Job <= 4; ++Job)
      submit(Job, "batch", 2 * WorkerCount, 1, 2);
    start();
    report(10, 10);
    Now += 1s;
    report(30, 50);
    finish();
    for (int Pass = 0; Pass < 3; ++Pass) {
      Now += 3s;
      start();
    }
  }

  /// Limits with which work of all priorities may use every worker.
  static PoolLimits withoutReserve() {
    PoolLimits Limits;
    Limits.Reserve.MinShare = 0.0;
    Limits.Reserve.MaxShare = 0.0;
    return Limits;
  }

  static WorkerId id(std::uint64_t Number) {
    return WorkerId("w" + std::to_string(10 + Number));
  }
  static bool isFast(const WorkerId &Id) { return !(Id < id(FirstFast)); }

  WallTime wall() const { return WallTime(Now.time_since_epoch()); }

  void submit(std::uint64_t Id, const char *Queue, std::uint32_t Tasks,
              std::int32_t Accelerators, std::uint32_t MaxPerWorker) {
    JobSpec Spec;
    Spec.Id = JobId(Id);
    Spec.Queue = QueueId(Queue);
    Spec.Terms = Configuration.findQueue(Spec.Queue)->Terms;
    Spec.AcceptedAt = wall();
    StepSpec Step;
    Step.Tasks = Tasks;
    Step.PerTask = {1000, 1024, Accelerators};
    Step.Estimate = 10s;
    Step.MaxPerWorker = MaxPerWorker;
    Step.Checkpoints = true;
    Spec.Steps = {Step};
    Scheduler.submit(Spec, JobStatus::Queued);
  }

  PoolOrders start() {
    constexpr std::size_t Entries = 1000;
    PoolOrders Orders = Scheduler.runPass(Now, wall());
    Scheduler.committed(Scheduler.changes(Entries), Now);
    for (const StartOrder &Order : Scheduler.runPass(Now, wall()).Starts) {
      Started[Order.Worker].push_back(Order);
      Scheduler.startAnswered(Order, OrderResult::Done, Now);
    }
    return Orders;
  }

  void report(std::uint32_t Percent, std::uint32_t FastPercent) {
    for (std::uint64_t Number = 0; Number < WorkerCount; ++Number) {
      WorkerReport Report;
      Report.Result = OrderResult::Done;
      Report.MadeAt = WorkerTime(Now.time_since_epoch());
      for (const StartOrder &Order : Started[id(Number)])
        Report.Running.push_back({Order.Task, Order.Run, "",
                                  isFast(id(Number)) ? FastPercent : Percent});
      Scheduler.workerReported(id(Number), Report, Now, Now);
    }
  }

  void finish() {
    for (auto &[Id, Orders] : Started) {
      WorkerReport Report;
      Report.Result = OrderResult::Done;
      Report.MadeAt = WorkerTime(Now.time_since_epoch());
      for (const StartOrder &Order : Orders)
        Report.Ended.push_back(
            {++LastEnd[Id], Order.Task, Order.Run, RunEnd::Done, ""});
      Scheduler.workerReported(Id, Report, Now, Now);
      Orders.clear();
    }
  }
};

} // namespace

Test(pool_learned_speeds, urgent_work_clears_the_fast_workers_at_equal_cost) {
  SchedulerFixture Fixture;
  Fixture.submit(10, "batch", WorkerCount, 8, 1);
  Fixture.start();
  Fixture.Now += 1s;
  Fixture.submit(11, "urgent", 3, 8, 1);
  std::set<WorkerId> Cleared;
  for (const StopOrder &Order : Fixture.start().Stops)
    Cleared.insert(Order.Worker);
  cr_assert_eq(Cleared.size(), 3U);
  for (const WorkerId &Id : Cleared)
    cr_assert(SchedulerFixture::isFast(Id), "%s", Id.str().c_str());
}

Test(pool_learned_speeds, estimates_of_running_tasks_follow_the_speed) {
  SchedulerFixture Fixture;
  Fixture.submit(10, "batch", WorkerCount, 8, 1);
  Fixture.start();
  // 8 tasks of 10 s and 4 of 5 s on 12 workers.
  double Work = toSeconds(Fixture.Scheduler.load(Fixture.Now)
                              .Services.at(ServiceId("service"))
                              .Work.at(2));
  cr_assert_float_eq(Work, (8 * 10.0 + 4 * 5.0) / 12, 0.4, "%f", Work);
}
