/// \file
/// Tests that a failure domain out of service starts nothing and drains its
/// running gangs according to its drain policy.
#include "support/ScheduleRig.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

namespace {

JobSpec uncheckpointable() {
  JobSpec Spec = gang(1, 1);
  Spec.Checkpointable = false;
  return Spec;
}

} // namespace

Test(schedule_domain_drain, nothing_starts_while_out_of_service) {
  ScheduleRig Rig(smallRigSettings(2));
  Rig.setDomainInService(false);
  JobId Id = Rig.submit(gang(1, 1), 60s);
  Rig.runFor(60s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Queued);
  cr_assert_eq(Rig.scheduler().job(Id)->StatusReason, Reason::DomainOut);
  Rig.setDomainInService(true);
  Rig.runFor(10s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Running);
}

Test(schedule_domain_drain,
     checkpoint_policy_keeps_uncheckpointable_jobs_running) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Checkpointable = Rig.submit(gang(1, 1), 600s);
  JobId Uncheckpointable = Rig.submit(uncheckpointable(), 600s);
  Rig.runFor(10s);
  Rig.setDomainInService(false, DrainPolicy::Checkpoint, 60s);
  Rig.runFor(20s);
  cr_assert_eq(Rig.phase(Checkpointable), JobPhase::Queued);
  cr_assert_gt(Rig.scheduler().job(Checkpointable)->SavedRunTime, 5s);
  cr_assert_eq(Rig.phase(Uncheckpointable), JobPhase::Running);
  Rig.runFor(60s);
  cr_assert_eq(Rig.phase(Uncheckpointable), JobPhase::Queued);
  cr_assert_eq(Rig.runningMembers(Uncheckpointable), 0);
}

Test(schedule_domain_drain, finish_policy_lets_tasks_run_to_the_deadline) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Short = Rig.submit(gang(1, 1), 30s);
  JobId Long = Rig.submit(gang(1, 1), 3600s);
  Rig.runFor(5s);
  Rig.setDomainInService(false, DrainPolicy::Finish, 60s);
  Rig.runFor(50s);
  cr_assert_eq(Rig.phase(Short), JobPhase::Succeeded);
  cr_assert_eq(Rig.phase(Long), JobPhase::Running);
  Rig.runFor(50s);
  cr_assert_eq(Rig.phase(Long), JobPhase::Queued);
}

Test(schedule_domain_drain, new_owner_continues_draining) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Id = Rig.submit(gang(1, 1), 600s);
  Rig.runFor(5s);
  Rig.loseOwner();
  Rig.setDomainInService(false);
  Rig.gainOwner();
  Rig.runFor(30s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Queued);
  cr_assert_eq(Rig.runningMembers(Id), 0);
}
