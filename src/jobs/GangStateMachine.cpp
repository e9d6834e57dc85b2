/// \file
/// Implements the state machine of one run of a gang.
#include "jobs/GangStateMachine.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

GangStateMachine::GangStateMachine(
    std::shared_ptr<const JobSpec> Spec, std::uint64_t Run,
    const std::vector<MemberPlacement> &Placements)
    : Spec(std::move(Spec)), Run(Run), Pending(Placements.size()),
      Remaining(Placements.size()) {
  Members.reserve(Placements.size());
  for (const MemberPlacement &Placement : Placements)
    Members.push_back(GangMember{Placement, MemberState::Holding, {}, {}});
}

GangStateMachine GangStateMachine::adopt(std::shared_ptr<const JobSpec> Spec,
                                         std::uint64_t Run,
                                         std::vector<GangMember> Reported) {
  GangStateMachine Result(std::move(Spec), Run, {});
  Result.Members = std::move(Reported);
  for (const GangMember &Member : Result.Members) {
    if (Member.State != MemberState::Ended)
      ++Result.Remaining;
    if (Member.State == MemberState::Running || Member.End)
      Result.StartOrdered = true;
  }
  return Result;
}

TaskId GangStateMachine::task(std::uint32_t Member) const {
  return TaskId{Spec->Id, Run, Member};
}

bool GangStateMachine::isCurrent(const TaskId &Task,
                                 const WorkerId &Worker) const {
  return Task.Run == Run && Task.Member < Members.size() &&
         Members[Task.Member].Placement.Worker == Worker;
}

Duration GangStateMachine::holdLease(const GangContext &Context) const {
  // Caps the hold lease at the start permission: a delayed start order then
  // finds an expired hold, so no task starts later than one answer timeout
  // after the permission expired.
  return std::min(Context.Settings.HoldLease,
                  Context.StartPermittedUntil - Context.Now);
}

void GangStateMachine::begin(GangContext &Context) {
  if (!Context.mayStart())
    return releaseHolds(Context, Reason::PermissionExpired, WorkerId());
  Duration Lease = holdLease(Context);
  Deadline = Context.Now + Context.Settings.AnswerTimeout;
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    const MemberPlacement &Placement = Members[Index].Placement;
    Context.Actions.push_back(HoldTask{task(Index), Placement.Worker,
                                       Context.Term, Spec->PerMember,
                                       Placement.Accelerators, Spec, Lease});
  }
}

void GangStateMachine::resume(GangContext &Context) {
  bool Broken =
      std::any_of(Members.begin(), Members.end(), [](const GangMember &Member) {
        return Member.State == MemberState::Ended &&
               Member.End != TaskEnd::Succeeded;
      });
  if (Broken)
    return failGang(Context, GangEnd::Lost, Reason::WorkerLost, WorkerId());
  bool AnyHeld =
      std::any_of(Members.begin(), Members.end(), [](const GangMember &Member) {
        return Member.State == MemberState::Held;
      });
  if (AnyHeld)
    return startAll(Context);
  Stage = GangStage::Running;
  endIfAllEnded();
}

void GangStateMachine::onHoldAnswered(GangContext &Context,
                                      const HoldAnswered &Answer) {
  if (Stage != GangStage::Holding || !isCurrent(Answer.Task, Answer.Worker))
    return;
  GangMember &Member = Members[Answer.Task.Member];
  if (Member.State != MemberState::Holding)
    return;
  if (Answer.Result != OrderResult::Done)
    return releaseHolds(Context, Reason::HoldRefused, Answer.Worker);
  Member.State = MemberState::Held;
  if (--Pending == 0)
    startAll(Context);
}

void GangStateMachine::startAll(GangContext &Context) {
  if (!Context.mayStart()) {
    if (StartOrdered)
      return failGang(Context, GangEnd::Lost, Reason::PermissionExpired, {});
    return releaseHolds(Context, Reason::PermissionExpired, WorkerId());
  }
  Stage = GangStage::Starting;
  StartOrdered = true;
  Pending = 0;
  for (GangMember &Member : Members) {
    if (Member.State != MemberState::Held)
      continue;
    Member.State = MemberState::Starting;
    ++Pending;
  }
  StageDeadline = Context.Now + Context.Settings.HoldLease;
  sendStarts(Context);
}

