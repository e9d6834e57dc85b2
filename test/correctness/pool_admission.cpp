/// \file
/// Under sustained overload, jobs that cannot end in time are rejected
/// immediately, and accepted jobs end in time to be useful.
#include "pool/Admission.h"
#include "pool/JobObjective.h"
#include "pool/PoolLoad.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

JobSpec makeJob(std::uint32_t Priority, Duration Work) {
  JobSpec Spec;
  Spec.Id = JobId(32);
  Spec.Terms.Priority = Priority;
  Spec.Terms.Stretch = 3.0;
  StepSpec Step;
  Step.Estimate = Work;
  Spec.Steps.push_back(Step);
  return Spec;
}

ServiceLoad makeLoad(std::uint32_t Priority, Duration Work) {
  ServiceLoad Load;
  Load.Work[Priority] = Work;
  return Load;
}

} // namespace

Test(pool_admission, job_behind_little_work_is_admitted) {
  cr_assert_not(admissionDelay(makeJob(1, 5s), makeLoad(1, 20s)));
}

Test(pool_admission, job_that_would_miss_its_deadline_is_rejected) {
  // The job has 45 s and needs 5 s itself. At 0.8 of the pool, and with
  // estimates that are 2.5 times too long, 80 s of work may be ahead of it.
  cr_assert_not(admissionDelay(makeJob(1, 5s), makeLoad(1, 79s)));
  auto RetryDelay = admissionDelay(makeJob(1, 5s), makeLoad(1, 120s));
  cr_assert(RetryDelay);
  cr_assert(*RetryDelay >= 49s && *RetryDelay <= 100s);
}

Test(pool_admission, lower_priority_work_does_not_delay_admission) {
  cr_assert_not(admissionDelay(makeJob(1, 5s), makeLoad(2, 150s)));
}

Test(pool_admission, urgent_share_reduces_admission) {
  ServiceLoad Load = makeLoad(1, 60s);
  cr_assert_not(admissionDelay(makeJob(1, 5s), Load));
  Load.UrgentShare = 0.5;
  cr_assert(admissionDelay(makeJob(1, 5s), Load));
}

Test(pool_admission, urgent_scheduled_and_long_running_jobs_are_admitted) {
  ServiceLoad Load = makeLoad(1, 1h);
  cr_assert_not(admissionDelay(makeJob(0, 5s), Load));
  JobSpec Scheduled = makeJob(1, 5s);
  Scheduled.Occurrences = 3;
  cr_assert_not(admissionDelay(Scheduled, Load));
  JobSpec LongRunning = makeJob(1, 5s);
  LongRunning.Steps.front().LongRunning = true;
  cr_assert_not(admissionDelay(LongRunning, Load));
}

Test(pool_admission, retry_delays_differ_between_callers) {
  JobSpec Spec = makeJob(1, 5s);
  std::set<Duration> Times;
  for (std::uint64_t Id = 0; Id < 16; ++Id) {
    Spec.Id = JobId(Id);
    Times.insert(*admissionDelay(Spec, makeLoad(1, 150s)));
  }
  cr_assert_eq(Times.size(), 16U);
}

