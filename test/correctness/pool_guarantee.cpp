/// \file
/// A workspace gets its guaranteed shape back from other workspaces' work, also
/// from urgent work that borrows it.
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// Eight workers of eight accelerators, half of them guaranteed to each of two
/// workspaces.
struct SharedPool {
  PoolWorld World{1, 1, 1};

  SharedPool() {
    World.Configuration.Guarantees = {{WorkspaceId("a"), 32},
                                      {WorkspaceId("b"), 32}};
    World.daemon(0).Owner->configure(World.Configuration);
    World.run(2s);
  }

  void submit(std::uint64_t Id, const char *Workspace, std::uint32_t Tasks,
              bool Gang, Duration Work) {
    JobSpec Spec = World.job(Id, Tasks, 8, Gang, Work);
    Spec.Queue = QueueId("urgent");
    Spec.Workspace = WorkspaceId(Workspace);
    Spec.Terms = World.Configuration.queue(Spec.Queue)->Terms;
    Submitted[Id] = World.Clock.now();
    World.submit(0, Spec);
  }

  /// How long a job waited for its first task; at most \p Limit.
  Duration waited(std::uint64_t Id, Duration Limit) {
    while (!World.Pool.firstStart(JobId(Id)) &&
           World.Clock.now() - Submitted[Id] < Limit)
      World.run(10ms);
    auto Start = World.Pool.firstStart(JobId(Id));
    return Start ? *Start - Submitted[Id] : Limit;
  }

  std::map<std::uint64_t, TimePoint> Submitted;
};

} // namespace

Test(pool_guarantee, borrowed_room_is_reclaimed_from_urgent_work) {
  SharedPool Shared;
  for (std::uint64_t Id = 1; Id <= 8; ++Id)
    Shared.submit(Id, "b", 1, false, 60s);
  Shared.World.run(1s);
  cr_assert_eq(Shared.World.Pool.running(), 8U);
  Shared.submit(20, "a", 4, true, 5s);
  cr_assert(Shared.waited(20, 10s) < 2s);
  Shared.World.run(1s);
  // The lender keeps its own guarantee.
  cr_assert_eq(Shared.World.Pool.running(), 8U);
}

Test(pool_guarantee, urgent_work_within_its_guarantee_is_not_reclaimed) {
  SharedPool Shared;
  Shared.submit(1, "b", 4, true, 30s);
  Shared.submit(2, "a", 4, true, 30s);
  Shared.World.run(1s);
  Shared.submit(3, "a", 4, true, 5s);
  Shared.World.run(10s);
  cr_assert_eq(Shared.World.Pool.running(), 8U);
  cr_assert_eq(Shared.World.Pool.starts(), 8U);
  cr_assert_not(Shared.World.Pool.firstStart(JobId(3)));
}

Test(pool_guarantee, work_within_a_guarantee_goes_before_borrowers) {
  SharedPool Shared;
  // The borrower's jobs have waited longer when room comes free.
  for (std::uint64_t Id = 1; Id <= 24; ++Id)
    Shared.submit(Id, "b", 1, false, 3s);
  Shared.World.run(500ms);
  Shared.submit(50, "a", 4, true, 2s);
  cr_assert(Shared.waited(50, 10s) < 2s);
}

Test(pool_guarantee, lower_priorities_give_way_before_borrowers) {
  SharedPool Shared;
  Shared.World.submit(0, Shared.World.job(30, 2, 8, false, 60s));
  Shared.World.run(500ms);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    Shared.submit(Id, "b", 1, false, 60s);
  Shared.World.run(1s);
  cr_assert_eq(Shared.World.Pool.running(), 8U);
  Shared.submit(40, "a", 2, true, 5s);
  cr_assert(Shared.waited(40, 10s) < 2s);
  Shared.World.run(500ms);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    cr_assert(Shared.World.shown(JobId(Id)) == JobStatus::Running);
  cr_assert_eq(Shared.World.daemon(0).Log.count("reason=reclaimed"), 2U);
}