void GangStateMachine::sendStarts(GangContext &Context) {
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    const GangMember &Member = Members[Index];
    if (Member.State != MemberState::Starting)
      continue;
    Context.Actions.push_back(
        StartTask{task(Index), Member.Placement.Worker, Context.Term});
  }
  Deadline =
      std::min(StageDeadline, Context.Now + Context.Settings.RepeatInterval);
}

void GangStateMachine::onStartAnswered(GangContext &Context,
                                       const StartAnswered &Answer) {
  if (Stage != GangStage::Starting || !isCurrent(Answer.Task, Answer.Worker))
    return;
  GangMember &Member = Members[Answer.Task.Member];
  if (Member.State != MemberState::Starting)
    return;
  // An unknown result is resolved by repeating the order at the deadline.
  if (Answer.Result == OrderResult::Unknown)
    return;
  if (Answer.Result != OrderResult::Done)
    return failGang(Context, GangEnd::Lost, Reason::HoldRefused, Answer.Worker);
  Member.State = MemberState::Running;
  onMemberStarted(Context);
}

void GangStateMachine::onMemberStarted(GangContext &Context) {
  if (Stage != GangStage::Starting || --Pending != 0)
    return;
  StartedAt = Context.Now;
  setStage(GangStage::Running);
}

void GangStateMachine::onTaskEnded(GangContext &Context,
                                   const TaskEnded &Ended) {
  if (Stage == GangStage::Ended || !isCurrent(Ended.Task, Ended.Worker))
    return;
  GangMember &Member = Members[Ended.Task.Member];
  if (Member.State == MemberState::Ended)
    return;
  bool WasStarting = Member.State == MemberState::Starting;
  Member.State = MemberState::Ended;
  Member.End = Ended.End;
  Member.SavedRunTime = Ended.SavedRunTime;
  --Remaining;
  if (Ended.End == TaskEnd::Succeeded) {
    if (WasStarting)
      onMemberStarted(Context);
    return endIfAllEnded();
  }
  if (Stage == GangStage::Holding)
    return releaseHolds(Context, Reason::HoldRefused, Ended.Worker);
  if (Stage == GangStage::Starting || Stage == GangStage::Running) {
    bool Failed = Ended.End == TaskEnd::Failed;
    return failGang(Context, Failed ? GangEnd::Failed : GangEnd::Lost,
                    Reason::WorkerLost, Ended.Worker);
  }
  endIfAllEnded();
}

void GangStateMachine::onWorkerLost(GangContext &Context,
                                    const WorkerId &Worker) {
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    if (Members[Index].Placement.Worker == Worker)
      onMemberLost(Context, Index);
  }
}

void GangStateMachine::onMemberMissing(GangContext &Context,
                                       std::uint32_t Member) {
  // The inventory may predate the start, so the stop order goes to this member
  // too, and the gang ends only once the worker reports the end.
  if (Members[Member].State != MemberState::Running)
    return;
  if (Stage == GangStage::Running || Stage == GangStage::Starting)
    failGang(Context, GangEnd::Lost, Reason::WorkerLost,
             Members[Member].Placement.Worker);
}

void GangStateMachine::onMemberLost(GangContext &Context,
                                    std::uint32_t Member) {
  if (Stage == GangStage::Ended || Members[Member].State == MemberState::Ended)
    return;
  Members[Member].State = MemberState::Ended;
  --Remaining;
  const WorkerId &Worker = Members[Member].Placement.Worker;
  if (Stage == GangStage::Holding)
    return releaseHolds(Context, Reason::WorkerLost, Worker);
  if (Stage == GangStage::Starting || Stage == GangStage::Running)
    return failGang(Context, GangEnd::Lost, Reason::WorkerLost, Worker);
  endIfAllEnded();
}

void GangStateMachine::releaseHolds(GangContext &Context, Reason Cause,
                                    const WorkerId &Worker) {
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    GangMember &Member = Members[Index];
    if (Member.State == MemberState::Ended)
      continue;
    Context.Actions.push_back(
        ReleaseTask{task(Index), Member.Placement.Worker, Context.Term});
    Member.State = MemberState::Ended;
  }
  Remaining = 0;
  End = GangEnd::NotStarted;
  EndReason = Cause;
  FailedWorker = Worker;
  setStage(GangStage::Ended);
}

