/// \file
/// Tasks that fill idle time give way to tasks that serve users.
#include "pool/BestEffortThrottle.h"
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// A job of one long-running task that serves users with this bound.
JobSpec serving(PoolWorld &World, std::uint64_t Id, Duration Target) {
  JobSpec Spec = World.job(Id, 1, 1, false, 1h);
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().TailTarget = Target;
  return Spec;
}

JobSpec filling(PoolWorld &World, std::uint64_t Id, std::uint32_t Tasks) {
  JobSpec Spec = World.job(Id, Tasks, 0, false, 1h);
  Spec.Steps.front().FillsIdle = true;
  Spec.Steps.front().PerTask.MilliCores = 4000;
  return Spec;
}

/// One worker with one serving task of 40 ms alone and a bound of 60 ms, and a
/// filler that would bring it to \p Disturbed.
struct SharedWorker {
  PoolWorld World{1, 1, 1};
  WorkerId Id;
  double Disturbs = 0.0;

  explicit SharedWorker(double Disturbs) : Disturbs(Disturbs) {
    World.Pool.Behaviour = [this](const TaskKey &Task) {
      TaskBehaviour Now;
      Now.Work = 1h;
      Now.Room = {1000, 1024, 1};
      if (Task.Job == JobId(1))
        Now.Tail = 40ms;
      else
        Now = {{0, 1024, 0}, 1h, 0, false, {}, this->Disturbs};
      return Now;
    };
    World.run(2s);
    for (const WorkerId &Other : World.Pool.ids())
      if (Other != World.Pool.ids().front())
        World.unlist(Other);
    Id = World.Pool.ids().front();
    World.submit(0, serving(World, 1, 60ms));
    World.run(500ms);
    World.submit(0, filling(World, 2, 1));
  }

  /// The longest time for which the tail was above its bound in a row.
  Duration longestOver(Duration Span) {
    Duration Worst{};
    Duration Over{};
    for (Duration At{}; At < Span; At += 10ms) {
      World.run(10ms);
      Over = World.Pool.worstTail(Id) > 60ms ? Over + 10ms : Duration();
      Worst = std::max(Worst, Over);
    }
    return Worst;
  }
};

} // namespace

Test(pool_fill_pace, filler_that_disturbs_is_held_back_at_once) {
  SharedWorker Shared(4.0);
  cr_assert(Shared.longestOver(20s) < 1500ms);
  cr_assert_eq(Shared.World.Pool.runningOn(Shared.Id), 2);
}

Test(pool_fill_pace, filler_that_does_not_disturb_works_at_full_pace) {
  SharedWorker Shared(0.0);
  Shared.World.run(15s);
  cr_assert(Shared.World.Pool.paceOf({JobId(2), 0, 0, 0}) == 100U);
}

Test(pool_fill_pace, disturbance_that_begins_later_is_noticed) {
  SharedWorker Shared(0.0);
  Shared.World.run(15s);
  Shared.Disturbs = 6.0;
  cr_assert(Shared.longestOver(10s) < 1500ms);
}

Test(pool_fill_pace, filler_next_to_nobody_is_not_paced) {
  PoolWorld World(1, 1, 1);
  World.run(2s);
  World.submit(0, filling(World, 2, 3));
  World.run(5s);
  for (std::uint32_t Index = 0; Index < 3; ++Index)
    cr_assert(World.Pool.paceOf({JobId(2), 0, 0, Index}) == 100U);
}

Test(pool_fill_pace, fillers_do_not_hold_the_processor_for_themselves) {
  PoolWorld World(1, 1, 1);
  World.run(2s);
  // Twice the processor time of the eight workers.
  World.submit(0, filling(World, 2, 128));
  World.run(2s);
  World.submit(0, World.job(3, 8, 8, false, 1s));
  World.run(4s);
  cr_assert(World.shown(JobId(3)) == JobStatus::Completed);
  cr_assert(World.Pool.violations().empty());
}

Test(pool_fill_pace, pace_comes_back_below_what_was_too_much) {
  BestEffortThrottle Pace;
  TimePoint Now{10s};
  Pace.observe(0.2, Now);
  std::uint32_t TooMuch = Pace.percent();
  Pace.observe(1.4, Now + 1s);
  cr_assert_eq(Pace.percent(), 0U);
  std::uint32_t Highest = 0;
  for (Duration Later = 2s; Later < 8s; Later += 400ms) {
    Pace.observe(0.3, Now + Later);
    Highest = std::max(Highest, Pace.percent());
  }
  cr_assert_gt(Highest, 0U);
  cr_assert_lt(Highest, TooMuch);
}

Test(pool_fill_pace, late_long_running_step_is_not_put_behind_others) {
  PoolWorld World(1, 1, 1);
  World.run(2s);
  // The pool is full and more work of the same queue waits.
  for (std::uint64_t Id = 10; Id < 40; ++Id)
    World.submit(0, World.job(Id, 1, 8, false, 3s));
  World.run(200ms);
  World.submit(0, serving(World, 1, 60ms));
  World.run(8s);
  cr_assert(World.Pool.firstStart(JobId(1)));
}
