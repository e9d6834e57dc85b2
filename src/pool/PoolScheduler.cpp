/// \file
/// Implements the jobs and workers of a PoolScheduler, and the changes to be
/// recorded.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"
#include "pool/JobObjective.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Time that an order and the report of its effect take; a quarter of
/// PoolLimits::OrderRetry, which is several round trips.
constexpr Duration RoundTrip = std::chrono::milliseconds(50);

/// Whether the record of a group still has to be moved out of an undivided one,
/// or is in the undivided one itself.
bool needsDivision(const JobProgress &Progress, const TaskGroup &Group) {
  std::size_t Part = Progress.partOf(Group);
  return Progress.wasUndivided() && Group.Run != RunNumber() &&
         (Part == 0 || !Progress.wasStored(Part));
}

} // namespace

PoolScheduler::PoolScheduler(const PoolLimits &Limits, DecisionLog &Log)
    : Limits(Limits), Log(Log), Usage(Limits.CapOverage),
      Cost({Limits.StopTime + RoundTrip, Limits.CheckpointInterval,
            Limits.RestoreTime}),
      Reserve(Limits.Reserve), Reclaims(Limits.Reclaims) {}

bool canRun(const PoolWorker &Worker, const ServiceId &Service,
            const StepSpec &Step) {
  if (Worker.Service != Service)
    return false;
  return Step.RequiredLabel.empty() ||
         std::find(Worker.Labels.begin(), Worker.Labels.end(),
                   Step.RequiredLabel) != Worker.Labels.end();
}

void PoolScheduler::configure(const PoolConfiguration &NewConfiguration) {
  Configuration = NewConfiguration;
  Configured = true;
  Usage.setCaps(Configuration.Caps);
  Reclaims.roomFreed();
  for (auto &[Id, Updated] : Jobs)
    Updated.Terms = &currentTerms(Updated.Spec);
}

void PoolScheduler::setDomainsOutOfService(std::set<DomainId> OutOfService) {
  DomainsOutOfService = std::move(OutOfService);
  HealthCheckDue = true;
}

void PoolScheduler::setCordoned(std::set<WorkerId> Cordoned,
                                std::set<WorkerId> Evacuating) {
  CordonedWorkers = std::move(Cordoned);
  EvacuatingWorkers = std::move(Evacuating);
  HealthCheckDue = true;
}

void PoolScheduler::setDirectoryCurrent(bool Current) {
  if (std::exchange(DirectoryCurrent, Current) != Current)
    Log.write(LogLevel::Change,
              Current ? "directory.current" : "directory.outdated", {});
}

void PoolScheduler::updateWorker(const PoolWorker &Worker, TimePoint Now) {
  WorkerState &State = Workers[Worker.Id];
  if (!Worker.Draining)
    State.LeavesAt = TimePoint::max();
  else if (State.LeavesAt == TimePoint::max())
    State.LeavesAt = Now + Worker.LeavesIn;
  if (State.Listed && State.Info.WorkerIncarnation != Worker.WorkerIncarnation)
    forgetSpeed(State);
  State.Info = Worker;
  State.Listed = true;
  State.Life.listed(Worker.WorkerIncarnation, Now);
  for (const SilentWorker &Lost : Silent.takeReplaced(Worker))
    settleLosses(Lost, true, "worker_replaced", Now);
  HealthCheckDue = true;
  Renewals.insert(Worker.Id);
}

void PoolScheduler::removeWorker(const WorkerId &Id) {
  auto Found = Workers.find(Id);
  if (Found == Workers.end())
    return;
  Found->second.Listed = false;
  HealthCheckDue = true;
  if (Found->second.Runs.empty() && !InTransit.contains(Id)) {
    dropWorkerReferences(Id);
    Workers.erase(Found);
  }
}

const QueueTerms &PoolScheduler::currentTerms(const JobSpec &Spec) const {
  const QueueSpec *Queue = Configuration.findQueue(Spec.Queue);
  return Queue ? Queue->Terms : Spec.Terms;
}

