/// \file
/// Implements the jobs and workers of a PoolScheduler, and what of them is to
/// be recorded.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <algorithm>

namespace banyanworks::pool {

PoolScheduler::PoolScheduler(const PoolLimits &Limits, DecisionLog &Log)
    : Limits(Limits), Log(Log), Reserve(Limits.Reserve) {}

bool offers(const PoolWorker &Worker, const ServiceId &Service,
            const StepSpec &Step) {
  if (Worker.Service != Service)
    return false;
  return Step.RequiredLabel.empty() ||
         std::find(Worker.Labels.begin(), Worker.Labels.end(),
                   Step.RequiredLabel) != Worker.Labels.end();
}

void PoolScheduler::configure(const PoolConfiguration &Newer) {
  Configuration = Newer;
}

void PoolScheduler::setDomainsOut(std::set<DomainId> Out) {
  DomainsOut = std::move(Out);
}

void PoolScheduler::setLeaving(std::set<WorkerId> Leaving,
                               std::set<WorkerId> Pressed) {
  LeavingWorkers = std::move(Leaving);
  PressedWorkers = std::move(Pressed);
}

void PoolScheduler::updateWorker(const PoolWorker &Worker, TimePoint Now) {
  Slot &On = Slots[Worker.Id];
  if (!Worker.Draining)
    On.LeavesAt = TimePoint::max();
  else if (On.LeavesAt == TimePoint::max())
    On.LeavesAt = Now + Worker.LeavesIn;
  On.Info = Worker;
  On.Listed = true;
}

void PoolScheduler::removeWorker(const WorkerId &Id) {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return;
  Found->second.Listed = false;
  if (Found->second.Runs.empty())
    Slots.erase(Found);
}

const QueueTerms &PoolScheduler::termsOf(const JobSpec &Spec) const {
  const QueueSpec *Queue = Configuration.queue(Spec.Queue);
  return Queue ? Queue->Terms : Spec.Terms;
}

void PoolScheduler::addJob(const JobSpec &Spec, JobStatus Shown,
                           JobProgress Progress) {
  Job &Added = Jobs[Spec.Id];
  Added.Spec = Spec;
  Added.Progress = std::move(Progress);
  Added.Shown = Shown;
  Added.Status = Shown;
  const auto &Groups = Added.Progress.groups();
  Added.Waiting = static_cast<std::size_t>(
      std::count_if(Groups.begin(), Groups.end(), [](const TaskGroup &Group) {
        return Group.State == GroupState::Waiting;
      }));
}

void PoolScheduler::submit(const JobSpec &Spec, JobStatus Shown) {
  if (Jobs.contains(Spec.Id) || isFinal(Shown))
    return;
  addJob(Spec, Shown, JobProgress(Spec));
  Log.write(LogLevel::Routine, "job.queued",
            {{"job", jobName(Spec.Id)},
             {"queue", Spec.Queue.str()},
             {"workspace", Spec.Workspace.str()},
             {"config", Configuration.Version.value()}});
}

void PoolScheduler::restore(const JobSpec &Spec, JobStatus Shown,
                            JobProgress Progress, TimePoint Now) {
  if (Jobs.contains(Spec.Id))
    return;
  addJob(Spec, Shown, std::move(Progress));
  Job &Added = Jobs.at(Spec.Id);
  for (TaskGroup &Group : Added.Progress.groups()) {
    if (Group.State != GroupState::Active)
      continue;
    for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
      TaskKey Task = Group.task(Spec.Id, Member);
      Slot &On = Slots[Group.Workers[Member]];
      On.Info.Id = Group.Workers[Member];
      PlacedRun Run;
      Run.Room = Spec.Steps[Group.Step].held();
      Run.Phase = RunPhase::Inherited;
      if (Spec.Steps[Group.Step].FillsIdle)
        Run.PacePercent.reset();
      Run.OrderedAt = Now;
      On.Used += Run.Room;
      On.Runs.emplace(RunKey(Task, Group.Run), Run);
      ++Group.Live;
      ++Added.Live;
    }
  }
  // What was to be shown may not have been recorded by the earlier owner.
  if (Added.Progress.failed())
    conclude(Added, JobStatus::Failed);
}

void PoolScheduler::cancel(JobId Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end() || isFinal(Found->second.Status))
    return;
  conclude(Found->second, JobStatus::Cancelled);
}

bool PoolScheduler::forget(JobId Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return true;
  const Job &Old = Found->second;
  if (!isFinal(Old.Status) || Old.Live > 0 || Old.Version != Old.Committed)
    return false;
  Jobs.erase(Found);
  Advice.forget(Id);
  return true;
}

void PoolScheduler::conclude(Job &Changed, JobStatus Status) {
  if (isFinal(Changed.Status))
    return;
  Changed.Status = Status;
  ++Changed.Version;
  Log.write(Status == JobStatus::Completed ? LogLevel::Routine
                                           : LogLevel::Notice,
            "job.final",
            {{"job", jobName(Changed.Spec.Id)},
             {"status", jobStatusName(Status)},
             {"runs_left", Changed.Live}});
  if (Status != JobStatus::Completed)
    abortAll(Changed, jobStatusName(Status));
}

PoolScheduler::GroupRef PoolScheduler::find(const TaskKey &Task) {
  auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end())
    return {};
  return {&Found->second, Found->second.Progress.find(Task)};
}

