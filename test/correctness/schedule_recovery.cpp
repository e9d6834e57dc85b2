/// \file
/// A new owner adopts what runs, undoes what is incomplete and runs nothing
/// twice.
#include "support/ScheduleRig.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

Test(schedule_recovery, running_gang_is_adopted) {
  ScheduleRig Rig(smallRigSettings(4));
  JobId Id = Rig.submit(gang(4, 4), 60s);
  Rig.runFor(5s);
  std::uint64_t Run = Rig.scheduler().job(Id)->Run;
  Rig.loseOwner();
  Rig.runFor(2s);
  Rig.gainOwner();
  Rig.runFor(1s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Running);
  cr_assert_eq(Rig.scheduler().job(Id)->Run, Run);
  Rig.runFor(60s);
  cr_assert_eq(Rig.completions(Id), 1);
}

Test(schedule_recovery, job_is_known_from_workers_alone) {
  ScheduleRig Rig(smallRigSettings(4));
  JobId Id = Rig.submit(gang(2, 4), 60s);
  Rig.runFor(5s);
  Rig.loseOwner();
  Rig.gainOwner(false);
  Rig.runFor(1s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Running);
}

Test(schedule_recovery, finished_job_is_not_run_again) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Id = Rig.submit(gang(1, 1), 8s);
  Rig.runFor(5s);
  Rig.loseOwner();
  Rig.runFor(6s);
  Rig.gainOwner();
  Rig.runFor(60s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Succeeded);
  cr_assert_eq(Rig.completions(Id), 1);
  cr_assert(Rig.violations().empty());
}

Test(schedule_recovery, job_on_an_unheard_worker_waits_for_its_lease) {
  ScheduleRig Rig(smallRigSettings(2));
  JobId Id = Rig.submit(gang(1, 8), 600s);
  Rig.runFor(5s);
  WorkerId Host = Rig.scheduler().job(Id)->Members.front().Placement.Worker;
  Rig.setWorkerPartitioned(Host, true);
  Rig.loseOwner();
  Rig.gainOwner();
  Rig.runFor(8s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Queued);
  cr_assert_eq(Rig.scheduler().job(Id)->StatusReason, Reason::Recovering);
  Rig.runFor(10s);
  cr_assert_eq(Rig.phase(Id), JobPhase::Running);
  cr_assert(Rig.violations().empty());
}

Test(schedule_recovery, rack_loss_is_one_event) {
  RigSettings Settings = smallRigSettings(16);
  ScheduleRig Rig(Settings);
  for (int Index = 0; Index != 16; ++Index)
    Rig.submit(gang(1, 8), 600s);
  Rig.runFor(5s);
  std::uint64_t Before = Rig.orderCount<HoldTask>();
  for (std::uint32_t Index = 0; Index != 8; ++Index)
    Rig.killWorker(Rig.workerId(Index));
  Rig.runFor(30s);
  cr_assert_eq(Rig.scheduler().lossEvents(), 1);
  // No member is held anew anywhere, since the other rack is full.
  cr_assert_eq(Rig.orderCount<HoldTask>(), Before);
}