void PoolScheduler::addJob(const JobSpec &Spec, JobStatus Published,
                           JobProgress Progress) {
  Job &Added = Jobs[Spec.Id];
  Added.Spec = Spec;
  Added.Terms = &currentTerms(Added.Spec);
  Added.CriticalPath = criticalPath(Spec);
  for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step)
    Added.RemainingPaths.push_back(criticalPathFrom(Spec, Step));
  Added.Progress = std::move(Progress);
  Added.Parts.resize(Added.Progress.partCount());
  for (std::size_t Part = 0; Part < Added.Parts.size(); ++Part)
    Added.Parts[Part].Stored = Added.Progress.wasStored(Part);
  Added.PublishedStatus = Published;
  Added.Status = Published;
  const auto &Groups = Added.Progress.groups();
  Added.WaitingGroups = static_cast<std::size_t>(
      std::count_if(Groups.begin(), Groups.end(), [](const TaskGroup &Group) {
        return Group.State == GroupState::Waiting;
      }));
}

void PoolScheduler::submit(const JobSpec &Spec, JobStatus Published) {
  if (Jobs.contains(Spec.Id) || isFinal(Published))
    return;
  addJob(Spec, Published, JobProgress(Spec));
  Reclaims.demandChanged();
  Log.write(LogLevel::Routine, "job.queued",
            {{"job", jobName(Spec.Id)},
             {"queue", Spec.Queue.str()},
             {"workspace", Spec.Workspace.str()},
             {"config", Configuration.Version.value()}});
}

void PoolScheduler::restore(const JobSpec &Spec, JobStatus Published,
                            JobProgress Progress, TimePoint Now) {
  if (Jobs.contains(Spec.Id))
    return;
  addJob(Spec, Published, std::move(Progress));
  Job &Added = Jobs.at(Spec.Id);
  for (TaskGroup &Group : Added.Progress.groups()) {
    if (needsDivision(Added.Progress, Group))
      markChanged(Added, Group);
    // The earlier owner may not have removed all parts of a completed job.
    if (Group.State != GroupState::Active || Published == JobStatus::Completed)
      continue;
    for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
      TaskKey Task = Group.task(Spec.Id, Member);
      WorkerState &Worker = Workers[Group.Workers[Member]];
      Worker.Info.Id = Group.Workers[Member];
      PlacedRun Run = runOfStep(Added, Spec.Steps[Group.Step]);
      Run.Phase = RunPhase::Inherited;
      Run.Inherited = true;
      Run.Evidence.assumeStarted();
      if (Member < Group.Lives.size())
        Run.Life = Group.Lives[Member];
      if (Spec.Steps[Group.Step].FillsIdle)
        Run.ConfirmedPacePercent.reset();
      Run.OrderedAt = Now;
      addRun(Worker, RunKey(Task, Group.Run), Run);
      if (Spec.Steps[Group.Step].FillsIdle)
        BestEffortWorkers.insert(Worker.Info.Id);
      ++Group.LiveRuns;
      ++Added.LiveRuns;
    }
  }
  restoreLosses(Added, Now);
  // The earlier owner may not have recorded the job's failed status.
  if (Added.Progress.hasFailed())
    finishJob(Added, JobStatus::Failed);
  // The earlier owner may not have reached all workers of a final job.
  if (isFinal(Added.Status))
    abortAll(Added, jobStatusName(Added.Status));
  if (!isRecorded(Added))
    markChanged(Added);
}

void PoolScheduler::cancel(JobId Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end() || isFinal(Found->second.Status))
    return;
  finishJob(Found->second, JobStatus::Cancelled);
}

bool PoolScheduler::removeJob(JobId Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return true;
  const Job &Old = Found->second;
  if (!isFinal(Old.Status) || Old.LiveRuns > 0 || Unrecorded.contains(Id))
    return false;
  Jobs.erase(Found);
  JobsWithLosses.erase(Id);
  Unrecorded.erase(Id);
  Advice.eraseJob(Id);
  return true;
}

