/// \file
/// Implements the read-only views of the scheduler.
#include "jobs/DomainScheduler.h"

#include <algorithm>

namespace banyanworks {

DomainView DomainScheduler::domain() const {
  DomainView Result;
  Result.Id = Id;
  Result.Owner = Owner;
  Result.Term = Term;
  Result.Recovering = Recovering;
  Result.InService = Drain.inService();
  Result.StartPermittedUntil = startPermittedUntil();
  Result.Workers = Capacity.cells().workerCount();
  Result.WaitingJobs = Queue.size();
  Result.ActiveJobs = ActiveJobs.size();
  return Result;
}

JobView DomainScheduler::view(const Job &Target) const {
  JobView Result;
  Result.Spec = Target.Spec;
  Result.Phase = Target.Phase;
  Result.StatusReason = Target.StatusReason;
  Result.Run = Target.Run;
  Result.Restarts = Target.Restarts;
  Result.SubmittedAt = Target.SubmittedAt;
  Result.PhaseSince = Target.PhaseSince;
  Result.UnderGuarantee = Target.UnderGuarantee;
  Result.SavedRunTime = Target.SavedRunTime;
  if (Target.Gang)
    Result.Members = Target.Gang->members();
  if (Target.InQueue && !Drain.inService())
    Result.StatusReason = Reason::DomainOut;
  else if (Target.InQueue && Now >= startPermittedUntil())
    Result.StatusReason = Reason::PermissionExpired;
  return Result;
}

std::vector<JobView> DomainScheduler::jobs() const {
  std::vector<JobView> Result;
  Result.reserve(Jobs.all().size());
  for (const auto &[Id, Target] : Jobs.all())
    Result.push_back(view(Target));
  std::sort(Result.begin(), Result.end(),
            [](const JobView &Left, const JobView &Right) {
              return Left.Spec->Id < Right.Spec->Id;
            });
  return Result;
}

std::optional<JobView> DomainScheduler::job(JobId Id) const {
  const Job *Target = Jobs.find(Id);
  if (!Target)
    return std::nullopt;
  return view(*Target);
}

std::optional<JobExplanation> DomainScheduler::explain(JobId Id) const {
  const Job *Target = Jobs.find(Id);
  if (!Target)
    return std::nullopt;
  JobExplanation Result;
  Result.Job = view(*Target);
  if (Target->InQueue) {
    if (const WorkspaceQueue *Waiting = Queue.queue(Target->Spec->Workspace))
      Result.JobsAhead = Waiting->jobsAhead(queueKey(*Target));
  }
  if (!Target->active() && !Target->terminal() && Target->NotBefore > Now)
    Result.ExpectedStart = Target->NotBefore;
  if (const Reservation *Reserving = GangReservations.find(Id)) {
    Result.ExpectedStart = Reserving->ExpectedStart;
    Result.ReservedWorkers.assign(Reserving->Workers.begin(),
                                  Reserving->Workers.end());
  }
  auto Entry = Reclaims.find(Id);
  if (Entry != Reclaims.end()) {
    Result.ReservedWorkers = Entry->second.Workers;
    Result.ReclaimedJobs.assign(Entry->second.Victims.begin(),
                                Entry->second.Victims.end());
  }
  Result.StartCondition =
      std::string(reasonInfo(Result.Job.StatusReason).Description);
  return Result;
}

std::vector<WorkerView> DomainScheduler::workers() const {
  std::vector<WorkerView> Result;
  for (const WorkerCell &Cell : Capacity.cells().cells()) {
    if (!Cell.Present)
      continue;
    Result.push_back(WorkerView{Cell.Info, Cell.Free,
                                static_cast<std::uint32_t>(Cell.Tasks.size()),
                                Health.isQuarantined(Cell.Info.Id)});
  }
  std::sort(Result.begin(), Result.end(),
            [](const WorkerView &Left, const WorkerView &Right) {
              return Left.Info.Id < Right.Info.Id;
            });
  return Result;
}

std::vector<WorkspaceView> DomainScheduler::workspaces() const {
  std::vector<WorkspaceView> Result;
  if (!Config)
    return Result;
  for (const auto &[Name, Workspace] : Config->Workspaces) {
    WorkspaceUsage Usage = Capacity.usage(Name);
    WorkspaceView View;
    View.Id = Name;
    View.GuaranteedAccelerators =
        Capacity.ledger().guaranteedAccelerators(Name);
    View.UsedAccelerators = Capacity.ledger().usedAccelerators(Name);
    View.InUse = Usage.InUse;
    View.Borrowed = Usage.Borrowed;
    View.RunningJobs = Usage.RunningJobs;
    if (const WorkspaceQueue *Waiting = Queue.queue(Name))
      View.WaitingJobs = Waiting->size();
    Result.push_back(View);
  }
  return Result;
}

FragmentationView DomainScheduler::fragmentation() const {
  FragmentationView Result;
  Result.TotalAccelerators = Capacity.cells().capacity().Accelerators;
  Result.FreeAccelerators = Capacity.cells().free().Accelerators;
  for (std::int32_t Size = 1; Size <= MaxAcceleratorsPerWorker; Size *= 2) {
    FragmentationView::Size Entry{Size, 0, 0};
    bool Possible = false;
    for (const WorkerCell &Cell : Capacity.cells().cells()) {
      if (!Cell.Present || Cell.Info.Capacity.Accelerators < Size)
        continue;
      Possible = true;
      Entry.FitNow += Cell.Free.Accelerators / Size;
    }
    if (!Possible)
      break;
    Entry.FitIfPacked = Result.FreeAccelerators / Size;
    Result.Sizes.push_back(Entry);
  }
  return Result;
}

} // namespace banyanworks
