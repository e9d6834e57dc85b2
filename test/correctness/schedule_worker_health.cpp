/// \file
/// Tests that failing workers are quarantined, and that failures of faulty jobs
/// do not count against workers.
#include "jobs/WorkerHealth.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

const WorkerId FaultyWorker("bad");
const TimePoint Start(1h);

bool excludes(const WorkerHealth &Health, const JobSpec &Spec, TimePoint Now) {
  std::vector<WorkerId> All = Health.excludedWorkers(Spec, Now, 10);
  return std::find(All.begin(), All.end(), FaultyWorker) != All.end();
}

WorkerHealth withFaultyWorker() {
  WorkerHealth Health;
  for (std::uint64_t Job = 1; Job != 4; ++Job)
    Health.recordFailure(FaultyWorker, JobId(Job), Start);
  return Health;
}

} // namespace

Test(schedule_worker_health, three_failed_jobs_quarantine_a_worker) {
  WorkerHealth Health = withFaultyWorker();
  cr_assert(Health.isQuarantined(FaultyWorker));
  cr_assert(excludes(Health, JobSpec(), Start));
}

Test(schedule_worker_health, job_failing_everywhere_quarantines_no_worker) {
  WorkerHealth Health;
  for (int Round = 0; Round != 5; ++Round) {
    for (int Index = 0; Index != 10; ++Index)
      Health.recordFailure(WorkerId("w" + std::to_string(Index)), JobId(1),
                           Start + Round * 1s);
  }
  cr_assert_eq(Health.quarantinedCount(), 0);
}

Test(schedule_worker_health,
     many_jobs_failing_everywhere_quarantine_no_worker) {
  WorkerHealth Health;
  for (std::uint64_t Job = 1; Job != 6; ++Job) {
    for (int Index = 0; Index != 4; ++Index)
      Health.recordFailure(WorkerId("w" + std::to_string(Index)), JobId(Job),
                           Start);
    Health.forgetJob(JobId(Job));
  }
  cr_assert_eq(Health.quarantinedCount(), 0);
}

Test(schedule_worker_health, probation_takes_one_small_job_at_a_time) {
  WorkerHealth Health = withFaultyWorker();
  TimePoint Later = Start + 5min;
  JobSpec Small;
  JobSpec Large;
  Large.Members = 4;
  cr_assert_not(excludes(Health, Small, Later));
  cr_assert(excludes(Health, Large, Later));
  Health.recordStart(FaultyWorker);
  cr_assert(excludes(Health, Small, Later));
  Health.recordEnd(FaultyWorker);
  Health.recordSuccess(FaultyWorker, Later);
  cr_assert_not(Health.isQuarantined(FaultyWorker));
}

Test(schedule_worker_health, failure_on_probation_doubles_the_wait) {
  WorkerHealth Health = withFaultyWorker();
  TimePoint Later = Health.deadline(Start);
  Health.recordFailure(FaultyWorker, JobId(9), Later);
  cr_assert_eq(Health.deadline(Later) - Later, 2 * (Later - Start));
}

Test(schedule_worker_health, never_more_than_a_fifth_is_excluded) {
  WorkerHealth Health;
  for (int Index = 0; Index != 6; ++Index) {
    for (std::uint64_t Job = 1; Job != 4; ++Job)
      Health.recordFailure(WorkerId("w" + std::to_string(Index)),
                           JobId(100ULL * Index + Job), Start);
  }
  cr_assert_eq(Health.excludedWorkers(JobSpec(), Start, 10).size(), 2);
}