void PoolScheduler::finishJob(Job &Finished, JobStatus Status) {
  if (isFinal(Finished.Status))
    return;
  Finished.Status = Status;
  Reclaims.demandChanged();
  Waits.drop(Finished.Spec.Id);
  markChanged(Finished);
  Log.write(Status == JobStatus::Completed ? LogLevel::Routine
                                           : LogLevel::Notice,
            "job.final",
            {{"job", jobName(Finished.Spec.Id)},
             {"status", jobStatusName(Status)},
             {"runs_left", Finished.LiveRuns}});
  if (Status != JobStatus::Completed)
    abortAll(Finished, jobStatusName(Status));
}

PoolScheduler::GroupRef PoolScheduler::findGroup(const TaskKey &Task) {
  auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end())
    return {};
  return {&Found->second, Found->second.Progress.findGroup(Task)};
}

const PlacedRun *PoolScheduler::runOf(const Job &Owner, const TaskGroup &Group,
                                      std::uint32_t Member) const {
  if (Member >= Group.Workers.size())
    return nullptr;
  auto Worker = Workers.find(Group.Workers[Member]);
  if (Worker == Workers.end())
    return nullptr;
  auto Run =
      Worker->second.Runs.find({Group.task(Owner.Spec.Id, Member), Group.Run});
  return Run == Worker->second.Runs.end() ? nullptr : &Run->second;
}

void PoolScheduler::abortAll(Job &Owner, std::string_view Reason) {
  if (Owner.LiveRuns == 0)
    return;
  for (TaskGroup &Group : Owner.Progress.groups())
    if (Group.LiveRuns > 0)
      abort(Owner, Group, Reason);
}

void PoolScheduler::abort(Job &Owner, TaskGroup &Group,
                          std::string_view Reason) {
  for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
    if (Member >= Group.Workers.size())
      break;
    auto Found = Workers.find(Group.Workers[Member]);
    if (Found == Workers.end())
      continue;
    WorkerState &Worker = Found->second;
    TaskKey Task = Group.task(Owner.Spec.Id, Member);
    auto Run = Worker.Runs.find({Task, Group.Run});
    if (Run == Worker.Runs.end() || Run->second.StopRequested)
      continue;
    Log.write(LogLevel::Notice, "run.stop",
              {{"task", taskName(Task)},
               {"run", Group.Run.value()},
               {"worker", Worker.Info.Id.str()},
               {"reason", Reason}});
    if (!Run->second.Evidence.mayHaveStarted()) {
      removeRun(Worker, Run);
      continue;
    }
    // A reclaim counts on what is being stopped.
    if (!isAlwaysPreemptible(Owner, Group))
      Reclaims.roomFreed();
    Run->second.StopRequested = true;
    Run->second.NextOrderAt = TimePoint();
    WorkersWithPendingOrders.insert(Worker.Info.Id);
  }
}

void PoolScheduler::markChanged(Job &Changed, const TaskGroup &Group) {
  recordOf(Changed, Group).ChangedAt = Changed.Version + 1;
  markChanged(Changed);
}

void PoolScheduler::markChanged(Job &Changed) {
  ++Changed.Version;
  // A job whose record was removed may have nothing to record.
  if (isRecorded(Changed))
    Unrecorded.erase(Changed.Spec.Id);
  else if (Unrecorded.insert(Changed.Spec.Id).second)
    Changed.FirstUnrecordedChange = ++LastChange;
}

void PoolScheduler::allocateResources(WorkerState &Worker,
                                      const Resources &Allocated) {
  Worker.Allocated += Allocated;
  if (!Worker.AvailableIndex)
    return;
  AvailableWorkers[*Worker.AvailableIndex].Free -= Allocated;
  Access.addUse(Worker.Info.Service, Allocated.Accelerators);
}

void PoolScheduler::releaseResources(WorkerState &Worker,
                                     const Resources &Allocated) {
  Worker.Allocated -= Allocated;
  if (!Worker.AvailableIndex)
    return;
  AvailableWorkers[*Worker.AvailableIndex].Free += Allocated;
  Access.addUse(Worker.Info.Service, -Allocated.Accelerators);
}

