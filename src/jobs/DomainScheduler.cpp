/// \file
/// Implements the scheduler's events and the life of a job.
#include "jobs/DomainScheduler.h"

#include "base/Check.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

DomainScheduler::DomainScheduler(SchedulerSettings Settings, DomainId Id)
    : Settings(std::move(Settings)), Id(std::move(Id)),
      Order(Registry<OrderPolicy>::instance().make(this->Settings.OrderPolicy)),
      Space(this->Settings, this->Id) {
  BANYANWORKS_CHECK(Order, "an unknown policy passed the checks of settings");
}

std::vector<JobAction> DomainScheduler::handle(TimePoint At,
                                               const JobEvent &Event) {
  Now = At;
  Actions.clear();
  std::visit([this](const auto &Alternative) { on(Alternative); }, Event);
  if (Owner) {
    if (housekeepingDeadline() <= Now)
      housekeep();
    runTimers();
    passIfDue();
  }
  return std::exchange(Actions, {});
}

TimePoint DomainScheduler::nextDeadline() const {
  if (!Owner)
    return TimePoint::max();
  TimePoint Next = Timers.next();
  Next = std::min(Next, housekeepingDeadline());
  if (Dirty && Now < startUntil())
    Next = std::min(Next, LastPass + Settings.PassInterval);
  return Next;
}

GangContext DomainScheduler::context() {
  return GangContext{Now, Term, Settings, startUntil(), Actions};
}

TimePoint DomainScheduler::startUntil() const {
  return Drain.in() ? PermittedUntil : TimePoint::min();
}

void DomainScheduler::on(const JobSubmitted &Event) {
  if (!Owner)
    return;
  Job *Target = Jobs.add(Event.Spec, Now);
  if (!Target)
    return;
  // While the records are not complete, a job may run already that was
  // submitted again.
  Target->MayRunUnheard =
      !Recovery.recordsComplete() && !Recovery.nothingUnheard(Now);
  admit(*Target);
}

void DomainScheduler::on(const JobCancelled &Event) {
  Job *Target = Owner ? Jobs.find(Event.Job) : nullptr;
  if (!Target || Target->terminal())
    return;
  if (Target->active()) {
    GangContext Context = context();
    Target->Gang->stop(Context, GangEnd::Cancelled, Reason::CallerGone);
    return settle(*Target);
  }
  // What unheard workers may still run is ended as an orphan.
  auto Run = Found.find(Event.Job);
  if (Run != Found.end()) {
    for (const auto &[Index, Member] : Run->second.Members)
      endUnlessOver(Member, TaskId{Event.Job, Run->second.Run, Index});
    Found.erase(Run);
  }
  end(*Target, JobPhase::Cancelled, Reason::CallerGone);
}

void DomainScheduler::on(const HoldAnswered &Event) {
  Job *Target = Owner ? Jobs.find(Event.Task.Job) : nullptr;
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run)
    return;
  if (Event.Result == OrderResult::RefusedStaleEpoch)
    return giveUp();
  GangContext Context = context();
  Target->Gang->onHold(Context, Event);
  settle(*Target);
}

void DomainScheduler::on(const StartAnswered &Event) {
  Job *Target = Owner ? Jobs.find(Event.Task.Job) : nullptr;
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run)
    return;
  if (Event.Result == OrderResult::RefusedStaleEpoch)
    return giveUp();
  GangContext Context = context();
  Target->Gang->onStart(Context, Event);
  settle(*Target);
}

void DomainScheduler::on(const TaskEnded &Event) {
  if (!Owner)
    return;
  Job *Target = Jobs.find(Event.Task.Job);
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run)
    return reconcileEnded(
        Event.Worker, EndedTask{Event.Task, Event.End, Event.Kept, nullptr});
  GangContext Context = context();
  Target->Gang->onEnded(Context, Event);
  if (Target->Gang->members()[Event.Task.Member].State == MemberState::Over)
    Space.releaseMember(Event.Task);
  Dirty = true;
  settle(*Target);
}

void DomainScheduler::on(const UsageReported &Event) {
  Job *Target = Owner ? Jobs.find(Event.Task.Job) : nullptr;
  if (!Target || !Target->active() || Target->Gang->run() != Event.Task.Run ||
      Target->Gang->stage() != GangStage::Running)
    return;
  const Resources &Declared = Target->Spec->PerMember;
  switch (Usage.note(Event.Task, Declared, Event.Used)) {
  case OveruseOrder::None:
    return;
  case OveruseOrder::Throttle:
    Actions.push_back(ThrottleTask{Event.Task, Event.Worker, Term, Declared});
    return;
  case OveruseOrder::Checkpoint:
    GangContext Context = context();
    Target->Gang->checkpoint(Context, Settings.CheckpointGrace,
                             Reason::ExceedsDeclaration);
    settle(*Target);
  }
}

void DomainScheduler::on(const ConfigurationChanged &Event) {
  if (Config && Event.Config->Version < Config->Version)
    return;
  Config = Event.Config;
  auto Found = Config->Domains.find(Id);
  FailureDomain Absent{Id, "", false};
  Drain.configure(Found == Config->Domains.end() ? Absent : Found->second, Now);
  TotalWeight = 0;
  for (const auto &[Name, Each] : Config->Workspaces)
    TotalWeight += Each.ShareWeight;
  Space.configure(*Config);
  Dirty = true;
  if (!Owner)
    return;
  applyDrain();
  refuseImpossible();
}

void DomainScheduler::on(const PermissionRenewed &Event) {
  if (Now >= PermittedUntil)
    Dirty = true;
  PermittedUntil = std::max(PermittedUntil, Event.StartUntil);
}

void DomainScheduler::on(const OutcomeRecorded &Event) {
  Job *Target = Owner ? Jobs.find(Event.Job) : nullptr;
  if (!Target || !Target->terminal() || !Target->Gang)
    return;
  forgetRun(Event.Job, *Target->Gang);
  Target->Gang.reset();
}

void DomainScheduler::forgetRun(JobId Job, const GangMachine &Gang) {
  for (std::uint32_t Member = 0; Member != Gang.members().size(); ++Member) {
    if (!Gang.members()[Member].End)
      continue;
    Actions.push_back(ForgetTask{TaskId{Job, Gang.run(), Member},
                                 Gang.members()[Member].Place.Worker, Term});
  }
}

void DomainScheduler::on(const Tick & /*Event*/) {
  // Whatever is due is done after each event.
}

} // namespace banyanworks
