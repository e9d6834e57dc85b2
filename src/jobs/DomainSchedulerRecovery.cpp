/// \file
/// Implements gaining and losing ownership and reconciliation with the workers'
/// inventories.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

void DomainScheduler::onEvent(const OwnershipGained &Event) {
  onEvent(OwnershipLost{});
  Owner = true;
  Term = Event.Term;
  Recovering = true;
  Recovery.beginRecovery(Now, Event, Settings);
  for (const WorkerId &Worker : Event.ExpectedWorkers)
    KnownWorkers.expect(Worker, Now);
  for (const std::shared_ptr<const JobSpec> &Spec : Event.Jobs)
    addRecoveredJob(Spec);
  tryFinishRecovery();
}

Job *DomainScheduler::addRecoveredJob(
    const std::shared_ptr<const JobSpec> &Spec) {
  Job *Target = Jobs.add(Spec, Now);
  if (!Target)
    return nullptr;
  Target->MayRunUnreported = true;
  Target->StatusReason = Reason::Recovering;
  Target->Estimate = Spec->ExpectedRunTime;
  return Target;
}

void DomainScheduler::onEvent(const RecordsCompleted &Event) {
  if (!Owner || Recovery.recordsComplete())
    return;
  Recovery.markRecordsComplete();
  for (const std::shared_ptr<const JobSpec> &Spec : Event.Jobs)
    addRecoveredJob(Spec);
  tryFinishRecovery();
  // With complete records, reported ends of jobs without a record are no longer
  // needed.
  if (!Recovering)
    ReportedRuns.clear();
}

void DomainScheduler::onEvent(const OwnershipLost & /*Event*/) {
  Owner = false;
  Recovering = false;
  Jobs.clear();
  Queue.clear();
  Timers.clear();
  ReportedRuns.clear();
  Sessions.clear();
  ActiveJobs.clear();
  BorrowingJobs.clear();
  Reclaims.clear();
  BeneficiaryOf.clear();
  Capacity.clear();
  Health = WorkerHealth();
  KnownWorkers.clear();
  OveruseMonitor.clear();
  GangReservations.clear();
  PassNeeded = false;
}

void DomainScheduler::stepDown() {
  Epoch LostEpoch = Term;
  Actions.clear();
  onEvent(OwnershipLost{});
  Actions.push_back(StepDown{LostEpoch});
}

void DomainScheduler::onEvent(const WorkerJoined &Event) {
  if (!Owner)
    return;
  const WorkerInventory &Inventory = Event.Inventory;
  const WorkerId &Worker = Inventory.Info.Id;
  auto KnownSession = Sessions.try_emplace(Worker, Inventory.Session).first;
  // Ignores a delayed inventory of an earlier session.
  if (Inventory.Session < KnownSession->second)
    return;
  // Tasks of the earlier session are absent from the inventory and handled as
  // missing below; tasks granted since then are listed.
  KnownSession->second = Inventory.Session;
  KnownWorkers.markJoined(Worker);
  std::optional<WorkerSlot> Slot = Capacity.cells().slotOf(Worker);
  if (!Slot || Capacity.cells().cell(*Slot).Info != Inventory.Info) {
    for (const TaskId &Dropped : Capacity.addWorker(Inventory.Info)) {
      Job *Target = Jobs.find(Dropped.Job);
      if (!Target || !Target->active())
        continue;
      GangContext Context = context();
      Target->Gang->stop(Context, GangEnd::Lost, Reason::WorkerLost);
      applyGangStage(*Target);
    }
  }
  reconcile(Inventory);
  if (Recovering) {
    Recovery.markReported(Worker);
    tryFinishRecovery();
  }
  PassNeeded = true;
}

