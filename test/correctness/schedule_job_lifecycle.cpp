/// \file
/// Tests the path of a job from submission through hold and start to its end.
#include "jobs/DomainScheduler.h"
#include "support/ScheduleRig.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

Test(schedule_job_lifecycle, gang_runs_to_its_end) {
  ScheduleRig Rig(smallRigSettings(4));
  JobId Id = Rig.submit(gang(4, 2), 60s);
  Rig.runFor(5s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Running);
  cr_assert_eq(Rig.runningMembers(Id), 4);
  Rig.runFor(70s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Succeeded);
  cr_assert_eq(Rig.scheduler().capacity().cells().taskCount(), 0);
}

Test(schedule_job_lifecycle, nothing_starts_without_permission) {
  RigSettings Settings = smallRigSettings(2);
  Settings.RenewPermission = false;
  ScheduleRig Rig(Settings);
  JobId Id = Rig.submit(gang(1, 1), 60s);
  Rig.runFor(20s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Queued);
  cr_assert_eq(Rig.scheduler().job(Id)->StatusReason,
               Reason::PermissionExpired);
}

Test(schedule_job_lifecycle, job_that_never_fits_is_refused_at_once) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Id = Rig.submit(gang(3, 8), 60s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Refused);
  cr_assert_eq(Rig.scheduler().job(Id)->StatusReason, Reason::NeverFits);
}
