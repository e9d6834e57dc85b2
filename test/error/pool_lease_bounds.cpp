/// \file
/// The bound on the leases of a lost worker is carried over takeovers, and no
/// task runs twice because of it.
#include "pool/LeaseBounds.h"
#include "pool/LeaseHorizon.h"
#include "pool/StoreKeys.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// Time after a takeover by which every lease of an earlier owner has ended: 9
/// s after its last renewal of the ownership, which was made 1.3 s before its
/// own lease ended, and the time that a worker takes.
constexpr Duration FullWait = 7900ms;
/// The same for an owner of a version that does not limit its leases: 10 s of
/// renewals without the store, and a lease at the slowest clock.
constexpr Duration UnlimitedWait = 16122ms;
constexpr Duration ClockMargin = 5s;

/// A simulation of six daemons with one running job.
class LeaseBoundsRun {
public:
  LeaseBoundsRun(std::uint32_t Tasks, bool Gang, Duration RunTime)
      : Simulation(7, 6, 2) {
    Simulation.runFor(2s);
    Simulation.submit(0, Simulation.job(1, Tasks, 8, Gang, RunTime));
    Simulation.runFor(1s);
    for (const WorkerId &Id : Simulation.Pool.ids())
      if (Simulation.Pool.runningOn(Id) > 0)
        Target = Id;
  }

  /// Sets whether a daemon reaches the target worker.
  void setReach(std::size_t Number, bool Reached) {
    auto &Cut = Simulation.daemon(Number).Workers.Faults.Unresponsive;
    if (Reached)
      Cut.erase(Target);
    else
      Cut.insert(Target);
  }

  /// Lets only \p Number reach the target worker.
  void cutExcept(std::size_t Number) {
    for (std::size_t Other = 0; Other < Simulation.daemonCount(); ++Other)
      setReach(Other, Other == Number);
  }

  /// Disconnects the owner from the store, so that it renews leases on until 9
  /// s after its last renewal of the ownership, and returns the number of its
  /// successor.
  std::size_t isolateOwner() {
    std::size_t First = *Simulation.owner();
    cutExcept(First);
    Simulation.daemon(First).Store.Faults.Unresponsive = true;
    return waitForOwner();
  }

  /// Returns the daemon that owns the pool and reaches the store.
  std::size_t waitForOwner() {
    for (int Step = 0; Step < 500; ++Step) {
      Simulation.runFor(10ms);
      for (std::size_t Number = 0; Number < Simulation.daemonCount();
           ++Number) {
        PoolDaemon &Daemon = Simulation.daemon(Number);
        if (!Daemon.Store.Faults.Unresponsive && Daemon.Owner &&
            Daemon.Owner->owns())
          return Number;
      }
    }
    cr_assert_fail("no owner within 5 s");
    return 0;
  }

  /// Kills the owner and returns the number of its successor.
  std::size_t replaceOwner(std::size_t Former) {
    Simulation.kill(Former);
    return waitForOwner();
  }

  /// Runs until the workers have started \p Starts tasks in all, and returns
  /// the time.
  TimePoint waitForStarts(std::size_t Starts) {
    for (int Step = 0; Step < 1000 && Simulation.Pool.starts() < Starts; ++Step)
      Simulation.runFor(100ms);
    cr_assert_geq(Simulation.Pool.starts(), Starts);
    return Simulation.Clock.now();
  }

  TimePoint now() const { return Simulation.Clock.now(); }

  void expectNoViolations(const char *Case, Duration At = {}) const {
    cr_assert(Simulation.Pool.violations().empty(), "%s at %.1f s: %s", Case,
              toSeconds(At), Simulation.Pool.violations().front().c_str());
  }

  PoolSimulation Simulation;
  WorkerId Target;
};

} // namespace

/// Each new owner waited the full time anew, so that a gang with a member on a
/// lost worker started again only after the bound of the last of three owners.
Test(pool_lease_bounds, gang_restarts_at_the_bound_of_the_first_owner) {
  LeaseBoundsRun Run(4, true, 60s);
  std::size_t Owner = *Run.Simulation.owner();
  TimePoint LostAt = Run.now();
  Run.Simulation.Pool.crash(Run.Target);
  Run.Simulation.runFor(3s);
  Owner = Run.replaceOwner(Owner);
  TimePoint FirstTakeover = Run.now();
  for (int Takeover = 0; Takeover < 2; ++Takeover) {
    Run.Simulation.runFor(5s);
    Owner = Run.replaceOwner(Owner);
  }
  cr_assert_lt((Run.now() - LostAt).count(), Duration(20s).count());
  Duration Waited = Run.waitForStarts(8) - FirstTakeover;
  cr_assert_lt(Waited.count(), Duration(FullWait + ClockMargin + 1s).count(),
               "the gang started %.1f s after the first takeover",
               toSeconds(Waited));
  Run.expectNoViolations("three takeovers");
}