void DomainScheduler::onEvent(const WorkerDeparted &Event) {
  if (!Owner)
    return;
  if (std::optional<WorkerSlot> Slot = Capacity.cells().slotOf(Event.Worker)) {
    KnownWorkers.markDeparted(Event.Worker,
                              Capacity.cells().cell(*Slot).Info.RackNumber, Now,
                              Settings.RackLossWindow);
    std::set<JobId> AffectedJobs;
    for (const TaskId &Task : Capacity.cells().cell(*Slot).Tasks)
      AffectedJobs.insert(Task.Job);
    for (JobId Id : AffectedJobs) {
      Job *Target = Jobs.find(Id);
      if (!Target || !Target->active())
        continue;
      GangContext Context = context();
      Target->Gang->onWorkerLost(Context, Event.Worker);
      applyGangStage(*Target);
    }
    Capacity.removeWorker(Event.Worker);
  }
  // Rejects delayed inventories of the session that ended.
  auto Session = Sessions.find(Event.Worker);
  if (Session != Sessions.end())
    Session->second = Session->second.next();
  for (auto &[Id, Run] : ReportedRuns) {
    std::erase_if(Run.Members, [&Event](const auto &Entry) {
      return Entry.second.Placement.Worker == Event.Worker && !Entry.second.End;
    });
  }
  if (Recovering) {
    Recovery.markReported(Event.Worker);
    tryFinishRecovery();
  }
  PassNeeded = true;
}

void DomainScheduler::reconcile(const WorkerInventory &Inventory) {
  const WorkerId &Worker = Inventory.Info.Id;
  for (const EndedTask &Task : Inventory.Ended) {
    Job *Target = Jobs.find(Task.Task.Job);
    if (Target && Target->active() && Target->Gang->run() == Task.Task.Run) {
      onEvent(TaskEnded{Task.Task, Worker, Task.End, Task.SavedRunTime});
      continue;
    }
    reconcileEndedTask(Worker, Task);
  }
  for (const ActiveTask &Task : Inventory.Tasks)
    reconcileListedTask(Worker, Task);
  reconcileMissingTasks(Inventory);
}

void DomainScheduler::reconcileListedTask(const WorkerId &Worker,
                                          const ActiveTask &Task) {
  Job *Target = Jobs.find(Task.Task.Job);
  if (!Target && Task.Spec && !Recovery.recordsComplete()) {
    // Recovers the job from the worker's report, since the store has not
    // returned its record.
    Target = addRecoveredJob(Task.Spec);
  }
  if (!Target || Target->terminal())
    return endOrphan(Worker, Task.Task, Task.Phase);
  bool Started = Task.Phase != TaskPhase::Held;
  if (Target->active()) {
    if (Target->Gang->run() != Task.Task.Run)
      return endOrphan(Worker, Task.Task, Task.Phase);
    if (Started)
      onEvent(StartAnswered{Task.Task, Worker, OrderResult::Done});
    return;
  }
  if (!Target->MayRunUnreported)
    return endOrphan(Worker, Task.Task, Task.Phase);
  GangMember Member{{Worker, Task.Accelerators},
                    Started ? MemberState::Running : MemberState::Held,
                    {},
                    {}};
  addReportedMember(Task.Task, Member, Task.RunTime);
}

void DomainScheduler::reconcileEndedTask(const WorkerId &Worker,
                                         const EndedTask &Task) {
  Job *Target = Jobs.find(Task.Task.Job);
  // A terminal job keeps its run until its outcome is durable.
  if (Target && Target->terminal() && Target->Gang)
    return;
  // The job may be terminal, so without its record the end is stored but the
  // job is not recovered.
  bool Awaited =
      Target ? Target->MayRunUnreported : !Recovery.recordsComplete();
  if (!Awaited) {
    Actions.push_back(ForgetTask{Task.Task, Worker, Term});
    return;
  }
  GangMember Member{
      {Worker, 0}, MemberState::Ended, Task.End, Task.SavedRunTime};
  addReportedMember(Task.Task, Member, Duration::zero());
}

void DomainScheduler::reconcileMissingTasks(const WorkerInventory &Inventory) {
  std::unordered_set<TaskId> Listed;
  for (const ActiveTask &Task : Inventory.Tasks)
    Listed.insert(Task.Task);
  std::optional<WorkerSlot> Slot = Capacity.cells().slotOf(Inventory.Info.Id);
  if (!Slot)
    return;
  std::vector<TaskId> MissingTasks;
  for (const TaskId &Task : Capacity.cells().cell(*Slot).Tasks) {
    if (!Listed.contains(Task))
      MissingTasks.push_back(Task);
  }
  for (const TaskId &Task : MissingTasks) {
    Job *Target = Jobs.find(Task.Job);
    if (!Target || !Target->active())
      continue;
    GangContext Context = context();
    Target->Gang->onMemberMissing(Context, Task.Member);
    applyGangStage(*Target);
  }
}

