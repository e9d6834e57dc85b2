/// \file
/// Any daemon reports the final status to callers that ask just when their job
/// ends.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

struct StatusReply {
  std::optional<JobStatus> Status;
  TimePoint ReceivedAt;
};

std::shared_ptr<StatusReply> requestStatus(PoolSimulation &Simulation,
                                           std::size_t Daemon, JobId Id) {
  auto Answer = std::make_shared<StatusReply>();
  Simulation.daemon(Daemon).Intake->status(
      Id, [&Simulation, Answer](Reason, JobStatus Status) {
        Answer->Status = Status;
        Answer->ReceivedAt = Simulation.Clock.now();
      });
  return Answer;
}

/// A simulation in which daemon 1 does not own the pool and receives changes
/// late.
std::unique_ptr<PoolSimulation> slowFollower() {
  auto Simulation = std::make_unique<PoolSimulation>(1, 2, 1);
  Simulation->runFor(2s);
  if (Simulation->owner() != 0) {
    Simulation->kill(1);
    Simulation->runFor(3s);
    Simulation->restart(1);
    Simulation->runFor(1s);
  }
  WatchTiming Timing;
  Timing.BatchDelay = 400ms;
  Simulation->daemon(1).KnownJobs->watch().setTiming(Timing);
  return Simulation;
}

} // namespace

Test(pool_status, request_at_the_end_of_a_job_gets_the_final_status) {
  auto Simulation = slowFollower();
  Simulation->submit(1, Simulation->job(1, 1, 1, false, 1s));
  Simulation->runFor(500ms);
  // Another change makes the watch of daemon 1 wait for further events.
  Simulation->submit(0, Simulation->job(2, 1, 1, false, 20s));
  while (Simulation->visibleStatus(JobId(1)) != JobStatus::Completed)
    Simulation->runFor(1ms);
  TimePoint Begin = Simulation->Clock.now();
  auto Answer = requestStatus(*Simulation, 1, JobId(1));
  Simulation->runFor(200ms);
  cr_assert(Answer->Status == JobStatus::Completed);
  cr_assert(Answer->ReceivedAt - Begin < 50ms);
}

Test(pool_status, request_just_before_the_commit_gets_the_final_status) {
  auto Simulation = slowFollower();
  Simulation->submit(1, Simulation->job(1, 1, 1, false, 1s));
  Simulation->runFor(500ms);
  while (Simulation->Pool.running() > 0)
    Simulation->runFor(1ms);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Running);
  auto Answer = requestStatus(*Simulation, 1, JobId(1));
  Simulation->runFor(200ms);
  cr_assert(Answer->Status == JobStatus::Completed);
}

Test(pool_status, unresponsive_store_does_not_delay_the_answer) {
  auto Simulation = slowFollower();
  Simulation->submit(1, Simulation->job(1, 1, 1, false, 20s));
  Simulation->runFor(1s);
  Simulation->daemon(1).Store.Faults.Unresponsive = true;
  TimePoint Begin = Simulation->Clock.now();
  auto Answer = requestStatus(*Simulation, 1, JobId(1));
  Simulation->runFor(200ms);
  cr_assert(Answer->Status == JobStatus::Running);
  cr_assert(Answer->ReceivedAt - Begin <= IntakeLimits().StatusTimeout);
}

Test(pool_status, queued_status_needs_no_store_read) {
  auto Simulation = slowFollower();
  // The first job occupies the whole pool for 20 s.
  Simulation->submit(1, Simulation->job(1, 8, 8, false, 20s));
  Simulation->runFor(500ms);
  Simulation->submit(1, Simulation->job(2, 1, 8, false, 20s));
  Simulation->runFor(1s);
  TimePoint Begin = Simulation->Clock.now();
  auto Answer = requestStatus(*Simulation, 1, JobId(2));
  cr_assert(Answer->Status == JobStatus::Queued);
  cr_assert(Answer->ReceivedAt == Begin);
}

Test(pool_status, oldest_change_is_recorded_first) {
  VirtualClock Clock;
  RecordingLog Log(Clock);
  PoolScheduler Scheduler(PoolLimits(), Log);
  PoolSimulation Simulation(1, 1, 1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Scheduler.submit(Simulation.job(Id, 1, 1, false), JobStatus::Queued);
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
  PoolSimulation Simulation(1, 1, 1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Scheduler.submit(Simulation.job(Id, 1, 1, false), JobStatus::Queued);
  Scheduler.cancel(JobId(3));
  auto First = Scheduler.changes(2);
  cr_assert_eq(First.size(), 1U);
  cr_assert(First.front().Job == JobId(3));
}
