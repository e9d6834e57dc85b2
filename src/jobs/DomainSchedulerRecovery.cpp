/// \file
/// Implements how the scheduler gains and loses ownership and reconciles
/// itself with the workers' inventories.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

void DomainScheduler::on(const OwnershipGained &Event) {
  on(OwnershipLost{});
  Owner = true;
  Term = Event.Term;
  Recovering = true;
  Recovery.open(Now, Event, Settings);
  for (const WorkerId &Worker : Event.ExpectedWorkers)
    Roster.expect(Worker, Now);
  for (const std::shared_ptr<const JobSpec> &Spec : Event.Jobs)
    addRecovered(Spec);
  resolveAll();
}

Job *DomainScheduler::addRecovered(const std::shared_ptr<const JobSpec> &Spec) {
  Job *Target = Jobs.add(Spec, Now);
  if (!Target)
    return nullptr;
  Target->MayRunUnheard = true;
  Target->Why = Reason::Recovering;
  Target->Estimate = Spec->ExpectedRunTime;
  return Target;
}

void DomainScheduler::on(const RecordsCompleted &Event) {
  if (!Owner || Recovery.recordsComplete())
    return;
  Recovery.completeRecords();
  for (const std::shared_ptr<const JobSpec> &Spec : Event.Jobs)
    addRecovered(Spec);
  resolveAll();
  // Ends of jobs without a record are of no use any more.
  if (!Recovering)
    Found.clear();
}

void DomainScheduler::on(const OwnershipLost & /*Event*/) {
  Owner = false;
  Recovering = false;
  Jobs.clear();
  Queue.clear();
  Timers.clear();
  Found.clear();
  Sessions.clear();
  ActiveJobs.clear();
  Loans.clear();
  Reclaims.clear();
  BeneficiaryOf.clear();
  Space.clear();
  Health = WorkerHealth();
  Roster.clear();
  Usage.clear();
  Reserved.clear();
  Dirty = false;
}

void DomainScheduler::giveUp() {
  Epoch Old = Term;
  Actions.clear();
  on(OwnershipLost{});
  Actions.push_back(StepDown{Old});
}

void DomainScheduler::on(const WorkerJoined &Event) {
  if (!Owner)
    return;
  const WorkerInventory &Inventory = Event.Inventory;
  const WorkerId &Worker = Inventory.Info.Id;
  auto Known = Sessions.try_emplace(Worker, Inventory.Session).first;
  // An inventory of an earlier session travelled late.
  if (Inventory.Session < Known->second)
    return;
  // Tasks of the earlier session are gone; they are missing below. Those that
  // were granted since then are listed.
  Known->second = Inventory.Session;
  Roster.joined(Worker);
  std::optional<WorkerSlot> Slot = Space.cells().slotOf(Worker);
  if (!Slot || Space.cells().cell(*Slot).Info != Inventory.Info) {
    for (const TaskId &Dropped : Space.addWorker(Inventory.Info)) {
      Job *Target = Jobs.find(Dropped.Job);
      if (!Target || !Target->active())
        continue;
      GangContext Context = context();
      Target->Gang->stop(Context, GangEnd::Lost, Reason::WorkerLost);
      settle(*Target);
    }
  }
  reconcile(Inventory);
  if (Recovering) {
    Recovery.heard(Worker);
    resolveAll();
  }
  Dirty = true;
}

