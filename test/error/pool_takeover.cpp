/// \file
/// Ownership changes hands in the middle of work without a second run.
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<PoolWorld> ready() {
  auto World = std::make_unique<PoolWorld>(7, 3, 2);
  World->run(2s);
  return World;
}

} // namespace

Test(pool_takeover, successor_adopts_what_runs) {
  auto World = ready();
  World->submit(0, World->job(1, 4, 8, true, 8s));
  World->run(1s);
  std::size_t First = *World->owner();
  World->kill(First);
  World->run(12s);
  cr_assert(World->owner() && *World->owner() != First);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.starts(), 4);
}

Test(pool_takeover, owner_that_leaves_hands_over_at_once) {
  auto World = ready();
  std::size_t First = *World->owner();
  World->daemon(First).Owner->retire();
  World->run(1s);
  cr_assert(World->owner() && *World->owner() != First);
}

Test(pool_takeover, paused_owner_does_not_disturb_its_successor) {
  auto World = ready();
  World->submit(0, World->job(1, 4, 1, false, 10s));
  World->run(1s);
  std::size_t First = *World->owner();
  World->daemon(First).Timers.pauseUntil(World->Clock.now() + 5s);
  World->run(15s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.starts(), 4);
  cr_assert(World->Pool.violations().empty());
}

Test(pool_takeover, owner_cut_from_the_store_is_replaced) {
  auto World = ready();
  std::size_t First = *World->owner();
  World->daemon(First).Store.Trouble.Silent = true;
  World->submit((First + 1) % 3, World->job(1, 2, 1, false, 1s));
  World->run(6s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert(World->Pool.violations().empty());
}

Test(pool_takeover, lost_answers_of_commits_are_resolved) {
  auto World = ready();
  std::size_t First = *World->owner();
  World->daemon(First).Store.Trouble.LostAnswers = 0.5;
  World->submit((First + 1) % 3, World->job(1, 6, 1, false, 1s));
  World->run(20s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert(World->Pool.violations().empty());
}

Test(pool_takeover, order_carried_out_late_starts_nothing_twice) {
  auto World = ready();
  std::size_t First = *World->owner();
  World->daemon(First).Workers.Trouble.LateOrders = 0.5;
  World->submit((First + 1) % 3, World->job(1, 6, 1, false, 2s));
  World->run(300ms);
  World->kill(First);
  World->run(30s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert(World->Pool.violations().empty(), "%s",
            World->Pool.violations().front().c_str());
}

Test(pool_takeover,
     end_at_a_silent_worker_is_not_run_again_while_it_may_count) {
  auto World = ready();
  World->submit(0, World->job(1, 1, 8, false, 2s));
  World->run(1s);
  // The task ends while nobody reaches its worker, which keeps the end.
  for (std::size_t Number = 0; Number < World->daemons(); ++Number)
    for (const WorkerId &Id : World->Pool.ids())
      World->daemon(Number).Workers.Trouble.Silent.insert(Id);
  World->run(4s);
  for (std::size_t Number = 0; Number < World->daemons(); ++Number)
    World->daemon(Number).Workers.Trouble.Silent.clear();
  World->run(4s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.starts(), 1);
}

Test(pool_takeover, restarted_worker_runs_its_task_again) {
  auto World = ready();
  World->submit(0, World->job(1, 1, 8, false, 2s));
  World->run(1s);
  for (const WorkerId &Id : World->Pool.ids()) {
    World->Pool.crash(Id);
    World->Pool.restart(Id);
  }
  World->run(5s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert(World->Pool.violations().empty());
}

namespace {

/// An owner is paused \p After it gave an order to a worker that nobody but it
/// reaches, and that so never hears of its successor.
void wakeAfterLong(Duration After) {
  PoolWorld World(7, 3, 1);
  World.run(2s);
  std::size_t First = *World.owner();
  WorkerId Lonely = World.Pool.ids().front();
  for (std::size_t Number = 0; Number < World.daemons(); ++Number)
    World.daemon(Number).Workers.Trouble.Silent.insert(Lonely);
  for (const WorkerId &Other : World.Pool.ids())
    if (Other != Lonely)
      World.list(Other, true);
  World.submit(First, World.job(1, 1, 8, false, 60s));
  World.run(After);
  World.daemon(First).Workers.Trouble.Silent.clear();
  World.daemon(First).Timers.pauseUntil(World.Clock.now() + 25s);
  for (const WorkerId &Other : World.Pool.ids())
    World.list(Other);
  World.run(30s);
  cr_assert(World.owner() && *World.owner() != First);
  auto Paused = static_cast<long>(After.count());
  cr_assert(World.Pool.violations().empty(), "paused after %ld us: %s", Paused,
            World.Pool.violations().front().c_str());
  cr_assert_eq(World.Pool.running(), 1U, "paused after %ld us", Paused);
}

} // namespace

Test(pool_takeover, owner_that_wakes_after_long_starts_nothing) {
  for (Duration After = 20ms; After < 1700ms; After += 20ms)
    wakeAfterLong(After);
}