void GangStateMachine::failGang(GangContext &Context, GangEnd NewEnd,
                                Reason Cause, const WorkerId &Worker) {
  FailedWorker = Worker;
  stop(Context, NewEnd, Cause);
}

void GangStateMachine::checkpoint(GangContext &Context, Duration Grace,
                                  Reason Cause) {
  if (Stage == GangStage::Holding)
    return releaseHolds(Context, Cause, WorkerId());
  if (Stage == GangStage::Ended || Stage == GangStage::Stopping)
    return;
  if (!Spec->Checkpointable || Stage == GangStage::Starting)
    return stop(Context, GangEnd::Reclaimed, Cause);
  TimePoint GraceEnd = Context.Now + Grace;
  if (Stage == GangStage::Checkpointing) {
    StageDeadline = std::min(StageDeadline, GraceEnd);
    return;
  }
  Stage = GangStage::Checkpointing;
  End = GangEnd::Reclaimed;
  EndReason = Cause;
  StageDeadline = GraceEnd;
  sendCheckpoints(Context);
}

void GangStateMachine::sendCheckpoints(GangContext &Context) {
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    if (Members[Index].State == MemberState::Ended)
      continue;
    Context.Actions.push_back(CheckpointTask{
        task(Index), Members[Index].Placement.Worker, Context.Term});
  }
  Deadline =
      std::min(StageDeadline, Context.Now + Context.Settings.RepeatInterval);
}

void GangStateMachine::stop(GangContext &Context, GangEnd NewEnd,
                            Reason Cause) {
  if (Stage == GangStage::Ended)
    return;
  if (Stage == GangStage::Holding && !StartOrdered) {
    releaseHolds(Context, Cause, FailedWorker);
    End = NewEnd == GangEnd::Cancelled ? NewEnd : GangEnd::NotStarted;
    return;
  }
  if (Stage == GangStage::Stopping) {
    if (NewEnd == GangEnd::Cancelled)
      End = NewEnd;
    return;
  }
  Stage = GangStage::Stopping;
  End = NewEnd;
  EndReason = Cause;
  StageDeadline = TimePoint::max();
  sendStops(Context);
  endIfAllEnded();
}

void GangStateMachine::sendStops(GangContext &Context) {
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    if (Members[Index].State == MemberState::Ended)
      continue;
    Context.Actions.push_back(
        StopTask{task(Index), Members[Index].Placement.Worker, Context.Term});
  }
  Deadline = Context.Now + Context.Settings.RepeatInterval;
}

void GangStateMachine::onDeadline(GangContext &Context) {
  if (Context.Now < Deadline)
    return;
  switch (Stage) {
  case GangStage::Holding:
    return releaseHolds(Context, Reason::HoldRefused, WorkerId());
  case GangStage::Starting:
    if (Context.Now < StageDeadline && Context.mayStart())
      return sendStarts(Context);
    return failGang(Context, GangEnd::Lost, Reason::HoldRefused, WorkerId());
  case GangStage::Checkpointing:
    if (Context.Now < StageDeadline)
      return sendCheckpoints(Context);
    return stop(Context, End, EndReason);
  case GangStage::Stopping:
    return sendStops(Context);
  case GangStage::Running:
  case GangStage::Ended:
    Deadline = TimePoint::max();
    return;
  }
}

void GangStateMachine::setStage(GangStage Next) {
  Stage = Next;
  Deadline = TimePoint::max();
  StageDeadline = TimePoint::max();
  endIfAllEnded();
}

void GangStateMachine::endIfAllEnded() {
  if (Remaining != 0 || Stage == GangStage::Holding)
    return;
  Stage = GangStage::Ended;
  Deadline = TimePoint::max();
}

GangEnd GangStateMachine::end() const {
  bool AllSucceeded =
      std::all_of(Members.begin(), Members.end(), [](const GangMember &Member) {
        return Member.End == TaskEnd::Succeeded;
      });
  return AllSucceeded ? GangEnd::Succeeded : End;
}

Duration GangStateMachine::savedRunTime() const {
  Duration MinSaved = Duration::max();
  for (const GangMember &Member : Members) {
    if (Member.End == TaskEnd::Succeeded)
      continue;
    if (!Member.End)
      return Duration::zero();
    MinSaved = std::min(MinSaved, Member.SavedRunTime);
  }
  return MinSaved == Duration::max() ? Duration::zero() : MinSaved;
}

} // namespace banyanworks