void DomainScheduler::on(const WorkerDeparted &Event) {
  if (!Owner)
    return;
  if (std::optional<WorkerSlot> Slot = Space.cells().slotOf(Event.Worker)) {
    Roster.departed(Event.Worker, Space.cells().cell(*Slot).Info.RackNumber,
                    Now, Settings.RackLossWindow);
    std::set<JobId> Hit;
    for (const TaskId &Task : Space.cells().cell(*Slot).Tasks)
      Hit.insert(Task.Job);
    for (JobId Id : Hit) {
      Job *Target = Jobs.find(Id);
      if (!Target || !Target->active())
        continue;
      GangContext Context = context();
      Target->Gang->onWorkerLost(Context, Event.Worker);
      settle(*Target);
    }
    Space.removeWorker(Event.Worker);
  }
  // An inventory of the session that ended must not bring it back.
  auto Session = Sessions.find(Event.Worker);
  if (Session != Sessions.end())
    Session->second = Session->second.next();
  for (auto &[Id, Run] : Found) {
    std::erase_if(Run.Members, [&Event](const auto &Entry) {
      return Entry.second.Place.Worker == Event.Worker && !Entry.second.End;
    });
  }
  if (Recovering) {
    Recovery.heard(Event.Worker);
    resolveAll();
  }
  Dirty = true;
}

void DomainScheduler::reconcile(const WorkerInventory &Inventory) {
  const WorkerId &Worker = Inventory.Info.Id;
  for (const EndedTask &Task : Inventory.Ended) {
    Job *Target = Jobs.find(Task.Task.Job);
    if (Target && Target->active() && Target->Gang->run() == Task.Task.Run) {
      on(TaskEnded{Task.Task, Worker, Task.End, Task.Kept});
      continue;
    }
    reconcileEnded(Worker, Task);
  }
  for (const HeldTask &Task : Inventory.Tasks)
    reconcileHeld(Worker, Task);
  reconcileMissing(Inventory);
}

void DomainScheduler::reconcileHeld(const WorkerId &Worker,
                                    const HeldTask &Task) {
  Job *Target = Jobs.find(Task.Task.Job);
  if (!Target && Task.Spec && !Recovery.recordsComplete()) {
    // The workers' word stands for the record that the store did not give.
    Target = addRecovered(Task.Spec);
  }
  if (!Target || Target->terminal())
    return endOrphan(Worker, Task.Task, Task.Phase);
  bool Runs = Task.Phase != TaskPhase::Held;
  if (Target->active()) {
    if (Target->Gang->run() != Task.Task.Run)
      return endOrphan(Worker, Task.Task, Task.Phase);
    if (Runs)
      on(StartAnswered{Task.Task, Worker, OrderResult::Done});
    return;
  }
  if (!Target->MayRunUnheard)
    return endOrphan(Worker, Task.Task, Task.Phase);
  GangMember Member{{Worker, Task.Accelerators},
                    Runs ? MemberState::Running : MemberState::Held,
                    {},
                    {}};
  noteFound(Task.Task, Member, Task.Ran);
}

void DomainScheduler::reconcileEnded(const WorkerId &Worker,
                                     const EndedTask &Task) {
  Job *Target = Jobs.find(Task.Task.Job);
  // A terminal job keeps its run until the outcome is recorded.
  if (Target && Target->terminal() && Target->Gang)
    return;
  // What has ended may be terminal, so without its record it is only noted.
  bool Awaited = Target ? Target->MayRunUnheard : !Recovery.recordsComplete();
  if (!Awaited) {
    Actions.push_back(ForgetTask{Task.Task, Worker, Term});
    return;
  }
  GangMember Member{{Worker, 0}, MemberState::Over, Task.End, Task.Kept};
  noteFound(Task.Task, Member, Duration::zero());
}

void DomainScheduler::reconcileMissing(const WorkerInventory &Inventory) {
  std::unordered_set<TaskId> Listed;
  for (const HeldTask &Task : Inventory.Tasks)
    Listed.insert(Task.Task);
  std::optional<WorkerSlot> Slot = Space.cells().slotOf(Inventory.Info.Id);
  if (!Slot)
    return;
  std::vector<TaskId> Missing;
  for (const TaskId &Task : Space.cells().cell(*Slot).Tasks) {
    if (!Listed.contains(Task))
      Missing.push_back(Task);
  }
  for (const TaskId &Task : Missing) {
    Job *Target = Jobs.find(Task.Job);
    if (!Target || !Target->active())
      continue;
    GangContext Context = context();
    Target->Gang->onMemberMissing(Context, Task.Member);
    settle(*Target);
  }
}

