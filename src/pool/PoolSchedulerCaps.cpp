/// \file
/// Implements how a PoolScheduler counts runs against the caps of workspaces
/// and limits starts to them.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <utility>

namespace banyanworks::pool {

PlacedRun PoolScheduler::runOfStep(const Job &Owner, const StepSpec &Step) {
  PlacedRun Run;
  Run.Allocated = Step.allocatedResources();
  Run.Workspace = Owner.Spec.Workspace;
  Run.Charged = Step.PerTask;
  return Run;
}

RunTable::iterator PoolScheduler::addRun(WorkerState &Worker, const RunKey &Key,
                                         const PlacedRun &Run) {
  allocateResources(Worker, Run.Allocated);
  Usage.addRun(Run.Workspace, Run.Charged);
  return Worker.Runs.emplace(Key, Run).first;
}

std::uint32_t PoolScheduler::startableTasks(const StepCandidate &Candidate,
                                            std::uint32_t Count) const {
  if (!Usage.hasCaps())
    return Count;
  return Usage.startableTasks(Candidate.Owner->Spec.Workspace, *Candidate.Step,
                              Count);
}

std::uint32_t PoolScheduler::reclaimableTasks(const StepCandidate &Candidate,
                                              std::uint32_t Count) const {
  if (!Usage.hasCaps())
    return Count;
  const JobSpec &Spec = Candidate.Owner->Spec;
  Resources Pending;
  for (const auto &[Id, Demand] : ReclaimedDemands) {
    auto Other = Jobs.find(Id);
    if (Id != Spec.Id && Other != Jobs.end() &&
        Other->second.Spec.Workspace == Spec.Workspace)
      Pending += Demand;
  }
  return Usage.startableTasks(Spec.Workspace, *Candidate.Step, Count, Pending);
}

bool PoolScheduler::isAtCap(const StepCandidate &Candidate) const {
  std::uint32_t Count = Candidate.Step->Gang ? Candidate.Step->Tasks : 1;
  return startableTasks(Candidate, Count) == 0;
}

bool PoolScheduler::mayOrderUnderCap(const Job &Owner,
                                     const TaskGroup &Group) const {
  return !Usage.hasCaps() ||
         Usage.mayOrder(Owner.Spec.Workspace,
                        Owner.Spec.Steps[Group.Step].PerTask, Group.Members);
}

void PoolScheduler::releaseReclaimed(JobId Id) {
  for (const WorkerId &Other : ReclaimingWorkers) {
    WorkerState &Worker = Workers.at(Other);
    if (Worker.ReclaimedFor == Id)
      Worker.ReclaimedUntil = TimePoint();
  }
}

void PoolScheduler::logJobsAtCap(std::set<JobId> AtCap) {
  for (JobId Id : AtCap) {
    if (JobsAtCap.contains(Id))
      continue;
    Log.write(LogLevel::Notice, "job.waits",
              {{"job", jobName(Id)},
               {"workspace", Jobs.at(Id).Spec.Workspace.str()},
               {"reason", "workspace_at_cap"},
               {"config", Configuration.Version.value()}});
  }
  JobsAtCap = std::move(AtCap);
}

} // namespace banyanworks::pool
