/// \file
/// Runs that were forecast to end run on, while an urgent job waits for them.
#include "pool/ReclaimWaits.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};
const Resources &WholeWorker = ScriptedPool::WholeWorker;

/// All workers may be filled with batch work.
PoolLimits withoutReserve() {
  PoolLimits Limits;
  Limits.Reserve.MinShare = 0.0;
  Limits.Reserve.MaxShare = 0.0;
  return Limits;
}

/// Four workers, each filled by a run that has made slow progress for 8 s.
struct BusyPool : ScriptedPool {
  std::vector<StartOrder> Running;
  std::map<WorkerId, std::uint32_t> Percents;

  BusyPool() : ScriptedPool(withoutReserve()) {
    for (QueueSpec &Queue : Configuration.Queues)
      Queue.Terms.Stretch = 1.5;
    Scheduler.configure(Configuration);
    for (std::uint64_t Number = 1; Number <= 4; ++Number) {
      WorkerId Id("w" + std::to_string(Number));
      list(Id);
      report(Id);
      submit(Number, WholeWorker);
      Percents[Id] = 10;
    }
    Running = startAll();
    cr_assert_eq(Running.size(), 4U);
    reportAll();
    Now += 8s;
  }

  /// The workers report the progress of their runs.
  void reportAll() {
    for (const auto &[Id, Percent] : Percents) {
      WorkerReport Report;
      Report.Result = OrderResult::Done;
      for (const StartOrder &Order : Running)
        if (Order.Worker == Id)
          Report.Running.push_back({Order.Task, Order.Run, "", Percent, 0});
      Scheduler.workerReported(Id, Report, Now, Now);
    }
  }

  /// The run on a worker ends.
  void end(const WorkerId &Id) {
    WorkerReport Report;
    Report.Result = OrderResult::Done;
    for (const StartOrder &Order : Running)
      if (Order.Worker == Id)
        Report.Ended.push_back({1, Order.Task, Order.Run, RunEnd::Done, ""});
    Scheduler.workerReported(Id, Report, Now, Now);
    Percents.erase(Id);
  }

  /// Submits an urgent gang that needs \p Tasks whole workers.
  void submitGang(std::uint64_t Id, std::uint32_t Tasks) {
    JobSpec Gang = job(Id, WholeWorker, "urgent");
    Gang.Steps[0].Tasks = Tasks;
    Gang.Steps[0].Gang = true;
    Scheduler.submit(Gang, JobStatus::Queued);
  }

  /// Submits a gang that waits for two runs, which are forecast to end.
  void letGangWait() {
    Percents[WorkerId("w1")] = Percents[WorkerId("w2")] = 96;
    Percents[WorkerId("w3")] = Percents[WorkerId("w4")] = 60;
    reportAll();
    submitGang(10, 2);
    cr_assert(pass().Stops.empty());
  }
};

} // namespace

Test(pool_reclaim_waits, second_plan_stops_runs_rather_than_wait_for_others) {
  BusyPool Pool;
  Pool.letGangWait();
  cr_assert_eq(Pool.Log.count("job.reclaims"), 1U);
  Pool.Now += Pool.Limits.ReclaimTime;
  Pool.Percents[WorkerId("w3")] = Pool.Percents[WorkerId("w4")] = 96;
  Pool.reportAll();
  cr_assert_eq(Pool.pass().Stops.size(), 2U);
}

Test(pool_reclaim_waits, cleared_worker_is_kept_until_the_second_plan) {
  BusyPool Pool;
  Pool.letGangWait();
  Pool.Now += 500ms;
  Pool.reportAll();
  Pool.end(WorkerId("w2"));
  Pool.pass();
  Pool.Now += Pool.Limits.ReclaimTime - 500ms;
  Pool.reportAll();
  // An older job, which is placed first.
  JobSpec Older = Pool.job(11, WholeWorker, "urgent");
  Older.AcceptedAt = ScriptedPool::Wall - 10ms;
  Pool.Scheduler.submit(Older, JobStatus::Queued);
  std::size_t Stops = Pool.pass().Stops.size();
  Pool.commit();
  cr_assert(Pool.pass().Starts.empty());
  cr_assert_eq(Stops, 2U);
}

