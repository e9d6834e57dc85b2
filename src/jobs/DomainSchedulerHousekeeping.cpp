/// \file
/// Implements housekeeping: drains, removal of absent workers and refusal of
/// jobs that can no longer be scheduled.
#include "jobs/DomainScheduler.h"

#include <algorithm>

namespace banyanworks {

TimePoint DomainScheduler::housekeepingDeadline() const {
  TimePoint Next = KnownWorkers.deadline();
  if (!Recovering)
    Next = std::min(Next, Drain.deadline(Now));
  if (Queue.size() != 0 && Now < startPermittedUntil())
    Next = std::min({Next, NextRetry, Health.deadline(Now)});
  if (Recovering)
    Next = std::min(Next, Recovery.deadline(Now));
  return Next;
}

void DomainScheduler::runHousekeeping() {
  for (std::vector<JobShape> &Shapes : UnplaceableShapes)
    Shapes.clear();
  PassNeeded = true;
  NextRetry = Now + std::chrono::seconds(5);
  if (Recovering)
    tryFinishRecovery();
  std::vector<WorkerId> ExpiredWorkers = KnownWorkers.takeExpired(Now);
  for (const WorkerId &Worker : ExpiredWorkers) {
    Capacity.forgetWorker(Worker);
    Health.forgetWorker(Worker);
  }
  if (!ExpiredWorkers.empty())
    refuseUnschedulable();
  applyDrain();
}

void DomainScheduler::applyDrain() {
  // Runs that are not adopted yet are drained after recovery.
  if (Recovering)
    return;
  switch (Drain.takeAction(Now)) {
  case DrainAction::None:
    return;
  case DrainAction::CheckpointAll:
    return drainGangs(false, true);
  case DrainAction::EndAll:
    return drainGangs(false, false);
  case DrainAction::StopAll:
    return drainGangs(true, false);
  }
}

void DomainScheduler::drainGangs(bool Stop, bool SkipUncheckpointable) {
  std::vector<JobId> Active(ActiveJobs.begin(), ActiveJobs.end());
  std::sort(Active.begin(), Active.end());
  for (JobId ActiveJob : Active) {
    Job *Target = Jobs.find(ActiveJob);
    if (!Target || !Target->active())
      continue;
    bool Running = Target->Gang->stage() == GangStage::Running;
    if (SkipUncheckpointable && Running && !Target->Spec->Checkpointable)
      continue;
    GangContext Context = context();
    if (Stop)
      Target->Gang->stop(Context, GangEnd::Reclaimed, Reason::DomainOut);
    else
      Target->Gang->checkpoint(Context, Settings.CheckpointGrace,
                               Reason::DomainOut);
    applyGangStage(*Target);
  }
}

void DomainScheduler::refuseUnschedulable() {
  std::vector<JobId> RefusedJobs;
  for (const auto &[Workspace, Waiting] : Queue.queues()) {
    for (const WorkspaceQueue::Head &Head : Waiting.heads()) {
      if (refusalReason(*Jobs.find(Head.Key.Job)->Spec) == Reason::None)
        continue;
      std::vector<JobId> SameShape = Waiting.jobsOfShape(Head.Shape);
      RefusedJobs.insert(RefusedJobs.end(), SameShape.begin(), SameShape.end());
    }
  }
  for (JobId Each : RefusedJobs) {
    Job &Target = *Jobs.find(Each);
    endJob(Target, JobPhase::Refused, refusalReason(*Target.Spec));
  }
}

} // namespace banyanworks
