/// \file
/// A workspace reclaims its guaranteed capacity from the work of other
/// workspaces, including urgent work that borrows it.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// Eight workers of eight accelerators, half of them guaranteed to each of two
/// workspaces.
struct SharedPool {
  PoolSimulation Simulation{1, 1, 1};

  SharedPool() {
    Simulation.Configuration.Guarantees = {{WorkspaceId("a"), 32},
                                           {WorkspaceId("b"), 32}};
    Simulation.daemon(0).Owner->configure(Simulation.Configuration);
    Simulation.runFor(2s);
  }

  void submit(std::uint64_t Id, const char *Workspace, std::uint32_t Tasks,
              bool Gang, Duration Work) {
    JobSpec Spec = Simulation.job(Id, Tasks, 8, Gang, Work);
    Spec.Queue = QueueId("urgent");
    Spec.Workspace = WorkspaceId(Workspace);
    Spec.Terms = Simulation.Configuration.findQueue(Spec.Queue)->Terms;
    Submitted[Id] = Simulation.Clock.now();
    Simulation.submit(0, Spec);
  }

  /// Time that a job waited for its first task; at most \p Limit.
  Duration waited(std::uint64_t Id, Duration Limit) {
    while (!Simulation.Pool.firstStart(JobId(Id)) &&
           Simulation.Clock.now() - Submitted[Id] < Limit)
      Simulation.runFor(10ms);
    auto Start = Simulation.Pool.firstStart(JobId(Id));
    return Start ? *Start - Submitted[Id] : Limit;
  }

  std::map<std::uint64_t, TimePoint> Submitted;
};

} // namespace

Test(pool_guarantee, borrowed_capacity_is_reclaimed_from_urgent_work) {
  SharedPool Shared;
  for (std::uint64_t Id = 1; Id <= 8; ++Id)
    Shared.submit(Id, "b", 1, false, 60s);
  Shared.Simulation.runFor(1s);
  cr_assert_eq(Shared.Simulation.Pool.running(), 8U);
  Shared.submit(20, "a", 4, true, 5s);
  cr_assert(Shared.waited(20, 10s) < 2s);
  Shared.Simulation.runFor(1s);
  // The borrowing workspace keeps its own guarantee.
  cr_assert_eq(Shared.Simulation.Pool.running(), 8U);
}

Test(pool_guarantee, urgent_work_within_its_guarantee_is_not_reclaimed) {
  SharedPool Shared;
  Shared.submit(1, "b", 4, true, 30s);
  Shared.submit(2, "a", 4, true, 30s);
  Shared.Simulation.runFor(1s);
  Shared.submit(3, "a", 4, true, 5s);
  Shared.Simulation.runFor(10s);
  cr_assert_eq(Shared.Simulation.Pool.running(), 8U);
  cr_assert_eq(Shared.Simulation.Pool.starts(), 8U);
  cr_assert_not(Shared.Simulation.Pool.firstStart(JobId(3)));
}

Test(pool_guarantee, work_within_a_guarantee_precedes_borrowing_work) {
  SharedPool Shared;
  // The borrowing jobs have waited longer when resources become free.
  for (std::uint64_t Id = 1; Id <= 24; ++Id)
    Shared.submit(Id, "b", 1, false, 3s);
  Shared.Simulation.runFor(500ms);
  Shared.submit(50, "a", 4, true, 2s);
  cr_assert(Shared.waited(50, 10s) < 2s);
}

Test(pool_guarantee, lower_priorities_are_preempted_before_borrowing_work) {
  SharedPool Shared;
  Shared.Simulation.submit(0, Shared.Simulation.job(30, 2, 8, false, 60s));
  Shared.Simulation.runFor(500ms);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    Shared.submit(Id, "b", 1, false, 60s);
  Shared.Simulation.runFor(1s);
  cr_assert_eq(Shared.Simulation.Pool.running(), 8U);
  Shared.submit(40, "a", 2, true, 5s);
  cr_assert(Shared.waited(40, 10s) < 2s);
  Shared.Simulation.runFor(500ms);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    cr_assert(Shared.Simulation.visibleStatus(JobId(Id)) == JobStatus::Running);
  cr_assert_eq(Shared.Simulation.daemon(0).Log.count("reason=reclaimed"), 2U);
}
