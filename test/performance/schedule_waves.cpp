/// \file
/// Bursts and cancellation waves cost each event about the same however many
/// jobs wait.
#include "support/ScheduleRig.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

namespace {

/// Wall time of submitting and cancelling that many jobs, for each job.
double secondsEach(int Count) {
  using Clock = std::chrono::steady_clock;
  ScheduleRig Rig(smallRigSettings(4));
  // The workers are full, so that all others wait.
  for (int Index = 0; Index != 4; ++Index)
    Rig.submit(gang(1, 8), 3600s);
  Rig.runFor(2s);
  std::vector<JobId> Ids;
  Clock::time_point Begin = Clock::now();
  for (int Index = 0; Index != Count; ++Index)
    Ids.push_back(Rig.submit(gang(Index % 50 == 0 ? 4 : 1, 8), 60s));
  for (JobId Id : Ids)
    Rig.cancel(Id);
  std::chrono::duration<double> Took = Clock::now() - Begin;
  cr_assert_eq(Rig.scheduler().domain().WaitingJobs, 0);
  return Took.count() / Count;
}

} // namespace

Test(schedule_waves, cost_of_a_wave_grows_with_its_size_only) {
  double Small = secondsEach(1000);
  double Large = secondsEach(10000);
  cr_assert_lt(Large, 4 * Small);
}

Test(schedule_waves, gang_is_not_starved_by_a_burst_of_small_jobs) {
  ScheduleRig Rig(smallRigSettings(4));
  for (int Index = 0; Index != 400; ++Index)
    Rig.submit(gang(1, 2), 60s);
  JobId Large = Rig.submit(gang(4, 8), 60s);
  for (int Index = 0; Index != 2000; ++Index)
    Rig.submit(gang(1, 2), 60s);
  // 2,400 small jobs need 150 minutes of all workers.
  Rig.runFor(45min);
  cr_assert_eq(Rig.phase(Large), JobPhase::Succeeded);
}
