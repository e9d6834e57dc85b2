/// \file
/// Callers that ask just when their job ends are told so, by any daemon.
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

struct Told {
  std::optional<JobStatus> Status;
  TimePoint At;
};

std::shared_ptr<Told> ask(PoolWorld &World, std::size_t Daemon, JobId Id) {
  auto Answer = std::make_shared<Told>();
  World.daemon(Daemon).Intake->status(
      Id, [&World, Answer](Reason, JobStatus Status) {
        Answer->Status = Status;
        Answer->At = World.Clock.now();
      });
  return Answer;
}

/// A world in which daemon 1 does not own the pool and hears of changes late.
std::unique_ptr<PoolWorld> slowFollower() {
  auto World = std::make_unique<PoolWorld>(1, 2, 1);
  World->run(2s);
  if (World->owner() != 0) {
    World->kill(1);
    World->run(3s);
    World->restart(1);
    World->run(1s);
  }
  WatchPace Pace;
  Pace.Gather = 400ms;
  World->daemon(1).Board->watch().setPace(Pace);
  return World;
}

} // namespace

Test(pool_status, question_at_the_end_of_a_job_is_told_the_end) {
  auto World = slowFollower();
  World->submit(1, World->job(1, 1, 1, false, 1s));
  World->run(500ms);
  // Another change keeps the follower waiting for more to gather.
  World->submit(0, World->job(2, 1, 1, false, 20s));
  while (World->shown(JobId(1)) != JobStatus::Completed)
    World->run(1ms);
  TimePoint Begin = World->Clock.now();
  auto Answer = ask(*World, 1, JobId(1));
  World->run(200ms);
  cr_assert(Answer->Status == JobStatus::Completed);
  cr_assert(Answer->At - Begin < 50ms);
}

Test(pool_status, question_just_before_the_record_is_told_the_end) {
  auto World = slowFollower();
  World->submit(1, World->job(1, 1, 1, false, 1s));
  World->run(500ms);
  while (World->Pool.running() > 0)
    World->run(1ms);
  cr_assert(World->shown(JobId(1)) == JobStatus::Running);
  auto Answer = ask(*World, 1, JobId(1));
  World->run(200ms);
  cr_assert(Answer->Status == JobStatus::Completed);
}

Test(pool_status, silent_store_does_not_hold_the_answer) {
  auto World = slowFollower();
  World->submit(1, World->job(1, 1, 1, false, 20s));
  World->run(1s);
  World->daemon(1).Store.Trouble.Silent = true;
  TimePoint Begin = World->Clock.now();
  auto Answer = ask(*World, 1, JobId(1));
  World->run(200ms);
  cr_assert(Answer->Status == JobStatus::Running);
  cr_assert(Answer->At - Begin <= IntakeLimits().StatusLimit);
}

Test(pool_status, job_that_waits_is_shown_without_a_read) {
  auto World = slowFollower();
  // The first fills the pool for long.
  World->submit(1, World->job(1, 8, 8, false, 20s));
  World->run(500ms);
  World->submit(1, World->job(2, 1, 8, false, 20s));
  World->run(1s);
  TimePoint Begin = World->Clock.now();
  auto Answer = ask(*World, 1, JobId(2));
  cr_assert(Answer->Status == JobStatus::Queued);
  cr_assert(Answer->At == Begin);
}

Test(pool_status, change_that_waits_longest_is_recorded_first) {
  VirtualClock Clock;
  RecordingLog Log(Clock);
  PoolScheduler Scheduler(PoolLimits(), Log);
  PoolWorld World(1, 1, 1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Scheduler.submit(World.job(Id, 1, 1, false), JobStatus::Queued);
  Scheduler.cancel(JobId(3));
  Scheduler.cancel(JobId(1));
  auto First = Scheduler.changes(2);
  cr_assert_eq(First.size(), 1U);
  cr_assert(First.front().Job == JobId(3));
}

Test(pool_status, ended_jobs_are_recorded_before_others) {
  VirtualClock Clock;
  RecordingLog Log(Clock);
  PoolScheduler Scheduler(PoolLimits(), Log);
  PoolWorld World(1, 1, 1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Scheduler.submit(World.job(Id, 1, 1, false), JobStatus::Queued);
  Scheduler.cancel(JobId(3));
  auto First = Scheduler.changes(2);
  cr_assert_eq(First.size(), 1U);
  cr_assert(First.front().Job == JobId(3));
}
