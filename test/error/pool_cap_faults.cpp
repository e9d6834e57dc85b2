/// \file
/// A workspace at its cap starts nothing more when the owner changes or workers
/// cannot be reached.
#include "support/CapCheck.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// Three daemons with 16 workers of eight accelerators. Workspace "a" runs four
/// tasks at its cap of 32, and four more wait.
struct FullWorkspace {
  PoolSimulation Simulation{5, 3, 2};
  CapCheck Caps{Simulation, 0.0};

  explicit FullWorkspace(Duration RunTime) {
    Caps.setCaps({{WorkspaceId("a"), {0, 0, 32}}});
    Simulation.runFor(4s);
    Simulation.submit(0, Simulation.job(1, 8, 8, false, RunTime));
    Simulation.runFor(1s);
    cr_assert_eq(Simulation.Pool.running(), 4U);
  }
  void cutOffBusyWorkers() {
    for (const WorkerId &Id : Simulation.Pool.ids()) {
      if (Simulation.Pool.runningOn(Id) > 0)
        Simulation.setReachable(Id, false);
    }
  }
  ~FullWorkspace() {
    for (const std::string &Violation : Caps.violations())
      cr_assert_fail("%s", Violation.c_str());
  }
};

} // namespace

/// The successor counts inherited runs before its first start, also while it
/// cannot reach their workers.
Test(pool_cap_faults, inherited_runs_count_at_once) {
  for (bool Unresponsive : {false, true}) {
    FullWorkspace Workspace(9s);
    PoolSimulation &Simulation = Workspace.Simulation;
    if (Unresponsive)
      Workspace.cutOffBusyWorkers();
    Simulation.kill(*Simulation.owner());
    Simulation.runFor(3s);
    cr_assert(Simulation.owner());
    cr_assert_eq(Simulation.Pool.starts(), 4U);
    for (const WorkerId &Id : Simulation.Pool.ids())
      Simulation.setReachable(Id, true);
    Simulation.runFor(30s);
    cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
  }
}

/// Daemons that restart together may own the pool before they have read the
/// configuration, and with it the caps.
Test(pool_cap_faults, nothing_starts_before_the_caps_are_known) {
  FullWorkspace Workspace(9s);
  PoolSimulation &Simulation = Workspace.Simulation;
  Simulation.ConfiguresNewDaemons = false;
  for (std::size_t Number = 0; Number < 3; ++Number)
    Simulation.restart(Number);
  Simulation.runFor(4s);
  cr_assert(Simulation.owner());
  cr_assert_eq(Simulation.Pool.starts(), 4U);
  Simulation.applyConfiguration();
  Simulation.runFor(30s);
  cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
}

/// Runs on a worker that cannot be reached count until their leases are over;
/// then the next ones start.
Test(pool_cap_faults, runs_on_a_cut_off_worker_count_until_they_are_gone) {
  FullWorkspace Workspace(40s);
  PoolSimulation &Simulation = Workspace.Simulation;
  Workspace.cutOffBusyWorkers();
  Simulation.runFor(5s);
  cr_assert_eq(Simulation.Pool.starts(), 4U);
  Simulation.runFor(10s);
  cr_assert_eq(Simulation.Pool.starts(), 8U);
}
