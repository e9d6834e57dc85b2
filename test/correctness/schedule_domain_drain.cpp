/// \file
/// A failure domain that is taken out starts nothing and drains by its policy.
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

Test(schedule_domain_drain, nothing_starts_while_out) {
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

Test(schedule_domain_drain, checkpoint_policy_spares_what_cannot) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Able = Rig.submit(gang(1, 1), 600s);
  JobId Unable = Rig.submit(uncheckpointable(), 600s);
  Rig.runFor(10s);
  Rig.setDomainInService(false, DrainPolicy::Checkpoint, 60s);
  Rig.runFor(20s);
  cr_assert_eq(Rig.phase(Able), JobPhase::Queued);
  cr_assert_gt(Rig.scheduler().job(Able)->SavedRunTime, 5s);
  cr_assert_eq(Rig.phase(Unable), JobPhase::Running);
  Rig.runFor(60s);
  cr_assert_eq(Rig.phase(Unable), JobPhase::Queued);
  cr_assert_eq(Rig.runningMembers(Unable), 0);
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

Test(schedule_domain_drain, a_new_owner_goes_on_draining) {
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
