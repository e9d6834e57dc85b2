/// \file
/// Tests that the cost per event in bursts and mass cancellations does not
/// depend on the number of waiting jobs, and that a burst does not starve a
/// gang.
#include "support/ScheduleRig.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

namespace {

/// Wall time per job, in seconds, of submitting and cancelling \p Count jobs.
double secondsPerJob(int Count) {
  using Clock = std::chrono::steady_clock;
  ScheduleRig Rig(smallRigSettings(4));
  // The workers are full, so that all further jobs wait.
  for (int Index = 0; Index != 4; ++Index)
    Rig.submit(gang(1, 8), 3600s);
  Rig.runFor(2s);
  std::vector<JobId> Ids;
  Clock::time_point Begin = Clock::now();
  for (int Index = 0; Index != Count; ++Index)
    Ids.push_back(Rig.submit(gang(Index % 50 == 0 ? 4 : 1, 8), 60s));
  for (JobId Id : Ids)
    Rig.cancel(Id);
  std::chrono::duration<double> Elapsed = Clock::now() - Begin;
  cr_assert_eq(Rig.scheduler().domain().WaitingJobs, 0);
  return Elapsed.count() / Count;
}

} // namespace

Test(schedule_waves, cost_per_job_is_independent_of_queue_length) {
  double Small = secondsPerJob(1000);
  double Large = secondsPerJob(10000);
  cr_assert_lt(Large, 4 * Small);
}

Test(schedule_waves, gang_is_not_starved_by_a_burst_of_small_jobs) {
  ScheduleRig Rig(smallRigSettings(4));
  for (int Index = 0; Index != 400; ++Index)
    Rig.submit(gang(1, 2), 60s);
  JobId Large = Rig.submit(gang(4, 8), 60s);
  for (int Index = 0; Index != 2000; ++Index)
    Rig.submit(gang(1, 2), 60s);
  // The 2,400 small jobs occupy all workers for 150 minutes.
  Rig.runFor(45min);
  cr_assert_eq(Rig.phase(Large), JobPhase::Succeeded);
}