void PoolScheduler::removeRun(WorkerState &Worker, RunTable::iterator Run) {
  releaseResources(Worker, Run->second.Allocated);
  Usage.removeRun(Run->second.Workspace, Run->second.Charged);
  Renewals.insert(Worker.Info.Id);
  TaskKey Task = Run->first.first;
  if (Worker.SuspectRun == Run->first)
    Worker.SuspectRun.reset();
  Worker.Runs.erase(Run);
  GroupRef Ref = findGroup(Task);
  if (!Ref.Group || !isAlwaysPreemptible(*Ref.Owner, *Ref.Group))
    Reclaims.roomFreed();
  if (!Ref.Group)
    return;
  --Ref.Group->LiveRuns;
  --Ref.Owner->LiveRuns;
  if (Ref.Owner->LiveRuns == 0 && isFinal(Ref.Owner->Status))
    markChanged(*Ref.Owner);
  if (Ref.Group->LiveRuns > 0 || Ref.Group->State != GroupState::Active)
    return;
  Ref.Group->State = GroupState::Waiting;
  ++Ref.Owner->WaitingGroups;
  markChanged(*Ref.Owner, *Ref.Group);
}

/// Whether the record of a job's progress is still needed. A failed or
/// cancelled job needs it while it has runs, since a new owner has to stop
/// them.
bool PoolScheduler::needsRecord(const Job &Owner) {
  if (Owner.SetAside)
    return false;
  if (!isFinal(Owner.Status))
    return true;
  return Owner.Status != JobStatus::Completed && Owner.LiveRuns > 0;
}

bool PoolScheduler::isRecorded(const Job &Owner) {
  if (Owner.Status != Owner.PublishedStatus)
    return false;
  bool Keep = needsRecord(Owner);
  return std::none_of(Owner.Parts.begin(), Owner.Parts.end(),
                      [Keep](const RecordPart &Part) {
                        return Keep ? !Part.isCurrent() : Part.Stored;
                      });
}

bool PoolScheduler::isRecorded(const UnrecordedEnd &End) const {
  auto Owner = Jobs.find(End.Owner);
  // The ends of a job whose final status is recorded are of no use.
  return Owner == Jobs.end() || isFinal(Owner->second.PublishedStatus) ||
         Owner->second.SetAside ||
         Owner->second.Parts[End.Part].hasRecorded(End.Version);
}

std::vector<JobChange> PoolScheduler::changes(std::size_t MaxEntries,
                                              std::optional<JobId> Only) const {
  std::vector<const Job *> Waiting;
  Waiting.reserve(Unrecorded.size());
  for (JobId Id : Unrecorded)
    if (!Only || *Only == Id)
      Waiting.push_back(&Jobs.at(Id));
  std::sort(Waiting.begin(), Waiting.end(),
            [](const Job *Left, const Job *Right) {
              auto Key = [](const Job *Changed) {
                // Callers wait for a final status, not for the removal of the
                // parts that follows.
                bool Awaited = isFinal(Changed->Status) &&
                               Changed->Status != Changed->PublishedStatus;
                return std::tuple(!Awaited, Changed->Terms->Priority != 0,
                                  Changed->FirstUnrecordedChange);
              };
              return Key(Left) < Key(Right);
            });
  std::vector<JobChange> Result;
  for (const Job *Changed : Waiting)
    if (!addChanges(*Changed, MaxEntries, Result))
      break;
  return Result;
}