Test(pool_admission, load_survives_encoding) {
  PoolLoad Load;
  Load.Services[ServiceId("a")] = makeLoad(2, 12s);
  Load.Services[ServiceId("a")].UrgentShare = 0.25;
  Load.Services[ServiceId("a")].Usable = {22'400'000, 89'600'000, 2'800};
  Load.MeasuredAt = WallTime(1h);
  Load.Covers = StoreRevision(77);
  auto Read = PoolLoad::decode(Load.encode());
  cr_assert(Read);
  cr_assert(*Read == Load);
  cr_assert_not(PoolLoad::decode("[]"));
  // Published by an owner of an earlier version.
  cr_assert(PoolLoad::decode(
      R"({"services":{"a":{"urgent_share":0.5,"work_us":[[1,2]]}}})"));
}

Test(pool_admission, accepted_jobs_complete_under_fourfold_load) {
  PoolSimulation Simulation(1, 2, 1);
  Simulation.runFor(2s);
  // The pool completes four jobs of 2 s per second; sixteen per second are
  // submitted.
  std::map<std::uint64_t, std::shared_ptr<std::optional<Reason>>> Answers;
  std::map<std::uint64_t, TimePoint> Sent;
  std::uint64_t Id = 1;
  for (int Tick = 0; Tick < 600; ++Tick) {
    Simulation.runFor(50ms);
    if (Tick % 5 != 0)
      continue;
    for (int Index = 0; Index < 4; ++Index, ++Id) {
      Sent[Id] = Simulation.Clock.now();
      // The estimate has the largest error that admission allows for.
      JobSpec Spec = Simulation.job(Id, 1, 8, false, 2s);
      Spec.Steps.front().Estimate = 5s;
      Answers[Id] = Simulation.submit(Id % 2, Spec);
    }
  }
  std::size_t Rejected = 0;
  std::size_t Served = 0;
  Duration Objective =
      objectiveOf(5s, Simulation.job(999'999, 1, 8, false, 2s).Terms);
  Simulation.runFor(Objective * MaxLatenessFactor + 5s);
  std::size_t Unserved = 0;
  for (const auto &[Number, Answer] : Answers) {
    cr_assert(Answer->has_value());
    if (**Answer == Reason::DeadlineUnreachable) {
      ++Rejected;
      cr_assert(Simulation.RetryAfter[JobId(Number)] >= 1s);
      cr_assert(Simulation.visibleStatus(JobId(Number)) == JobStatus::Queued);
      cr_assert_not(Simulation.Pool.firstStart(JobId(Number)));
      continue;
    }
    if (Simulation.visibleStatus(JobId(Number)) == JobStatus::Completed)
      ++Served;
    else
      ++Unserved;
  }
  cr_assert_gt(Rejected, 200U);
  cr_assert_gt(Served, 100U);
  cr_assert_eq(Unserved, 0U);
}

Test(pool_admission, caller_that_retries_after_the_delay_is_served) {
  PoolSimulation Simulation(1, 2, 1);
  Simulation.runFor(2s);
  for (std::uint64_t Id = 1; Id <= 200; ++Id)
    Simulation.submit(0, Simulation.job(Id, 1, 8, false, 2s));
  Simulation.runFor(2s);
  JobSpec Spec = Simulation.job(500, 1, 8, false, 2s);
  auto First = Simulation.submit(1, Spec);
  Simulation.runFor(500ms);
  cr_assert(*First == Reason::DeadlineUnreachable);
  Simulation.runFor(Simulation.RetryAfter[Spec.Id] + 1s);
  auto Second = Simulation.submit(1, Spec);
  Simulation.runFor(500ms);
  cr_assert(*Second == Reason::None);
  Simulation.runFor(40s);
  cr_assert(Simulation.visibleStatus(Spec.Id) == JobStatus::Completed);
}

Test(pool_admission, rejection_prevents_a_late_write_of_an_earlier_attempt) {
  PoolSimulation Simulation(1, 2, 1);
  Simulation.runFor(2s);
  JobSpec Spec = Simulation.job(500, 1, 8, false, 2s);
  // The write of the first attempt reaches the store three seconds late.
  Simulation.daemon(0).Store.Faults.LostAnswerRate = 1.0;
  Simulation.daemon(0).Store.Faults.LostWriteDelay = 3s;
  auto First = Simulation.submit(0, Spec);
  Simulation.runFor(100ms);
  Simulation.daemon(0).Store.Faults = StoreFaults();
  PoolLoad Load;
  Load.Services[Spec.Terms.Service] = makeLoad(Spec.Terms.Priority, 1h);
  Simulation.Shared.put("banyanworks/shared/load", Load.encode());
  Simulation.runFor(100ms);
  auto Second = Simulation.submit(1, Spec);
  Simulation.runFor(500ms);
  cr_assert(*Second == Reason::DeadlineUnreachable);
  Simulation.runFor(6s);
  cr_assert_not(Simulation.Pool.firstStart(Spec.Id));
  cr_assert(*First != Reason::None);
}

Test(pool_admission, deleted_refusal_marker_does_not_block_a_submission) {
  PoolSimulation Simulation(1, 2, 1);
  Simulation.runFor(2s);
  JobSpec Spec = Simulation.job(500, 1, 8, false, 1s);
  std::string Key = "banyanworks/shared/job/00000000000001f4";
  Simulation.Shared.put(Key, "refused");
  Simulation.runFor(500ms);
  cr_assert(Simulation.daemon(1).KnownJobs->refusalRevision(Spec.Id) !=
            StoreRevision());
  // Deleted in the store, but the daemon has not received the event yet.
  Simulation.Shared.erase(Key);
  auto Answer = Simulation.submit(1, Spec);
  Simulation.runFor(3s);
  cr_assert(*Answer == Reason::None);
  cr_assert(Simulation.visibleStatus(Spec.Id) == JobStatus::Completed);
}
