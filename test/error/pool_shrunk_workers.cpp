/// \file
/// Workers lose part of their capacity while they run. Guards against starts
/// that were planned, or sent without an answer, when there was still room, and
/// against stops of work that the worker no longer has room for.
#include "support/PoolSimulation.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr Resources Whole = ScriptedPool::WholeWorker;
const WorkerId W1("w1");
const WorkerId W2("w2");

/// Keeps no workers free for urgent work.
PoolLimits limits() {
  PoolLimits Limits;
  Limits.Reserve.MinShare = 0.0;
  Limits.Reserve.MaxShare = 0.0;
  return Limits;
}

/// A pool with one worker.
struct ShrinkingPool : ScriptedPool {
  ShrinkingPool() : ScriptedPool(limits()) {
    Configuration.Guarantees[WorkspaceId("a")] = 8;
    Scheduler.configure(Configuration);
    list(W1, Whole);
    report(W1);
  }
};

} // namespace

Test(pool_shrunk_workers, start_that_waits_for_its_commit_is_not_ordered) {
  for (const Resources &Shrunk :
       {Resources{32000, 131072, 4}, Resources{1000, 131072, 8},
        Resources{32000, 512, 8}, Resources{}}) {
    ShrinkingPool Pool;
    Pool.submit(1, {2000, 1024, 8});
    Pool.pass();
    Pool.list(W1, Shrunk);
    Pool.commit();
    cr_assert(Pool.pass().Starts.empty());
    // It starts as soon as there is room again.
    Pool.list(W1, Whole);
    cr_assert_eq(Pool.starts().size(), 1U);
  }
}

Test(pool_shrunk_workers, unanswered_start_is_not_repeated) {
  ShrinkingPool Pool;
  Pool.submit(1, {2000, 1024, 8});
  StartOrder Order = Pool.starts().front();
  Pool.Scheduler.startAnswered(Order, OrderResult::NoAnswer, Pool.Now);
  Pool.list(W1, {32000, 131072, 4});
  for (int Step = 0; Step < 40; ++Step) {
    Pool.Now += 100ms;
    PoolOrders Orders = Pool.pass();
    cr_assert(Orders.Starts.empty());
    for (const StopOrder &Stop : Orders.Stops)
      Pool.Scheduler.stopAnswered(Stop, OrderResult::Done, Pool.Now);
    Pool.Now += 1ms;
    Pool.report(W1);
  }
  // The task is free to start elsewhere.
  Pool.list(W2, Whole);
  Pool.report(W2);
  auto Starts = Pool.starts();
  cr_assert_eq(Starts.size(), 1U);
  cr_assert(Starts.front().Worker == W2);
}

Test(pool_shrunk_workers, unanswered_start_that_a_report_shows_runs_on) {
  ShrinkingPool Pool;
  Pool.submit(1, {2000, 1024, 8});
  StartOrder Order = Pool.starts().front();
  Pool.Scheduler.startAnswered(Order, OrderResult::NoAnswer, Pool.Now);
  Pool.list(W1, {32000, 131072, 4});
  for (int Step = 0; Step < 40; ++Step) {
    Pool.Now += 100ms;
    Pool.report(W1, {Order});
    PoolOrders Orders = Pool.pass();
    cr_assert(Orders.Starts.empty());
    cr_assert(Orders.Stops.empty());
  }
}

Test(pool_shrunk_workers, running_work_is_not_stopped) {
  ShrinkingPool Pool;
  Pool.submit(1, {2000, 1024, 8});
  auto Running = Pool.startAll();
  Pool.list(W1, Resources());
  // Nothing fits beside it, not even what needs none of what is short.
  Pool.submit(2, {1000, 1024, 0});
  for (int Step = 0; Step < 40; ++Step) {
    Pool.Now += 100ms;
    Pool.report(W1, Running);
    PoolOrders Orders = Pool.pass();
    Pool.commit();
    cr_assert(Orders.Starts.empty());
    cr_assert(Orders.Stops.empty());
  }
}

