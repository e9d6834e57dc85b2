/// \file
/// No start brings a workspace above its cap, and work that waits at a cap
/// holds up no other work.
#include "support/CapCheck.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

PoolLimits limitsWithOverage() {
  PoolLimits Limits;
  Limits.CapOverage = 0.1;
  return Limits;
}

/// Eight workers of eight accelerators; workspace "a" has a cap.
struct CappedPool {
  PoolSimulation Simulation{1, 2, 1, limitsWithOverage()};
  CapCheck Caps{Simulation, 0.1};

  explicit CappedPool(Resources Cap) {
    setCap(Cap);
    Simulation.runFor(4s);
  }
  ~CappedPool() {
    for (const std::string &Violation : Caps.violations())
      cr_assert_fail("%s", Violation.c_str());
  }

  void setCap(Resources Cap) { Caps.setCaps({{WorkspaceId("a"), Cap}}); }

  std::shared_ptr<std::optional<Reason>>
  submit(std::uint64_t Id, const char *Workspace, std::uint32_t Tasks,
         std::int32_t Accelerators, bool Gang, Duration RunTime,
         const char *Queue = "batch") {
    JobSpec Spec = Simulation.job(Id, Tasks, Accelerators, Gang, RunTime);
    Spec.Workspace = WorkspaceId(Workspace);
    Spec.Queue = QueueId(Queue);
    Spec.Terms = Simulation.Configuration.findQueue(Spec.Queue)->Terms;
    return Simulation.submit(0, Spec);
  }
  /// Fills the pool with tasks of workspace "b" that may be stopped, and with
  /// urgent ones on the two workers that are kept free for urgent work.
  void fill(std::uint32_t Tasks) {
    submit(100, "b", Tasks, 8, false, 20s);
    Simulation.runFor(500ms);
    submit(101, "b", 2, 8, false, 20s, "urgent");
    Simulation.runFor(500ms);
    cr_assert_eq(Simulation.Pool.running(), 8U);
  }
  bool completed(std::uint64_t Id) const {
    return Simulation.visibleStatus(JobId(Id)) == JobStatus::Completed;
  }
  std::size_t logged(const std::string &Text) {
    std::size_t Result = 0;
    for (std::size_t Number = 0; Number < Simulation.daemonCount(); ++Number)
      Result += Simulation.daemon(Number).Log.count(Text);
    return Result;
  }
};

} // namespace

/// Every resource is limited, and one of 0 is not.
Test(pool_caps, step_larger_than_the_cap_runs_in_waves) {
  for (Resources Cap : {Resources{0, 0, 16}, Resources{2000, 0, 0},
                        Resources{0, 2048, 0}, Resources{2000, 9999, 99}}) {
    CappedPool Pool(Cap);
    Pool.submit(1, "a", 6, 8, false, 1s);
    Pool.Simulation.runFor(500ms);
    cr_assert_eq(Pool.Simulation.Pool.running(), 2U);
    Pool.Simulation.runFor(4s);
    cr_assert(Pool.completed(1));
    cr_assert_eq(Pool.Simulation.Pool.starts(), 6U);
  }
}

/// A best-effort task takes no cores of its worker, but counts with all of
/// them.
Test(pool_caps, best_effort_tasks_count_with_their_cores) {
  CappedPool Pool({2000, 0, 0});
  JobSpec Spec = Pool.Simulation.job(1, 6, 0, false, 1s);
  Spec.Steps[0].FillsIdle = true;
  Pool.Simulation.submit(0, Spec);
  Pool.Simulation.runFor(500ms);
  cr_assert_eq(Pool.Simulation.Pool.running(), 2U);
}

Test(pool_caps, lowered_cap_stops_no_run_and_raised_cap_applies_at_once) {
  CappedPool Pool({0, 0, 48});
  for (std::uint64_t Id = 1; Id <= 20; ++Id)
    Pool.submit(Id, "a", 1, 8, false, 2s + Id * 300ms);
  Pool.Simulation.runFor(1s);
  cr_assert_eq(Pool.Simulation.Pool.running(), 6U);
  Pool.setCap({0, 0, 16});
  // Four of six have ended, and none has taken their place.
  Pool.Simulation.runFor(2350ms);
  cr_assert_eq(Pool.Simulation.Pool.running(), 2U);
  cr_assert_eq(Pool.Simulation.Pool.starts(), 6U);
  Pool.setCap({0, 0, 32});
  Pool.Simulation.runFor(100ms);
  cr_assert_eq(Pool.Simulation.Pool.running(), 4U);
  cr_assert_eq(Pool.logged("run.stop"), 0U);
}

/// A run that was planned but not recorded before the cap was lowered is no
/// running run: its start would come seconds after the new version, here after
/// a store outage.
Test(pool_caps, planned_run_is_not_started_above_a_newer_cap) {
  for (bool Gang : {false, true}) {
    CappedPool Pool({0, 0, 48});
    std::size_t Owner = *Pool.Simulation.owner();
    Pool.submit(1, "a", 6, 8, Gang, 20s);
    while (Pool.logged("run.placed") == 0)
      Pool.Simulation.runFor(1ms);
    Pool.Simulation.daemon(Owner).Store.Faults.Unresponsive = true;
    Pool.setCap({0, 0, 16});
    Pool.Simulation.runFor(4s);
    Pool.Simulation.daemon(Owner).Store.Faults.Unresponsive = false;
    Pool.Simulation.runFor(6s);
    cr_assert_eq(Pool.Simulation.Pool.running(), Gang ? 0U : 2U);
  }
}