const PlacedRun *PoolScheduler::runOf(const Job &Owner, const TaskGroup &Group,
                                      std::uint32_t Member) const {
  if (Member >= Group.Workers.size())
    return nullptr;
  auto On = Slots.find(Group.Workers[Member]);
  if (On == Slots.end())
    return nullptr;
  auto Run =
      On->second.Runs.find({Group.task(Owner.Spec.Id, Member), Group.Run});
  return Run == On->second.Runs.end() ? nullptr : &Run->second;
}

void PoolScheduler::abortAll(Job &Owner, std::string_view Why) {
  if (Owner.Live == 0)
    return;
  for (TaskGroup &Group : Owner.Progress.groups())
    if (Group.Live > 0)
      abort(Owner, Group, Why);
}

void PoolScheduler::abort(Job &Owner, TaskGroup &Group, std::string_view Why) {
  for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
    if (Member >= Group.Workers.size())
      break;
    auto Where = Slots.find(Group.Workers[Member]);
    if (Where == Slots.end())
      continue;
    Slot &On = Where->second;
    TaskKey Task = Group.task(Owner.Spec.Id, Member);
    auto Run = On.Runs.find({Task, Group.Run});
    if (Run == On.Runs.end() || Run->second.StopWanted)
      continue;
    Log.write(LogLevel::Notice, "run.stop",
              {{"task", taskName(Task)},
               {"run", Group.Run.value()},
               {"worker", On.Info.Id.str()},
               {"reason", Why}});
    if (Run->second.Phase == RunPhase::Planned) {
      settle(On, Run);
      continue;
    }
    Run->second.StopWanted = true;
    Run->second.NextOrder = TimePoint();
  }
}

void PoolScheduler::settle(Slot &On, RunTable::iterator Run) {
  On.Used -= Run->second.Room;
  TaskKey Task = Run->first.first;
  On.Runs.erase(Run);
  GroupRef Ref = find(Task);
  if (!Ref.Group)
    return;
  --Ref.Group->Live;
  --Ref.Owner->Live;
  if (Ref.Owner->Live == 0 && isFinal(Ref.Owner->Status))
    ++Ref.Owner->Version;
  if (Ref.Group->Live > 0 || Ref.Group->State != GroupState::Active)
    return;
  Ref.Group->State = GroupState::Waiting;
  ++Ref.Owner->Waiting;
  ++Ref.Owner->Version;
}

/// Whether the record of a job's progress is still needed: an owner that takes
/// over has to stop what a failed or cancelled job has running.
bool PoolScheduler::needsRecord(const Job &Of) {
  if (!isFinal(Of.Status))
    return true;
  return Of.Status != JobStatus::Completed && Of.Live > 0;
}

std::vector<JobChange> PoolScheduler::changes(std::size_t Most) const {
  // Callers wait for jobs that have ended, so that these come first.
  std::vector<const Job *> Chosen;
  for (bool Ended : {true, false}) {
    for (const auto &Entry : Jobs) {
      const Job &Changed = Entry.second;
      if (Chosen.size() == Most)
        break;
      if (Changed.Version != Changed.Committed &&
          isFinal(Changed.Status) == Ended)
        Chosen.push_back(&Changed);
    }
  }
  std::vector<JobChange> Result;
  Result.reserve(Chosen.size());
  for (const Job *Changed : Chosen) {
    JobChange Change;
    Change.Job = Changed->Spec.Id;
    Change.Version = Changed->Version;
    if (needsRecord(*Changed))
      Change.Progress = Changed->Progress.encode();
    if (Changed->Status != Changed->Shown)
      Change.Status = Changed->Status;
    Result.push_back(std::move(Change));
  }
  return Result;
}

bool PoolScheduler::hasChanges() const {
  return std::any_of(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
    return Entry.second.Version != Entry.second.Committed;
  });
}

void PoolScheduler::committed(const std::vector<JobChange> &Changes,
                              TimePoint Now) {
  for (const JobChange &Change : Changes) {
    auto Found = Jobs.find(Change.Job);
    if (Found == Jobs.end())
      continue;
    Found->second.Committed = Change.Version;
    if (Change.Status)
      Found->second.Shown = *Change.Status;
  }
  for (auto &[Id, On] : Slots) {
    while (!On.OpenEnds.empty()) {
      const OpenEnd &End = On.OpenEnds.front();
      auto Owner = Jobs.find(End.Owner);
      if (Owner != Jobs.end() && Owner->second.Committed < End.Version)
        break;
      On.Acknowledged = End.Sequence;
      observed(PoolSpan::Recorded, Now - End.TakenAt);
      On.OpenEnds.pop_front();
    }
  }
}

const PoolWorker *PoolScheduler::worker(const WorkerId &Id) const {
  auto Found = Slots.find(Id);
  return Found == Slots.end() ? nullptr : &Found->second.Info;
}

RenewalState PoolScheduler::stateOf(const Slot &On) {
  return {&On.Info,
          On.Silent,
          On.Heard,
          !On.Runs.empty(),
          !On.OpenEnds.empty(),
          On.Acknowledged};
}

std::optional<RenewalState>
PoolScheduler::renewalState(const WorkerId &Id) const {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return std::nullopt;
  return stateOf(Found->second);
}

void PoolScheduler::visitWorkers(
    const std::function<void(const RenewalState &)> &Visit) const {
  for (const auto &Entry : Slots)
    Visit(stateOf(Entry.second));
}

std::size_t PoolScheduler::waitingJobs() const {
  return static_cast<std::size_t>(
      std::count_if(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
        return Entry.second.Status == JobStatus::Queued;
      }));
}

} // namespace banyanworks::pool