bool PoolScheduler::addChanges(const Job &Changed, std::size_t MaxEntries,
                               std::vector<JobChange> &Result) const {
  std::size_t Entries = 0;
  std::size_t Bytes = 0;
  for (const JobChange &Earlier : Result) {
    Entries += Earlier.Status ? 2 : 1;
    Bytes += Earlier.Progress.size();
  }
  bool Keep = needsRecord(Changed);
  JobChange Change;
  Change.Job = Changed.Spec.Id;
  Change.Version = Changed.Version;
  if (Changed.Status != Changed.PublishedStatus)
    Change.Status = Changed.Status;
  // The first part comes last: an undivided one holds what the others replace.
  for (std::size_t Part = Changed.Parts.size(); Part-- > 0;) {
    const RecordPart &Record = Changed.Parts[Part];
    bool Due = Keep ? !Record.isCurrent() : Record.Stored;
    // A status is recorded even if no part is.
    Due = Due || (Part == 0 && Change.Status);
    if (!Due)
      continue;
    Entries += Change.Status ? 2 : 1;
    if (Entries > MaxEntries)
      return false;
    Change.Part = Part;
    Change.Progress.clear();
    if (Keep)
      Change.Progress = Changed.Progress.encodePart(Part, Limits.MaxValueBytes);
    Bytes += Change.Progress.size();
    if (Bytes > Limits.MaxCommitBytes && !Result.empty())
      return false;
    Result.push_back(Change);
    Change.Status.reset();
  }
  return true;
}

void PoolScheduler::setAside(JobId Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  Job &Refused = Found->second;
  ++JobsSetAside;
  if (std::exchange(Refused.SetAside, true)) {
    // Not even the status can be recorded.
    Unrecorded.erase(Id);
    return;
  }
  Log.write(LogLevel::Change, "job.set_aside",
            {{"job", jobName(Id)}, {"reason", "store refuses its record"}});
  Refused.Progress.markFailed();
  finishJob(Refused, JobStatus::Failed);
}

void PoolScheduler::committed(const std::vector<JobChange> &Changes,
                              TimePoint Now) {
  for (const JobChange &Change : Changes) {
    auto Found = Jobs.find(Change.Job);
    if (Found == Jobs.end())
      continue;
    Job &Recorded = Found->second;
    RecordPart &Part = Recorded.Parts[Change.Part];
    Part.CommittedVersion = Change.Version;
    Part.Stored = !Change.Progress.empty();
    if (Change.Status)
      Recorded.PublishedStatus = *Change.Status;
    if (isRecorded(Recorded))
      Unrecorded.erase(Change.Job);
    else
      Recorded.FirstUnrecordedChange = ++this->LastChange;
  }
  for (auto At = WorkersWithUnrecordedEnds.begin();
       At != WorkersWithUnrecordedEnds.end();) {
    const WorkerId &Id = *At;
    WorkerState &Worker = Workers.at(Id);
    while (!Worker.UnrecordedEnds.empty()) {
      const UnrecordedEnd &End = Worker.UnrecordedEnds.front();
      if (!isRecorded(End))
        break;
      Worker.Acknowledged = End.Sequence;
      reportSpan(PoolSpan::Recorded, Now - End.ReceivedAt);
      Worker.UnrecordedEnds.pop_front();
      Renewals.insert(Id);
    }
    At = Worker.UnrecordedEnds.empty() ? WorkersWithUnrecordedEnds.erase(At)
                                       : std::next(At);
  }
}

const PoolWorker *PoolScheduler::worker(const WorkerId &Id) const {
  auto Found = Workers.find(Id);
  return Found == Workers.end() ? nullptr : &Found->second.Info;
}

RenewalState PoolScheduler::stateOf(const WorkerState &Worker) const {
  return {&Worker.Info,
          Worker.Unresponsive,
          Worker.HasReported,
          !Worker.Runs.empty(),
          InTransit.contains(Worker.Info.Id),
          !Worker.UnrecordedEnds.empty(),
          Worker.Acknowledged};
}

std::optional<RenewalState>
PoolScheduler::renewalState(const WorkerId &Id) const {
  auto Found = Workers.find(Id);
  if (Found == Workers.end())
    return std::nullopt;
  return stateOf(Found->second);
}

void PoolScheduler::visitWorkers(
    const std::function<void(const RenewalState &)> &Visit) const {
  for (const auto &Entry : Workers)
    Visit(stateOf(Entry.second));
}

std::size_t PoolScheduler::waitingJobs() const {
  return static_cast<std::size_t>(
      std::count_if(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
        return Entry.second.Status == JobStatus::Queued;
      }));
}

} // namespace banyanworks::pool
