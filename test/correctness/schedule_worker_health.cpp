/// \file
/// Workers are set aside on evidence, and bad jobs do not count as evidence.
#include "jobs/WorkerHealth.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

const WorkerId Bad("bad");
const TimePoint Start(1h);

bool excludes(const WorkerHealth &Health, const JobSpec &Spec, TimePoint Now) {
  std::vector<WorkerId> All = Health.excludedWorkers(Spec, Now, 10);
  return std::find(All.begin(), All.end(), Bad) != All.end();
}

WorkerHealth withBadWorker() {
  WorkerHealth Health;
  for (std::uint64_t Job = 1; Job != 4; ++Job)
    Health.recordFailure(Bad, JobId(Job), Start);
  return Health;
}

} // namespace

Test(schedule_worker_health, three_jobs_that_fail_set_a_worker_aside) {
  WorkerHealth Health = withBadWorker();
  cr_assert(Health.isQuarantined(Bad));
  cr_assert(excludes(Health, JobSpec(), Start));
}

Test(schedule_worker_health, one_job_that_fails_everywhere_condemns_nobody) {
  WorkerHealth Health;
  for (int Round = 0; Round != 5; ++Round) {
    for (int Index = 0; Index != 10; ++Index)
      Health.recordFailure(WorkerId("w" + std::to_string(Index)), JobId(1),
                           Start + Round * 1s);
  }
  cr_assert_eq(Health.quarantinedCount(), 0);
}

Test(schedule_worker_health, many_bad_jobs_that_fail_everywhere_either) {
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
  WorkerHealth Health = withBadWorker();
  TimePoint Later = Start + 5min;
  JobSpec Small;
  JobSpec Large;
  Large.Members = 4;
  cr_assert_not(excludes(Health, Small, Later));
  cr_assert(excludes(Health, Large, Later));
  Health.recordStart(Bad);
  cr_assert(excludes(Health, Small, Later));
  Health.recordEnd(Bad);
  Health.recordSuccess(Bad, Later);
  cr_assert_not(Health.isQuarantined(Bad));
}

Test(schedule_worker_health, failure_on_probation_doubles_the_wait) {
  WorkerHealth Health = withBadWorker();
  TimePoint Later = Health.deadline(Start);
  Health.recordFailure(Bad, JobId(9), Later);
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