void DomainScheduler::noteFound(const TaskId &Task, GangMember Member,
                                Duration Ran) {
  FoundRun &Run = Found[Task.Job];
  if (Task.Run < Run.Run) {
    endUnlessOver(Member, Task);
    return;
  }
  if (Task.Run > Run.Run) {
    for (const auto &[Index, Old] : Run.Members)
      endUnlessOver(Old, TaskId{Task.Job, Run.Run, Index});
    Run = FoundRun{Task.Run, {}, Duration::zero()};
  }
  Run.Members.insert_or_assign(Task.Member, std::move(Member));
  Run.Ran = std::max(Run.Ran, Ran);
  if (Job *Target = Jobs.find(Task.Job))
    resolveFound(*Target);
}

void DomainScheduler::resolveFound(Job &Target) {
  auto Entry = Found.find(Target.Spec->Id);
  if (Entry == Found.end())
    return;
  FoundRun &Run = Entry->second;
  // A broken run may have been followed by one that was not heard of yet.
  bool Whole = Run.Members.size() == Target.Spec->Members &&
               std::none_of(Run.Members.begin(), Run.Members.end(),
                            [](const auto &Each) {
                              return Each.second.End &&
                                     Each.second.End != TaskEnd::Succeeded;
                            });
  if (!Whole && !Recovery.nothingUnheard(Now))
    return;
  std::vector<GangMember> Members(Target.Spec->Members);
  std::vector<MemberPlacement> Places;
  Places.reserve(Members.size());
  for (GangMember &Member : Members)
    Member.State = MemberState::Over;
  for (auto &[Index, Member] : Run.Members) {
    if (Index < Members.size())
      Members[Index] = std::move(Member);
  }
  for (const GangMember &Member : Members)
    Places.push_back(Member.Place);
  Target.MayRunUnheard = false;
  Target.Run = Run.Run;
  bool Guaranteed = Space.ledger().coversGang(*Target.Spec);
  Target.UnderGuarantee =
      Space.occupy(*Target.Spec, Target.Run, Places, Guaranteed);
  Target.Gang.emplace(
      GangMachine::adopted(Target.Spec, Target.Run, std::move(Members)));
  Target.Gang->adoptStart(Now - Run.Ran);
  Found.erase(Entry);
  ActiveJobs.insert(Target.Spec->Id);
  noteLoan(Target);
  for (std::uint32_t Index = 0; Index != Places.size(); ++Index) {
    if (Target.Gang->members()[Index].State == MemberState::Over)
      Space.releaseMember(TaskId{Target.Spec->Id, Target.Run, Index});
  }
  GangContext Context = context();
  Target.Gang->resume(Context);
  settle(Target);
}

void DomainScheduler::resolveAll() {
  if (!Recovery.nothingUnheard(Now))
    return;
  Recovering = false;
  std::vector<JobId> Waiting;
  for (const auto &[Id, Target] : Jobs.all()) {
    if (Target.MayRunUnheard)
      Waiting.push_back(Id);
  }
  std::sort(Waiting.begin(), Waiting.end());
  for (JobId Id : Waiting) {
    Job &Target = *Jobs.find(Id);
    if (Found.contains(Id)) {
      resolveFound(Target);
      continue;
    }
    Target.MayRunUnheard = false;
    admit(Target);
  }
  Drain.repeatOrders(Now);
  Dirty = true;
}

void DomainScheduler::endUnlessOver(const GangMember &Member,
                                    const TaskId &Task) {
  if (Member.State == MemberState::Over)
    return;
  bool Held = Member.State == MemberState::Held;
  endOrphan(Member.Place.Worker, Task,
            Held ? TaskPhase::Held : TaskPhase::Running);
}

void DomainScheduler::endOrphan(const WorkerId &Worker, const TaskId &Task,
                                TaskPhase Phase) {
  if (Phase == TaskPhase::Held)
    Actions.push_back(ReleaseTask{Task, Worker, Term});
  else
    Actions.push_back(StopTask{Task, Worker, Term});
}

} // namespace banyanworks
