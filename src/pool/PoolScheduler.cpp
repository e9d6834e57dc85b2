/// \file
/// Implements the jobs and workers of a PoolScheduler, and what of them is to
/// be recorded.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"
#include "pool/JobObjective.h"

#include <algorithm>
#include <iterator>
#include <tuple>

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
  for (auto &[Id, Each] : Jobs)
    Each.Terms = &currentTerms(Each.Spec);
}

void PoolScheduler::setDomainsOut(std::set<DomainId> Out) {
  DomainsOut = std::move(Out);
  JudgeSoon = true;
}

void PoolScheduler::setLeaving(std::set<WorkerId> Leaving,
                               std::set<WorkerId> Pressed) {
  LeavingWorkers = std::move(Leaving);
  PressedWorkers = std::move(Pressed);
  JudgeSoon = true;
}

void PoolScheduler::updateWorker(const PoolWorker &Worker, TimePoint Now) {
  Slot &On = Slots[Worker.Id];
  if (!Worker.Draining)
    On.LeavesAt = TimePoint::max();
  else if (On.LeavesAt == TimePoint::max())
    On.LeavesAt = Now + Worker.LeavesIn;
  On.Info = Worker;
  On.Listed = true;
  JudgeSoon = true;
  Renewals.insert(Worker.Id);
}

void PoolScheduler::removeWorker(const WorkerId &Id) {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return;
  Found->second.Listed = false;
  JudgeSoon = true;
  if (Found->second.Runs.empty()) {
    forgetWorker(Id);
    Slots.erase(Found);
  }
}

const QueueTerms &PoolScheduler::currentTerms(const JobSpec &Spec) const {
  const QueueSpec *Queue = Configuration.queue(Spec.Queue);
  return Queue ? Queue->Terms : Spec.Terms;
}

void PoolScheduler::addJob(const JobSpec &Spec, JobStatus Shown,
                           JobProgress Progress) {
  Job &Added = Jobs[Spec.Id];
  Added.Spec = Spec;
  Added.Terms = &currentTerms(Added.Spec);
  Added.Chain = longestChain(Spec);
  for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step)
    Added.Rests.push_back(chainFrom(Spec, Step));
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
      takeRoom(On, Run.Room);
      On.Runs.emplace(RunKey(Task, Group.Run), Run);
      if (Spec.Steps[Group.Step].FillsIdle)
        Filled.insert(On.Info.Id);
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
  Unrecorded.erase(Id);
  Advice.forget(Id);
  return true;
}

void PoolScheduler::conclude(Job &Changed, JobStatus Status) {
  if (isFinal(Changed.Status))
    return;
  Changed.Status = Status;
  changed(Changed);
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
    Ordering.insert(On.Info.Id);
  }
}

void PoolScheduler::changed(Job &Of) {
  ++Of.Version;
  if (Unrecorded.insert(Of.Spec.Id).second)
    Of.ChangeNumber = ++Changes;
}

void PoolScheduler::takeRoom(Slot &On, const Resources &Room) {
  On.Used += Room;
  if (On.RoomAt)
    OpenRooms[*On.RoomAt].Free -= Room;
}

void PoolScheduler::freeRoom(Slot &On, const Resources &Room) {
  On.Used -= Room;
  if (On.RoomAt)
    OpenRooms[*On.RoomAt].Free += Room;
}

void PoolScheduler::settle(Slot &On, RunTable::iterator Run) {
  freeRoom(On, Run->second.Room);
  Renewals.insert(On.Info.Id);
  TaskKey Task = Run->first.first;
  On.Runs.erase(Run);
  GroupRef Ref = find(Task);
  if (!Ref.Group)
    return;
  --Ref.Group->Live;
  --Ref.Owner->Live;
  if (Ref.Owner->Live == 0 && isFinal(Ref.Owner->Status))
    changed(*Ref.Owner);
  if (Ref.Group->Live > 0 || Ref.Group->State != GroupState::Active)
    return;
  Ref.Group->State = GroupState::Waiting;
  ++Ref.Owner->Waiting;
  changed(*Ref.Owner);
}

/// Whether the record of a job's progress is still needed: an owner that takes
/// over has to stop what a failed or cancelled job has running.
bool PoolScheduler::needsRecord(const Job &Of) {
  if (!isFinal(Of.Status))
    return true;
  return Of.Status != JobStatus::Completed && Of.Live > 0;
}

std::vector<JobChange> PoolScheduler::changes(std::size_t MostEntries) const {
  std::vector<const Job *> Waiting;
  Waiting.reserve(Unrecorded.size());
  for (JobId Id : Unrecorded)
    Waiting.push_back(&Jobs.at(Id));
  std::sort(Waiting.begin(), Waiting.end(),
            [](const Job *Left, const Job *Right) {
              auto Key = [](const Job *Of) {
                return std::tuple(!isFinal(Of->Status),
                                  Of->Terms->Priority != 0, Of->ChangeNumber);
              };
              return Key(Left) < Key(Right);
            });
  std::vector<JobChange> Result;
  std::size_t Entries = 0;
  for (const Job *Next : Waiting) {
    JobChange Change;
    if (Next->Status != Next->Shown)
      Change.Status = Next->Status;
    Entries += Change.Status ? 2 : 1;
    if (Entries > MostEntries)
      break;
    Change.Job = Next->Spec.Id;
    Change.Version = Next->Version;
    if (needsRecord(*Next))
      Change.Progress = Next->Progress.encode();
    Result.push_back(std::move(Change));
  }
  return Result;
}

void PoolScheduler::committed(const std::vector<JobChange> &Changes,
                              TimePoint Now) {
  for (const JobChange &Change : Changes) {
    auto Found = Jobs.find(Change.Job);
    if (Found == Jobs.end())
      continue;
    Job &Recorded = Found->second;
    Recorded.Committed = Change.Version;
    if (Change.Status)
      Recorded.Shown = *Change.Status;
    if (Recorded.Version == Recorded.Committed)
      Unrecorded.erase(Change.Job);
    else
      Recorded.ChangeNumber = ++this->Changes;
  }
  for (auto At = Ending.begin(); At != Ending.end();) {
    const WorkerId &Id = *At;
    Slot &On = Slots.at(Id);
    while (!On.OpenEnds.empty()) {
      const OpenEnd &End = On.OpenEnds.front();
      auto Owner = Jobs.find(End.Owner);
      if (Owner != Jobs.end() && Owner->second.Committed < End.Version)
        break;
      On.Acknowledged = End.Sequence;
      observed(PoolSpan::Recorded, Now - End.TakenAt);
      On.OpenEnds.pop_front();
      Renewals.insert(Id);
    }
    At = On.OpenEnds.empty() ? Ending.erase(At) : std::next(At);
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
