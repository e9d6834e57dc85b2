/// \file
/// Work leaves a draining worker in time, unless it ends there.
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

/// How long a job of one task takes whose worker leaves 2 s after it said so.
Duration timeOf(Duration Work) {
  PoolWorld World(1, 2, 2);
  World.run(2s);
  World.submit(0, World.job(1, 1, 8, false, Work));
  World.run(500ms);
  TimePoint Begin = World.Clock.now();
  for (const WorkerId &Id : World.Pool.ids()) {
    if (World.Pool.runningOn(Id) == 0)
      continue;
    World.list(Id, true);
    World.Clock.scheduleAfter(2s, [&World, Id] { World.Pool.crash(Id); });
    World.Clock.scheduleAfter(2100ms, [&World, Id] { World.unlist(Id); });
  }
  while (World.shown(JobId(1)) != pool::JobStatus::Completed) {
    World.run(100ms);
    cr_assert(World.Clock.now() - Begin < 60s);
  }
  cr_assert(World.Pool.violations().empty());
  return World.Clock.now() - Begin;
}

} // namespace

Test(pool_draining_worker, long_task_moves_before_the_worker_leaves) {
  // Waiting for its lease to run out would cost six seconds more.
  cr_assert(timeOf(5s) < 6500ms);
}

Test(pool_draining_worker, short_task_ends_there) {
  cr_assert(timeOf(1s) < 1s);
}