/// The list is not written before the first owner dies, so its successor knows
/// no bound.
Test(pool_lease_bounds, successor_waits_the_full_time_without_a_list) {
  LeaseBoundsRun Run(1, false, 60s);
  std::size_t Second = Run.isolateOwner();
  Run.Simulation.runFor(500ms);
  Run.replaceOwner(Second);
  TimePoint Takeover = Run.now();
  Duration Waited = Run.waitForStarts(2) - Takeover;
  cr_assert_gt(Waited.count(), Duration(FullWait - 100ms).count());
  Run.expectNoViolations("no list");
}

/// A run that survived the cut is adopted, and one that did not is not started
/// before its lease has ended.
Test(pool_lease_bounds, worker_that_returns_after_a_cut_runs_nothing_twice) {
  for (Duration Return = 0s; Return <= 24s; Return += 2s) {
    LeaseBoundsRun Run(1, false, 40s);
    std::size_t Second = Run.isolateOwner();
    Run.Simulation.runFor(2s);
    Run.replaceOwner(Second);
    Run.Simulation.runFor(Return);
    for (std::size_t Number = 0; Number < 6; ++Number)
      Run.setReach(Number, true);
    bool Survived = Run.Simulation.Pool.runningOn(Run.Target) > 0;
    Run.Simulation.runFor(70s);
    Run.expectNoViolations("return", Return);
    cr_assert(Run.Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
    cr_assert_eq(Run.Simulation.Pool.starts(), Survived ? 1 : 2,
                 "return after %.0f s", toSeconds(Return));
  }
}

/// The third owner reaches the listed worker and has no store: if it extended
/// the lease, the run would outlast the bound that the fourth owner reads.
Test(pool_lease_bounds, listed_worker_gets_no_lease_while_the_store_is_down) {
  LeaseBoundsRun Run(1, false, 60s);
  std::size_t Second = Run.isolateOwner();
  TimePoint Takeover = Run.now();
  Run.Simulation.runFor(5s);
  std::size_t Third = Run.replaceOwner(Second);
  Run.Simulation.daemon(Third).Store.Faults.Unresponsive = true;
  Run.setReach(Third, true);
  cr_assert_eq(Run.Simulation.Pool.runningOn(Run.Target), 1);
  Run.waitForOwner();
  Duration Waited = Run.waitForStarts(2) - Takeover;
  cr_assert_lt(Waited.count(), Duration(FullWait + ClockMargin + 1s).count());
  Run.expectNoViolations("third owner without store");
}

/// Without the margin, a successor whose clock is ahead would start the task
/// while the first owner's lease lasts.
Test(pool_lease_bounds, wall_clocks_that_jump_start_nothing_too_early) {
  for (Duration Jump : {-2s, 2s}) {
    LeaseBoundsRun Run(1, false, 60s);
    std::size_t Second = Run.isolateOwner();
    TimePoint Takeover = Run.now();
    Run.Simulation.runFor(2s);
    for (std::size_t Number = 0; Number < 6; ++Number)
      Run.Simulation.daemon(Number).Timers.setWallOffset(Jump);
    Run.replaceOwner(Second);
    Duration Waited = Run.waitForStarts(2) - Takeover;
    cr_assert_lt(Waited.count(), Duration(FullWait + ClockMargin + 3s).count());
    Run.expectNoViolations("jump", Jump);
  }
}

/// A version without the list extends the leases of listed workers, so a list
/// from before its ownership is void.
Test(pool_lease_bounds, list_older_than_a_version_without_it_is_void) {
  LeaseBoundsRun Run(1, false, 60s);
  std::size_t Second = Run.isolateOwner();
  Run.Simulation.runFor(2s);
  std::string Key(LeaseBoundsKey);
  cr_assert_eq(Run.Simulation.Shared.list(Key).Entries.size(), 1);
  Run.Simulation.Shared.put(std::string(HeadKey), "old/7/1/3");
  Run.replaceOwner(Second);
  TimePoint Takeover = Run.now();
  cr_assert(Run.Simulation.Shared.list(Key).Entries.empty());
  Duration Waited = Run.waitForStarts(2) - Takeover;
  cr_assert_gt(Waited.count(), Duration(UnlimitedWait - 100ms).count());
}

/// Where every worker answers, decisions are those of an owner that lists no
/// worker.
Test(pool_lease_bounds, nothing_changes_while_workers_answer) {
  std::vector<std::vector<std::string>> Logs;
  for (Duration Delay : {Duration(1s), Duration(1h)}) {
    OwnerLimits Limits;
    Limits.LeaseListDelay = Delay;
    PoolSimulation Simulation(11, 3, 2, {}, Limits);
    Simulation.runFor(2s);
    for (std::uint64_t Id = 1; Id <= 12; ++Id)
      Simulation.submit(Id % 3, Simulation.job(Id, Id, 2, Id % 2 == 0, 4s));
    Simulation.runFor(2s);
    Simulation.kill(*Simulation.owner());
    Simulation.runFor(30s);
    auto &Lines = Logs.emplace_back();
    for (std::size_t Number = 0; Number < 3; ++Number)
      for (const std::string &Line : Simulation.daemon(Number).Log.lines())
        Lines.push_back(Line);
  }
  cr_assert_gt(Logs[0].size(), 50);
  cr_assert(Logs[0] == Logs[1]);
}

/// A list that cannot be read may name any worker: no lease is extended until
/// it is replaced, and a worker that falls silent again keeps the full bound.
Test(pool_lease_bounds, malformed_list_withholds_all_leases) {
  LeaseBounds Bounds;
  TimePoint AllEnded(20s);
  cr_assert(!Bounds.restore("[[1]]", AllEnded, TimePoint(1s), WallTime(9s)));
  cr_assert(Bounds.changed() && Bounds.withholdsLease(WorkerId("w")));
  cr_assert(Bounds.startCommit().empty());
  cr_assert(Bounds.withholdsLease(WorkerId("w")));
  Bounds.committed();
  cr_assert(!Bounds.withholdsLease(WorkerId("w")));
  cr_assert(Bounds.endsBy(WorkerId("w")) == AllEnded);
}

/// A worker that answered and falls silent before its lease was extended may
/// still hold a lease of an earlier owner.
Test(pool_lease_bounds, bound_outlasts_the_list_until_a_lease_is_extended) {
  LeaseBounds Bounds;
  WorkerId Id("w");
  Bounds.add(Id, TimePoint(20s), TimePoint(1s), WallTime(9s));
  cr_assert_eq(Bounds.startCommit(), "[[33000000,[\"w\"]]]");
  Bounds.release(Id);
  cr_assert(Bounds.committed().empty() && Bounds.withholdsLease(Id));
  cr_assert(Bounds.startCommit().empty());
  cr_assert_eq(Bounds.committed().size(), 1);
  cr_assert(!Bounds.withholdsLease(Id));
  cr_assert(Bounds.endsBy(Id) == TimePoint(20s));
  Bounds.leaseExtended(Id);
  cr_assert(!Bounds.endsBy(Id));
}

namespace {

constexpr LeaseTimes Times{1300ms, 10s, 3s, 6s};
constexpr std::string_view LimitedHead = "d/7/1/3/lease-limit/lease-bounds";
constexpr std::string_view UnlimitedHead = "d/7/1/3/lease-bounds";

} // namespace

Test(pool_lease_bounds, horizon_depends_on_the_last_renewal) {
  LeaseHorizon Horizon(Times);
  cr_assert(Horizon.grantsEndBy(TimePoint(20s)) == TimePoint(29s));
  Horizon.startTakeover(LimitedHead);
  Horizon.takenOver(TimePoint(30s));
  cr_assert(Horizon.earlierLeasesEndBy() == TimePoint(37900ms));
}

/// A version without the limit renews leases for 10 s without the store.
Test(pool_lease_bounds, horizon_of_a_version_without_a_limit_is_longer) {
  LeaseHorizon Horizon(Times);
  Horizon.startTakeover(UnlimitedHead);
  Horizon.takenOver(TimePoint(30s));
  cr_assert(Horizon.earlierLeasesEndBy() >= TimePoint(46s));
  // A successor of this owner has to wait for those leases too.
  cr_assert_not(Horizon.markerAt(TimePoint(31s)).starts_with("/lease-limit"));
  cr_assert(Horizon.markerAt(TimePoint(50s)).starts_with("/lease-limit"));
}

/// Tasks of a worker that was lost just before its owner waited 16 s after the
/// takeover. LOST allows 11.3 s, of which 9.25 are left after the takeover.
Test(pool_lease_bounds, task_of_a_lost_worker_waits_16_s_after_a_takeover) {
  for (Duration Between : {-1s, 0s, 1s}) {
    LeaseBoundsRun Run(1, false, 60s);
    std::size_t Owner = *Run.Simulation.owner();
    TimePoint LostAt = Run.now();
    if (Between >= Duration::zero())
      Run.Simulation.Pool.crash(Run.Target);
    Run.Simulation.runFor(std::max(Between, Duration::zero()));
    Run.Simulation.kill(Owner);
    if (Between < Duration::zero()) {
      Run.Simulation.runFor(-Between);
      LostAt = Run.now();
      Run.Simulation.Pool.crash(Run.Target);
    }
    Duration Waited = Run.waitForStarts(2) - LostAt;
    cr_assert_lt(Waited.count(), Duration(11300ms).count(),
                 "%.1f s between: %.1f s", toSeconds(Between),
                 toSeconds(Waited));
    Run.expectNoViolations("lost worker", Between);
  }
}