Test(pool_shrunk_workers, stopping_run_still_counts) {
  ShrinkingPool Pool;
  Pool.submit(1, {2000, 1024, 4});
  Pool.submit(2, {2000, 1024, 4});
  auto Running = Pool.startAll();
  cr_assert_eq(Running.size(), 2U);
  Pool.list(W1, {32000, 131072, 4});
  Pool.Scheduler.cancel(JobId(1));
  Pool.submit(3, {2000, 1024, 4});
  cr_assert(Pool.starts().empty());
  Pool.report(W1, Running);
  cr_assert(Pool.starts().empty());
}

Test(pool_shrunk_workers, guaranteed_work_is_reclaimed_where_it_fits) {
  ShrinkingPool Pool;
  Pool.list(W2, Whole);
  Pool.report(W2);
  Pool.submit(1, {2000, 1024, 8});
  Pool.submit(2, {2000, 1024, 8});
  auto Running = Pool.startAll();
  cr_assert_eq(Running.size(), 2U);
  Pool.list(W1, {32000, 131072, 4});
  Pool.submit(3, {2000, 1024, 8}, "urgent");
  PoolOrders Orders = Pool.pass();
  cr_assert_eq(Orders.Stops.size(), 1U);
  cr_assert(Orders.Stops.front().Worker == W2);
}

Test(pool_shrunk_workers, nothing_starts_on_an_outdated_view) {
  ShrinkingPool Pool;
  Pool.submit(1, {2000, 1024, 8});
  Pool.pass();
  Pool.commit();
  Pool.Scheduler.setDirectoryCurrent(false);
  Pool.submit(2, {1000, 1024, 0});
  cr_assert(Pool.starts().empty());
  Pool.Scheduler.setDirectoryCurrent(true);
  cr_assert_eq(Pool.pass().Starts.size(), 1U);
  cr_assert_eq(Pool.starts().size(), 1U);
}

/// The orders of an owner that resumes after a pause may be older than what the
/// directory shows.
Test(pool_shrunk_workers, owner_with_an_outdated_directory_starts_nothing) {
  PoolSimulation Simulation(7, 1, 1);
  PoolOwner &Owner = *Simulation.daemon(0).Owner;
  TimePoint ConfirmedAt = Simulation.Clock.now() + 3s;
  Owner.setDirectoryClock([&ConfirmedAt] { return ConfirmedAt; });
  Simulation.runFor(8s);
  Simulation.submit(0, Simulation.job(1, 1, 8, false, 1s));
  Simulation.runFor(3s);
  cr_assert_eq(Simulation.Pool.starts(), 0U);
  ConfirmedAt = Simulation.Clock.now();
  Simulation.runFor(1s);
  cr_assert_eq(Simulation.Pool.starts(), 1U);
}

Test(pool_shrunk_workers, repeated_start_does_not_exceed_a_shrunk_worker) {
  PoolSimulation Simulation(7, 1, 1);
  Simulation.runFor(2s);
  auto Workers = Simulation.Pool.ids();
  std::set<WorkerId> &Unresponsive =
      Simulation.daemon(0).Workers.Faults.Unresponsive;
  for (const WorkerId &Id : Workers)
    Unresponsive.insert(Id);
  Simulation.submit(0, Simulation.job(1, 8, 8, false, 1s));
  Simulation.runFor(500ms);
  for (const WorkerId &Id : Workers)
    Simulation.resizeWorker(Id, {32000, 131072, 4});
  Simulation.runFor(4s);
  Unresponsive.clear();
  Simulation.runFor(8s);
  cr_assert(Simulation.Pool.violations().empty(), "%s",
            Simulation.Pool.violations().front().c_str());
  for (const WorkerId &Id : Workers)
    Simulation.resizeWorker(Id, Whole);
  Simulation.runFor(8s);
  cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
}
