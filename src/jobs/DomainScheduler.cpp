/// \file
/// Implements the event handlers of the scheduler.
#include "jobs/DomainScheduler.h"

#include "base/Check.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

DomainScheduler::DomainScheduler(SchedulerSettings Settings, DomainId Id)
    : Settings(std::move(Settings)), Id(std::move(Id)),
      QueueOrder(
          Registry<OrderPolicy>::instance().make(this->Settings.OrderPolicy)),
      Capacity(this->Settings, this->Id) {
  BANYANWORKS_CHECK(QueueOrder,
                    "settings validation accepted an unknown order policy");
}

std::vector<JobAction> DomainScheduler::handle(TimePoint At,
                                               const JobEvent &Event) {
  Now = At;
  Actions.clear();
  std::visit([this](const auto &Alternative) { onEvent(Alternative); }, Event);
  if (Owner) {
    if (housekeepingDeadline() <= Now)
      runHousekeeping();
    runTimers();
    runPassIfDue();
  }
  return std::exchange(Actions, {});
}

TimePoint DomainScheduler::nextDeadline() const {
  if (!Owner)
    return TimePoint::max();
  TimePoint Next = Timers.next();
  Next = std::min(Next, housekeepingDeadline());
  if (PassNeeded && Now < startPermittedUntil())
    Next = std::min(Next, LastPass + Settings.PassInterval);
  return Next;
}

GangContext DomainScheduler::context() {
  return GangContext{Now, Term, Settings, startPermittedUntil(), Actions};
}

TimePoint DomainScheduler::startPermittedUntil() const {
  return Drain.inService() ? StartPermissionEnd : TimePoint::min();
}

void DomainScheduler::onEvent(const JobSubmitted &Event) {
  if (!Owner)
    return;
  Job *Target = Jobs.add(Event.Spec, Now);
  if (!Target)
    return;
  // While job records are incomplete, a resubmitted job may already run on a
  // worker that has not reported.
  Target->MayRunUnreported =
      !Recovery.recordsComplete() && !Recovery.noUnreportedRuns(Now);
  admit(*Target);
}

void DomainScheduler::onEvent(const JobCancelled &Event) {
  Job *Target = Owner ? Jobs.find(Event.Job) : nullptr;
  if (!Target || Target->terminal())
    return;
  if (Target->active()) {
    GangContext Context = context();
    Target->Gang->stop(Context, GangEnd::Cancelled, Reason::CallerGone);
    return applyGangStage(*Target);
  }
  // Tasks on workers that have not reported are ended as orphans when they
  // report.
  auto Run = ReportedRuns.find(Event.Job);
  if (Run != ReportedRuns.end()) {
    for (const auto &[Index, Member] : Run->second.Members)
      endOrphanMember(Member, TaskId{Event.Job, Run->second.Run, Index});
    ReportedRuns.erase(Run);
  }
  endJob(*Target, JobPhase::Cancelled, Reason::CallerGone);
}

void DomainScheduler::onEvent(const HoldAnswered &Event) {
  Job *Target = Owner ? Jobs.find(Event.Task.Job) : nullptr;
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run)
    return;
  if (Event.Result == OrderResult::RefusedStaleEpoch)
    return stepDown();
  GangContext Context = context();
  Target->Gang->onHoldAnswered(Context, Event);
  applyGangStage(*Target);
}

void DomainScheduler::onEvent(const StartAnswered &Event) {
  Job *Target = Owner ? Jobs.find(Event.Task.Job) : nullptr;
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run)
    return;
  if (Event.Result == OrderResult::RefusedStaleEpoch)
    return stepDown();
  GangContext Context = context();
  Target->Gang->onStartAnswered(Context, Event);
  applyGangStage(*Target);
}

void DomainScheduler::onEvent(const TaskEnded &Event) {
  if (!Owner)
    return;
  Job *Target = Jobs.find(Event.Task.Job);
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run) {
    return reconcileEndedTask(
        Event.Worker,
        EndedTask{Event.Task, Event.End, Event.SavedRunTime, nullptr});
  }
  GangContext Context = context();
  Target->Gang->onTaskEnded(Context, Event);
  if (Target->Gang->members()[Event.Task.Member].State == MemberState::Ended)
    Capacity.releaseMember(Event.Task);
  PassNeeded = true;
  applyGangStage(*Target);
}

void DomainScheduler::onEvent(const UsageReported &Event) {
  Job *Target = Owner ? Jobs.find(Event.Task.Job) : nullptr;
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run ||
      Target->Gang->stage() != GangStage::Running)
    return;
  const Resources &Declared = Target->Spec->PerMember;
  switch (OveruseMonitor.recordUsage(Event.Task, Declared, Event.Used)) {
  case OveruseAction::None:
    return;
  case OveruseAction::Throttle:
    Actions.push_back(ThrottleTask{Event.Task, Event.Worker, Term, Declared});
    return;
  case OveruseAction::Checkpoint:
    GangContext Context = context();
    Target->Gang->checkpoint(Context, Settings.CheckpointGrace,
                             Reason::ExceedsDeclaration);
    applyGangStage(*Target);
  }
}

void DomainScheduler::onEvent(const ConfigurationChanged &Event) {
  if (Config && Event.Config->Version < Config->Version)
    return;
  Config = Event.Config;
  auto Found = Config->Domains.find(Id);
  FailureDomain Absent{Id, "", false};
  Drain.configure(Found == Config->Domains.end() ? Absent : Found->second, Now);
  TotalWeight = 0;
  for (const auto &[Name, Each] : Config->Workspaces)
    TotalWeight += Each.ShareWeight;
  Capacity.configure(*Config);
  PassNeeded = true;
  if (!Owner)
    return;
  applyDrain();
  refuseUnschedulable();
}

void DomainScheduler::onEvent(const PermissionRenewed &Event) {
  if (Now >= StartPermissionEnd)
    PassNeeded = true;
  StartPermissionEnd = std::max(StartPermissionEnd, Event.StartPermittedUntil);
}

void DomainScheduler::onEvent(const OutcomeRecorded &Event) {
  Job *Target = Owner ? Jobs.find(Event.Job) : nullptr;
  if (!Target || !Target->terminal() || !Target->Gang)
    return;
  forgetTaskEnds(Event.Job, *Target->Gang);
  Target->Gang.reset();
}

void DomainScheduler::forgetTaskEnds(JobId Job, const GangStateMachine &Gang) {
  for (std::uint32_t Member = 0; Member != Gang.members().size(); ++Member) {
    if (!Gang.members()[Member].End)
      continue;
    Actions.push_back(ForgetTask{TaskId{Job, Gang.run(), Member},
                                 Gang.members()[Member].Placement.Worker,
                                 Term});
  }
}

void DomainScheduler::onEvent(const Tick & /*Event*/) {
  // Due work is done in handle() after each event.
}

} // namespace banyanworks