Test(pool_caps, gang_that_never_fits_is_rejected_and_never_runs) {
  CappedPool Pool({0, 0, 40});
  auto Wide = Pool.submit(1, "a", 6, 8, true, 1s);
  auto Fitting = Pool.submit(2, "a", 5, 8, true, 1s);
  auto Uncapped = Pool.submit(3, "b", 6, 8, true, 1s);
  Pool.Simulation.runFor(10s);
  cr_assert(*Wide == Reason::ExceedsWorkspaceCap);
  cr_assert(*Fitting == Reason::None);
  cr_assert(*Uncapped == Reason::None);
  cr_assert_not(Pool.Simulation.Pool.firstStart(JobId(1)));
  cr_assert(Pool.completed(2) && Pool.completed(3));
  // Resubmitted under a higher cap, the job is accepted.
  Pool.setCap({0, 0, 48});
  auto Repeated = Pool.submit(1, "a", 6, 8, true, 1s);
  Pool.Simulation.runFor(10s);
  cr_assert(*Repeated == Reason::None);
  cr_assert(Pool.completed(1));
}

/// An accepted job whose submission is repeated under a lower cap is not
/// rejected, since it may run.
Test(pool_caps, accepted_gang_waits_under_a_lower_cap) {
  CappedPool Pool({0, 0, 48});
  Pool.submit(1, "a", 3, 8, true, 2s);
  Pool.Simulation.runFor(500ms);
  Pool.submit(2, "a", 6, 8, true, 1s);
  Pool.Simulation.runFor(500ms);
  Pool.setCap({0, 0, 40});
  auto Repeated = Pool.submit(2, "a", 6, 8, true, 1s);
  Pool.submit(3, "a", 2, 8, true, 1s);
  Pool.submit(4, "b", 8, 8, true, 1s);
  Pool.Simulation.runFor(10s);
  cr_assert(*Repeated == Reason::None);
  cr_assert_not(Pool.Simulation.Pool.firstStart(JobId(2)));
  // Neither its own workspace nor another waits for it.
  cr_assert(Pool.completed(3) && Pool.completed(4));
  cr_assert_eq(Pool.logged("reason=workspace_at_cap"), 1U);
  Pool.setCap({0, 0, 48});
  Pool.Simulation.runFor(3s);
  cr_assert(Pool.completed(2));
}

Test(pool_caps, gang_within_the_overage_runs_only_alone) {
  CappedPool Pool({0, 0, 44});
  Pool.submit(1, "a", 1, 1, false, 2s);
  Pool.Simulation.runFor(500ms);
  auto Gang = Pool.submit(2, "a", 6, 8, true, 1s);
  Pool.Simulation.runFor(1s);
  cr_assert(*Gang == Reason::None);
  cr_assert_not(Pool.Simulation.Pool.firstStart(JobId(2)));
  Pool.Simulation.runFor(3s);
  cr_assert(Pool.completed(2));
}

/// A task that is larger than the cap runs alone; it could never run otherwise.
Test(pool_caps, single_task_above_the_cap_runs_alone) {
  CappedPool Pool({0, 0, 4});
  Pool.submit(1, "a", 3, 8, false, 1s);
  Pool.Simulation.runFor(500ms);
  cr_assert_eq(Pool.Simulation.Pool.running(), 1U);
  Pool.Simulation.runFor(4s);
  cr_assert(Pool.completed(1));
}

/// The workers are full of other work. Urgent work at its cap stops none of it,
/// although its workspace has a guarantee.
Test(pool_caps, candidate_at_its_cap_reclaims_nothing) {
  CappedPool Pool({0, 0, 16});
  Pool.submit(1, "a", 2, 8, true, 20s, "urgent");
  Pool.Simulation.runFor(500ms);
  Pool.fill(4);
  Pool.submit(3, "a", 2, 8, true, 1s, "urgent");
  Pool.submit(4, "a", 4, 8, false, 1s, "urgent");
  Pool.Simulation.runFor(3s);
  cr_assert_eq(Pool.logged("reason=reclaimed"), 0U);
  cr_assert_eq(Pool.Simulation.Pool.running(), 8U);
}

/// A burst of urgent jobs reclaims no more than its workspace may hold.
Test(pool_caps, burst_of_urgent_jobs_reclaims_up_to_the_cap) {
  CappedPool Pool({0, 0, 16});
  Pool.fill(6);
  for (std::uint64_t Id = 10; Id < 16; ++Id)
    Pool.submit(Id, "a", 1, 8, false, 5s, "urgent");
  Pool.Simulation.runFor(3s);
  cr_assert_eq(Pool.logged("reason=reclaimed"), 2U);
}

/// A gang at its cap reserves no workers, so that small jobs of others start.
Test(pool_caps, candidate_at_its_cap_reserves_nothing) {
  CappedPool Pool({0, 0, 40});
  Pool.submit(1, "a", 1, 8, false, 20s);
  Pool.Simulation.runFor(500ms);
  Pool.submit(2, "a", 5, 8, true, 1s);
  for (std::uint64_t Id = 10; Id < 16; ++Id)
    Pool.submit(Id, "b", 1, 8, false, 10s);
  Pool.Simulation.runFor(500ms);
  cr_assert_eq(Pool.Simulation.Pool.running(), 7U);
}