// A job of the same task size may start on what the first plan stopped, and
// leave runs that do not end.
Test(pool_reclaim_waits, job_whose_stops_served_another_stops_again) {
  BusyPool Pool;
  for (auto &[Id, Percent] : Pool.Percents)
    Percent = 60;
  Pool.Percents[WorkerId("w1")] = 96;
  Pool.reportAll();
  // The first job waits for w1, the second one stops another run.
  Pool.submitGang(10, 1);
  cr_assert(Pool.pass().Stops.empty());
  Pool.Now += 10ms;
  Pool.submitGang(11, 1);
  std::vector<StopOrder> Stops = Pool.pass().Stops;
  cr_assert_eq(Stops.size(), 1U);
  Pool.Now += 500ms;
  Pool.end(Stops.front().Worker);
  cr_assert_eq(Pool.startAll().size(), 1U);
  // A run that is forecast to end when the time of the first plan is over.
  for (auto &[Id, Percent] : Pool.Percents)
    Percent = 96;
  Pool.Now += Pool.Limits.ReclaimTime - 510ms;
  Pool.reportAll();
  Pool.Now += 10ms;
  cr_assert_eq(Pool.pass().Stops.size(), 1U);
}

// Urgent runs cannot be stopped, so that a further wait is the only way.
Test(pool_reclaim_waits, waits_again_if_nothing_may_be_stopped) {
  ScriptedPool Pool;
  for (const char *Id : {"w1", "w2"}) {
    Pool.list(WorkerId(Id));
    Pool.report(WorkerId(Id));
  }
  Pool.submit(1, WholeWorker, "urgent");
  Pool.submit(2, WholeWorker, "urgent");
  std::vector<StartOrder> Running = Pool.startAll();
  cr_assert_eq(Running.size(), 2U);
  auto Report = [&](std::uint32_t First, std::uint32_t Second) {
    for (const StartOrder &Order : Running) {
      WorkerReport Reported;
      Reported.Result = OrderResult::Done;
      Reported.Running.push_back({Order.Task, Order.Run, "",
                                  &Order == &Running[0] ? First : Second, 0});
      Pool.Scheduler.workerReported(Order.Worker, Reported, Pool.Now, Pool.Now);
    }
  };
  Report(10, 10);
  Pool.Now += 8s;
  Report(96, 60);
  Pool.submit(10, WholeWorker, "urgent");
  cr_assert(Pool.pass().Stops.empty());
  cr_assert_eq(Pool.Log.count("job.reclaims"), 1U);
  Pool.Now += Pool.Limits.ReclaimTime;
  Report(96, 96);
  cr_assert(Pool.pass().Stops.empty());
  cr_assert_eq(Pool.Log.count("job.reclaims"), 2U);
}

Test(pool_reclaim_waits, job_is_remembered_until_it_starts_or_ends) {
  ReclaimWaits Waits;
  JobId Waiting(1);
  Waits.planned(Waiting, Begin + 1s);
  cr_assert(Waits.takeEnded(Begin + 999ms).empty());
  cr_assert_not(Waits.needsStops(Waiting));
  cr_assert(Waits.takeEnded(Begin + 1s) == std::vector<JobId>{Waiting});
  cr_assert(Waits.takeEnded(Begin + 1s).empty());
  cr_assert(Waits.isDue(Waiting) && Waits.needsStops(Waiting));
  Waits.planned(Waiting, Begin + 2s);
  cr_assert_not(Waits.isDue(Waiting));
  cr_assert(Waits.needsStops(Waiting));
  Waits.drop(Waiting);
  cr_assert_not(Waits.needsStops(Waiting));
}
