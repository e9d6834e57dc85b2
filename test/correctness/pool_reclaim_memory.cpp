/// \file
/// A reclaim that failed is planned again once it could succeed, and not at
/// every pass.
#include "pool/ReclaimMemory.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};
const Resources HalfWorker{16000, 65536, 4};

FailedRequest failure(std::uint32_t Tasks, bool Guaranteed = false) {
  FailedRequest Result;
  Result.Request.PerTask = HalfWorker;
  Result.Request.Count = Tasks;
  Result.Request.AllOrNothing = true;
  Result.Guaranteed = Guaranteed;
  return Result;
}

/// A pool that urgent runs fill, and an urgent job that waits.
struct FullPool : ScriptedPool {
  std::vector<StartOrder> Running;

  FullPool() {
    list(WorkerId("w1"));
    report(WorkerId("w1"));
    submit(1, HalfWorker, "urgent");
    submit(2, HalfWorker, "urgent");
    Running = startAll();
    report(WorkerId("w1"), Running);
    submit(3, WholeWorker, "urgent");
  }
};

} // namespace

Test(pool_reclaim_memory, ten_passes_without_a_change_plan_no_reclaim_twice) {
  FullPool Pool;
  for (int Pass = 0; Pass < 10; ++Pass) {
    Pool.pass();
    Pool.Now += 10ms;
  }
  cr_assert_eq(Pool.Scheduler.reclaimPlans(), 1U);
}

// The end of a preemptible run frees nothing that the plan could not count on.
Test(pool_reclaim_memory, end_of_a_preemptible_run_is_no_reason_to_plan) {
  ScriptedPool Pool;
  Pool.list(WorkerId("w1"));
  Pool.report(WorkerId("w1"));
  Pool.submit(1, HalfWorker, "urgent");
  Pool.submit(2, {1000, 1024, 1});
  Pool.submit(3, {1000, 1024, 1});
  cr_assert_eq(Pool.startAll().size(), 3U);
  Pool.submit(4, ScriptedPool::WholeWorker, "urgent");
  Pool.pass();
  Pool.Now += 150ms;
  Pool.Scheduler.cancel(JobId(2));
  Pool.pass();
  cr_assert_eq(Pool.Scheduler.reclaimPlans(), 1U);
}

Test(pool_reclaim_memory, plans_again_once_urgent_work_is_gone) {
  FullPool Pool;
  Pool.pass();
  Pool.Now += 20ms;
  Pool.Scheduler.cancel(JobId(1));
  Pool.Scheduler.cancel(JobId(2));
  Pool.pass();
  cr_assert_eq(Pool.Scheduler.reclaimPlans(), 1U);
  Pool.Now += Pool.Limits.Reclaims.Retry;
  Pool.pass();
  cr_assert_eq(Pool.Scheduler.reclaimPlans(), 2U);
  cr_assert_eq(Pool.Log.count("job.reclaims"), 1U);
}

Test(pool_reclaim_memory, failure_holds_until_a_change_or_the_recheck) {
  ReclaimMemoryLimits Limits;
  ReclaimMemory Memory(Limits);
  Memory.startPass(Begin);
  Memory.add(failure(2), Begin);
  cr_assert(Memory.isKnownToFail(failure(2)));
  cr_assert(Memory.isKnownToFail(failure(3)));
  cr_assert_not(Memory.isKnownToFail(failure(1)));
  Memory.startPass(Begin + Limits.Recheck - 1ms);
  cr_assert(Memory.isKnownToFail(failure(2)));
  Memory.startPass(Begin + Limits.Recheck);
  cr_assert_not(Memory.isKnownToFail(failure(2)));
}

Test(pool_reclaim_memory, freed_room_lets_a_plan_be_repeated_after_the_retry) {
  ReclaimMemoryLimits Limits;
  ReclaimMemory Memory(Limits);
  Memory.add(failure(2), Begin);
  Memory.roomFreed();
  Memory.startPass(Begin + Limits.Retry - 1ms);
  cr_assert(Memory.isKnownToFail(failure(2)));
  Memory.startPass(Begin + Limits.Retry);
  cr_assert_not(Memory.isKnownToFail(failure(2)));
}

Test(pool_reclaim_memory, demand_matters_only_within_a_guarantee) {
  ReclaimMemoryLimits Limits;
  ReclaimMemory Memory(Limits);
  Memory.add(failure(4), Begin);
  Memory.add(failure(2, true), Begin);
  Memory.demandChanged();
  Memory.startPass(Begin + Limits.Retry);
  cr_assert(Memory.isKnownToFail(failure(4)));
  cr_assert_not(Memory.isKnownToFail(failure(2, true)));
}

Test(pool_reclaim_memory, plans_of_a_pass_are_limited) {
  ReclaimMemoryLimits Limits;
  Limits.MaxPlans = 2;
  ReclaimMemory Memory(Limits);
  Memory.startPass(Begin);
  cr_assert(Memory.beginPlan());
  cr_assert(Memory.beginPlan());
  cr_assert_not(Memory.beginPlan());
  Memory.startPass(Begin);
  cr_assert(Memory.beginPlan());
  cr_assert_eq(Memory.plans(), 3U);
}

// A worker is listed before it reports for the first time, as after a takeover;
// only the report lets its runs be preempted.
Test(pool_reclaim_memory,
     plans_again_once_a_worker_reports_for_the_first_time) {
  ScriptedPool Earlier;
  Earlier.list(WorkerId("w1"));
  Earlier.report(WorkerId("w1"));
  Earlier.submit(1, ScriptedPool::WholeWorker);
  Earlier.pass();
  std::vector<JobChange> Changes = Earlier.Scheduler.changes(100);
  cr_assert_eq(Changes.size(), 1U);
  Earlier.Scheduler.committed(Changes, Earlier.Now);
  std::vector<StartOrder> Running = Earlier.pass().Starts;
  cr_assert_eq(Running.size(), 1U);

  ScriptedPool Pool;
  Pool.list(WorkerId("w1"));
  Pool.list(WorkerId("w2"), HalfWorker);
  Pool.report(WorkerId("w2"));
  pool::JobSpec Batch = Pool.job(1, ScriptedPool::WholeWorker);
  Pool.Scheduler.restore(Batch, JobStatus::Running,
                         *JobProgress::decode(Batch, Changes.front().Progress),
                         Pool.Now);
  Pool.submit(3, ScriptedPool::WholeWorker, "urgent");
  Pool.pass();
  cr_assert_eq(Pool.Scheduler.reclaimPlans(), 1U);
  Pool.Now += 10ms;
  Pool.report(WorkerId("w1"), Running);
  Pool.Now += Pool.Limits.Reclaims.Retry;
  Pool.pass();
  cr_assert_eq(Pool.Scheduler.reclaimPlans(), 2U);
  cr_assert_eq(Pool.Log.count("job.reclaims"), 1U);
}