void DomainScheduler::addReportedMember(const TaskId &Task, GangMember Member,
                                        Duration RunTime) {
  ReportedRun &Run = ReportedRuns[Task.Job];
  if (Task.Run < Run.Run) {
    endOrphanMember(Member, Task);
    return;
  }
  if (Task.Run > Run.Run) {
    for (const auto &[Index, Old] : Run.Members)
      endOrphanMember(Old, TaskId{Task.Job, Run.Run, Index});
    Run = ReportedRun{Task.Run, {}, Duration::zero()};
  }
  Run.Members.insert_or_assign(Task.Member, std::move(Member));
  Run.RunTime = std::max(Run.RunTime, RunTime);
  if (Job *Target = Jobs.find(Task.Job))
    resolveReportedRun(*Target);
}

void DomainScheduler::resolveReportedRun(Job &Target) {
  auto Entry = ReportedRuns.find(Target.Spec->Id);
  if (Entry == ReportedRuns.end())
    return;
  ReportedRun &Run = Entry->second;
  // An incomplete or failed run may have been followed by a run that has not
  // been reported yet.
  bool Complete = Run.Members.size() == Target.Spec->Members &&
                  std::none_of(Run.Members.begin(), Run.Members.end(),
                               [](const auto &Each) {
                                 return Each.second.End &&
                                        Each.second.End != TaskEnd::Succeeded;
                               });
  if (!Complete && !Recovery.noUnreportedRuns(Now))
    return;
  std::vector<GangMember> Members(Target.Spec->Members);
  std::vector<MemberPlacement> Placements;
  Placements.reserve(Members.size());
  for (GangMember &Member : Members)
    Member.State = MemberState::Ended;
  for (auto &[Index, Member] : Run.Members) {
    if (Index < Members.size())
      Members[Index] = std::move(Member);
  }
  for (const GangMember &Member : Members)
    Placements.push_back(Member.Placement);
  Target.MayRunUnreported = false;
  Target.Run = Run.Run;
  bool Guaranteed = Capacity.ledger().coversGang(*Target.Spec);
  Target.UnderGuarantee =
      Capacity.occupy(*Target.Spec, Target.Run, Placements, Guaranteed);
  Target.Gang.emplace(
      GangStateMachine::adopt(Target.Spec, Target.Run, std::move(Members)));
  Target.Gang->setStartTime(Now - Run.RunTime);
  ReportedRuns.erase(Entry);
  ActiveJobs.insert(Target.Spec->Id);
  trackBorrowingJob(Target);
  for (std::uint32_t Index = 0; Index != Placements.size(); ++Index) {
    if (Target.Gang->members()[Index].State == MemberState::Ended)
      Capacity.releaseMember(TaskId{Target.Spec->Id, Target.Run, Index});
  }
  GangContext Context = context();
  Target.Gang->resume(Context);
  applyGangStage(Target);
}

void DomainScheduler::tryFinishRecovery() {
  if (!Recovery.noUnreportedRuns(Now))
    return;
  Recovering = false;
  std::vector<JobId> Waiting;
  for (const auto &[Id, Target] : Jobs.all()) {
    if (Target.MayRunUnreported)
      Waiting.push_back(Id);
  }
  std::sort(Waiting.begin(), Waiting.end());
  for (JobId Id : Waiting) {
    Job &Target = *Jobs.find(Id);
    if (ReportedRuns.contains(Id)) {
      resolveReportedRun(Target);
      continue;
    }
    Target.MayRunUnreported = false;
    admit(Target);
  }
  Drain.repeatActions(Now);
  PassNeeded = true;
}

void DomainScheduler::endOrphanMember(const GangMember &Member,
                                      const TaskId &Task) {
  if (Member.State == MemberState::Ended)
    return;
  bool IsHeld = Member.State == MemberState::Held;
  endOrphan(Member.Placement.Worker, Task,
            IsHeld ? TaskPhase::Held : TaskPhase::Running);
}

void DomainScheduler::endOrphan(const WorkerId &Worker, const TaskId &Task,
                                TaskPhase Phase) {
  if (Phase == TaskPhase::Held)
    Actions.push_back(ReleaseTask{Task, Worker, Term});
  else
    Actions.push_back(StopTask{Task, Worker, Term});
}

} // namespace banyanworks
