/// \file
/// Implements how a PoolScheduler handles the reports of workers and their
/// answers to orders.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Bounds on the time between two progress samples that are compared.
constexpr Duration MinSampleInterval = std::chrono::milliseconds(380);
constexpr Duration MaxSampleInterval = std::chrono::milliseconds(1500);
/// Progress, in percent, that a sample has to be expected to show for a fair
/// comparison.
constexpr double MinExpectedPercent = 2.5;

std::string_view endName(RunEnd Outcome) {
  switch (Outcome) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::LeaseLapsed:
    return "lease_lapsed";
  case RunEnd::GangBroken:
    return "gang_broken";
  case RunEnd::GangAlone:
    return "gang_alone";
  }
  return "unknown";
}

std::string_view resultName(OrderResult Result) {
  switch (Result) {
  case OrderResult::Done:
    return "done";
  case OrderResult::Fenced:
    return "fenced";
  case OrderResult::Superseded:
    return "superseded";
  case OrderResult::Expired:
    return "expired";
  case OrderResult::NoCapacity:
    return "no_room";
  case OrderResult::Unhealthy:
    return "unhealthy";
  case OrderResult::OtherIncarnation:
    return "other_life";
  case OrderResult::Malformed:
    return "malformed";
  case OrderResult::NoTicket:
    return "no_ticket";
  case OrderResult::NotSent:
    return "not_sent";
  case OrderResult::NoAnswer:
    return "no_answer";
  }
  return "unknown";
}

} // namespace

void PoolScheduler::workerReported(const WorkerId &Id,
                                   const WorkerReport &Report, TimePoint SentAt,
                                   TimePoint Now) {
  auto Found = Workers.find(Id);
  if (Found == Workers.end())
    return;
  WorkerState &Worker = Found->second;
  if (Report.Result == OrderResult::Fenced) {
    Fenced = true;
    return;
  }
  if (Report.Result == OrderResult::OtherIncarnation) {
    workerReplaced(Worker, Now);
    return;
  }
  bool Answered = Report.Result == OrderResult::Done;
  if (Worker.Unresponsive == Answered) {
    Log.write(LogLevel::Change, Answered ? "worker.heard" : "worker.silent",
              {{"worker", Id.str()},
               {"result", resultName(Report.Result)},
               {"fault", Report.Fault}});
  }
  HealthCheckDue = HealthCheckDue || Worker.Unresponsive == Answered;
  if (!Answered && !Worker.Unresponsive)
    workerSilent(Worker, /*BeforeOrder=*/false, Now);
  Worker.Unresponsive = !Answered;
  if (!Answered)
    return;
  settleAnswered(Id, Report.WorkerIncarnation, Now);
  bool Restarted = Worker.HasReported &&
                   Report.WorkerIncarnation != Worker.WorkerIncarnation;
  if (Restarted) {
    forgetSpeed(Worker);
    Worker.HighestEnd = 0;
    Worker.Acknowledged = 0;
    Worker.UnrecordedEnds.clear();
    WorkersWithUnrecordedEnds.erase(Id);
    Log.write(
        LogLevel::Change, "worker.restarted",
        {{"worker", Id.str()}, {"life", Report.WorkerIncarnation.value()}});
  }
  if (!std::exchange(Worker.HasReported, true))
    Reclaims.roomFreed();
  Worker.WorkerIncarnation = Report.WorkerIncarnation;
  HealthCheckDue = HealthCheckDue || !Worker.Life.isCurrent();
  Worker.Life.reported(Report.WorkerIncarnation, SentAt);
  Worker.ReportRequestedAt = std::max(Worker.ReportRequestedAt, SentAt);
  if (Report.EndsTruncated) {
    Log.write(LogLevel::Notice, "worker.ends_truncated",
              {{"worker", Id.str()},
               {"listed", Report.Ended.size()},
               {"runs_there", Worker.Runs.size()}});
  }
  for (const ReportedEnd &End : Report.Ended)
    processEnd(Worker, End, Report.MadeAt, Now);
  std::optional<double> WorstTail;
  for (const ReportedRun &Reported : Report.Running)
    WorstTail = std::max(
        WorstTail, updateRun(Worker, Reported, Report.MadeAt, SentAt, Now));
  removeUnreportedRuns(Worker, Report, SentAt, Now);
  stopLateStarts(Worker, Report.WorkerIncarnation);
  throttleBestEffort(Worker, WorstTail, Now);
}

void PoolScheduler::throttleBestEffort(WorkerState &Worker,
                                       std::optional<double> Worst,
                                       TimePoint Now) {
  std::uint32_t Before = Worker.Throttle.percent();
  if (Worst)
    Worker.Throttle.observe(*Worst, Now);
  else
    Worker.Throttle.reset();
  // A delayed older order may have let best-effort tasks continue, so the stop
  // order is repeated.
  if (Before == 0 && Worst && *Worst > 1.0) {
    for (auto &[Key, Run] : Worker.Runs) {
      if (Run.ConfirmedPacePercent != 0U)
        continue;
      Run.ConfirmedPacePercent.reset();
      Run.NextPaceAt = Now + Limits.PaceRepeatInterval;
    }
  }
  if (Worker.Throttle.percent() != Before) {
    Log.write(LogLevel::Routine, "worker.fill_pace",
              {{"worker", Worker.Info.Id.str()},
               {"percent", Worker.Throttle.percent()},
               {"tail_percent_of_target",
                static_cast<std::int64_t>(Worst.value_or(0.0) * 100)}});
  }
}

void PoolScheduler::processEnd(WorkerState &Worker, const ReportedEnd &End,
                               std::optional<WorkerTime> MadeAt,
                               TimePoint Now) {
  if (End.Sequence <= Worker.HighestEnd)
    return;
  Worker.HighestEnd = End.Sequence;
  GroupRef Ref = findGroup(End.Task);
  bool Current = Ref.Group && Ref.Group->Run == End.Run;
  Log.write(End.Outcome == RunEnd::Done ? LogLevel::Routine : LogLevel::Notice,
            "run.ended",
            {{"task", taskName(End.Task)},
             {"run", End.Run.value()},
             {"worker", Worker.Info.Id.str()},
             {"how", endName(End.Outcome)},
             {"sequence", End.Sequence},
             {"current", Current ? "yes" : "no"}});
  bool WasActive = Current && Ref.Group->State == GroupState::Active;
  if (WasActive && !End.Checkpoint.empty())
    Ref.Group->Checkpoint = End.Checkpoint;
  auto Run = Worker.Runs.find({End.Task, End.Run});
  if (Run != Worker.Runs.end()) {
    if (MadeAt && WasActive && End.Outcome == RunEnd::Done)
      measureRate(Worker, Run->first, Ref.Owner->Spec.Steps[End.Task.Step],
                  Run->second, 100, *MadeAt, Now);
    removeRun(Worker, Run);
  }
  if (WasActive) {
    bool LongRunning = Ref.Owner->Spec.Steps[End.Task.Step].LongRunning;
    if (End.Outcome == RunEnd::Done && !LongRunning) {
      // removeRun() may just have put the group back into the queue.
      if (Ref.Group->State == GroupState::Waiting)
        --Ref.Owner->WaitingGroups;
      Ref.Group->State = GroupState::Done;
      markChanged(*Ref.Owner, *Ref.Group);
      Failures.recordSuccess(Worker.Info.Id, End.Task);
      Worker.FailedJobs = Failures.failedJobs(Worker.Info.Id);
      Worker.LastTaskFailed = false;
      if (Ref.Owner->Progress.allDone())
        finishJob(*Ref.Owner, JobStatus::Completed);
    } else {
      markChanged(*Ref.Owner, *Ref.Group);
      if (End.Outcome == RunEnd::Failed)
        taskFailed(Worker, End.Task, Ref, Now);
      if (Ref.Group->LiveRuns > 0)
        abort(*Ref.Owner, *Ref.Group, endName(End.Outcome));
    }
  }
  Worker.UnrecordedEnds.push_back(
      {End.Sequence, End.Task.Job,
       Ref.Group ? Ref.Owner->Progress.partOf(*Ref.Group) : 0,
       Ref.Owner ? Ref.Owner->Version : 0, Now});
  WorkersWithUnrecordedEnds.insert(Worker.Info.Id);
}

void PoolScheduler::taskFailed(WorkerState &Worker, const TaskKey &Task,
                               GroupRef Ref, TimePoint Now) {
  Job &Owner = *Ref.Owner;
  TaskGroup &Group = *Ref.Group;
  auto Groups = Owner.Progress.groupsOf(Task.Occurrence, Task.Step);
  bool StepCompletedTask =
      std::any_of(Groups.begin(), Groups.end(), [](const TaskGroup &Other) {
        return Other.State == GroupState::Done;
      });
  Failures.recordFailure(Worker.Info.Id, Task, StepCompletedTask, Now);
  Worker.FailedJobs = Failures.failedJobs(Worker.Info.Id);
  Worker.LastTaskFailed = true;
  HealthCheckDue = true;
  if (Group.LastFailed == Group.Run)
    return;
  Group.LastFailed = Group.Run;
  ++Group.Failures;
  if (Owner.Spec.Steps[Group.Step].LongRunning)
    return;
  if (Group.Failures < Owner.Terms->MaxAttempts)
    return;
  Owner.Progress.markFailed();
  finishJob(Owner, JobStatus::Failed);
}

std::optional<double> PoolScheduler::updateRun(WorkerState &Worker,
                                               const ReportedRun &Reported,
                                               std::optional<WorkerTime> MadeAt,
                                               TimePoint SentAt,
                                               TimePoint Now) {
  RunKey Key(Reported.Task, Reported.Run);
  GroupRef Ref = findGroup(Reported.Task);
  auto Found = Worker.Runs.find(Key);
  if (Found == Worker.Runs.end()) {
    // A start order that was given up has been executed.
    Found = addStray(Worker, Key);
    Log.write(LogLevel::Notice, "run.stray",
              {{"task", taskName(Reported.Task)},
               {"run", Reported.Run.value()},
               {"worker", Worker.Info.Id.str()}});
  }
  PlacedRun &Run = Found->second;
  Run.LossRecorded = false;
  Run.Evidence.assumeStarted();
  if (Run.outlastsStop(Worker.WorkerIncarnation, SentAt, Limits.StopTime)) {
    Log.write(LogLevel::Notice, "run.outlasts_stop",
              {{"task", taskName(Reported.Task)},
               {"run", Reported.Run.value()},
               {"worker", Worker.Info.Id.str()}});
    Run.repeatStop(Worker.WorkerIncarnation);
  }
  if (Run.Phase != RunPhase::Confirmed) {
    Run.Phase = RunPhase::Confirmed;
    Run.ConfirmedAt = SentAt;
  }
  if (Worker.SuspectRun == Key &&
      Now - Run.ConfirmedAt >= CrashRecord::StartWindow)
    Worker.SuspectRun.reset();
  const StepSpec *Step =
      Ref.Group ? &Ref.Owner->Spec.Steps[Reported.Task.Step] : nullptr;
  // The speed of a best-effort task depends on the idle processor time and its
  // pace, so it tells nothing about the worker.
  if (MadeAt && (!Step || !Step->FillsIdle))
    sampleSpeed(Worker, Run, Reported.Percent, *MadeAt, Now);
  // The work of a run that reports 100 ended at an unknown time before.
  if (MadeAt && Step && Reported.Percent < 100)
    measureRate(Worker, Key, *Step, Run, Reported.Percent, *MadeAt, Now);
  Run.ProgressPercent = Reported.Percent;
  Run.ReportedAt = Now;
  if (!Run.FirstPercent) {
    Run.FirstPercent = Reported.Percent;
    Run.FirstReportedAt = Now;
  }
  if (Ref.Group && Ref.Group->Run == Reported.Run) {
    if (!Reported.Checkpoint.empty())
      Ref.Group->Checkpoint = Reported.Checkpoint;
    if (Ref.Group->Crashes.runReported(Now - Run.ConfirmedAt)) {
      Log.write(LogLevel::Notice, "task.cleared",
                {{"task", taskName(Reported.Task)},
                 {"run", Reported.Run.value()},
                 {"reason", "outlived_its_start"}});
    }
  }
  if (!Step || !Step->servesUsers())
    return std::nullopt;
  return Reported.TailMs / 1000.0 / toSeconds(Step->TailTarget);
}

RunTable::iterator PoolScheduler::addStray(WorkerState &Worker,
                                           const RunKey &Key) {
  GroupRef Ref = findGroup(Key.first);
  PlacedRun Stray;
  if (Ref.Group)
    Stray = runOfStep(*Ref.Owner, Ref.Owner->Spec.Steps[Key.first.Step]);
  else
    Stray.Allocated = Worker.Info.Capacity;
  Stray.Phase = RunPhase::Ordered;
  Stray.Evidence.assumeStarted();
  Stray.StopRequested = true;
  StopsDue = true;
  WorkersWithPendingOrders.insert(Worker.Info.Id);
  if (Ref.Group) {
    ++Ref.Group->LiveRuns;
    ++Ref.Owner->LiveRuns;
  }
  return addRun(Worker, Key, Stray);
}

void PoolScheduler::stopLateStarts(WorkerState &Worker, Incarnation Life) {
  for (const RunKey &Key : InTransit.takeUnknownTo(Worker.Info.Id, Life)) {
    if (Worker.Runs.contains(Key))
      continue;
    addStray(Worker, Key)->second.Life = Life;
    Log.write(LogLevel::Notice, "run.late_order",
              {{"task", taskName(Key.first)},
               {"run", Key.second.value()},
               {"worker", Worker.Info.Id.str()},
               {"life", Life.value()}});
  }
}

void PoolScheduler::sampleSpeed(WorkerState &Worker, PlacedRun &Run,
                                std::uint32_t Percent, WorkerTime MadeAt,
                                TimePoint Now) {
  if (Run.StopRequested || Percent >= 100)
    return;
  Duration Span = MadeAt - Run.SampledAt.value_or(MadeAt);
  if (Run.SampledAt && Span < MinSampleInterval)
    return;
  bool Comparable = Run.SampledAt && Span < MaxSampleInterval &&
                    Percent >= Run.SampledPercent;
  if (Comparable) {
    double Speed = (Percent - Run.SampledPercent) / toSeconds(Span);
    // Progress is reported in whole percents: a task that advances by less than
    // a few percent per sample shows no speed to compare with.
    if (Run.BestSpeed * toSeconds(Span) >= MinExpectedPercent)
      Worker.Slowdown.sample(Speed / Run.BestSpeed, Now);
    // Speeds measured on a slow worker are no reference.
    if (!Worker.Slowdown.isSlow(Now))
      Run.BestSpeed = std::max(Run.BestSpeed, Speed);
  }
  Run.SampledAt = MadeAt;
  Run.SampledPercent = Percent;
}

void PoolScheduler::removeUnreportedRuns(WorkerState &Worker,
                                         const WorkerReport &Report,
                                         TimePoint SentAt, TimePoint Now) {
  std::set<RunKey> Running;
  for (const ReportedRun &Reported : Report.Running)
    Running.emplace(Reported.Task, Reported.Run);
  std::vector<RunKey> Unreported;
  std::vector<RunKey> OfEarlierLife;
  std::vector<RunKey> OrderedOfEarlierLife;
  for (const auto &[Key, Run] : Worker.Runs) {
    bool WasPresent =
        Run.Phase == RunPhase::Inherited ||
        (Run.Phase == RunPhase::Confirmed && Run.ConfirmedAt < SentAt);
    bool HasStopped = Run.StopConfirmedAt && *Run.StopConfirmedAt < SentAt;
    bool Restarted = Run.isOfEarlierLife(Report.WorkerIncarnation);
    if (Running.contains(Key))
      continue;
    // What an earlier incarnation has confirmed, the start or the stop, does
    // not bind this one.
    if (Restarted && InTransit.contains(Worker.Info.Id, Key) &&
        !Run.Evidence.isOpen(Now)) {
      OrderedOfEarlierLife.push_back(Key);
      continue;
    }
    if (!WasPresent && !HasStopped)
      continue;
    // The end of the run may be among those that the report leaves out.
    if (!Restarted && Report.EndsTruncated)
      continue;
    (Restarted ? OfEarlierLife : Unreported).push_back(Key);
  }
  removeLostRuns(Worker, Unreported, LossCause::NotReported, Now);
  removeLostRuns(Worker, OfEarlierLife, LossCause::Restarted, Now);
  // A copy of the order may still be carried out by the new incarnation, so the
  // run is stopped as if it had started.
  recordLosses(Worker, OrderedOfEarlierLife, LossCause::Restarted, Now);
  for (const RunKey &Key : OrderedOfEarlierLife) {
    PlacedRun &Run = Worker.Runs.at(Key);
    Run.awaitStopOn(Report.WorkerIncarnation);
    StopsDue = true;
    GroupRef Ref = findGroup(Key.first);
    if (Ref.Group && Ref.Group->Run == Key.second)
      abort(*Ref.Owner, *Ref.Group, causeName(LossCause::Restarted));
  }
}

void PoolScheduler::removeLostRuns(WorkerState &Worker,
                                   const std::vector<RunKey> &Lost,
                                   LossCause Cause, TimePoint Now) {
  recordLosses(Worker, Lost, Cause, Now);
  std::size_t Present = Worker.Runs.size();
  for (const RunKey &Key : Lost) {
    auto Found = Worker.Runs.find(Key);
    if (Found == Worker.Runs.end())
      continue;
    const PlacedRun &Run = Found->second;
    // How long the run is known to have lasted; -1 if no report has listed it.
    std::int64_t SeenMs =
        Run.FirstPercent
            ? std::chrono::duration_cast<std::chrono::milliseconds>(
                  Run.ReportedAt - Run.ConfirmedAt)
                  .count()
            : -1;
    Log.write(LogLevel::Notice, "run.gone",
              {{"task", taskName(Key.first)},
               {"run", Key.second.value()},
               {"worker", Worker.Info.Id.str()},
               {"reason", causeName(Cause)},
               {"stopping", Run.StopRequested ? "yes" : "no"},
               {"seen_ms", SeenMs},
               {"runs_there", Present}});
    reportSpan(PoolSpan::Lost, Now - Run.OrderedAt);
    GroupRef Ref = findGroup(Key.first);
    removeRun(Worker, Found);
    if (Ref.Group && Ref.Group->Run == Key.second &&
        Ref.Group->State == GroupState::Active)
      abort(*Ref.Owner, *Ref.Group, "member_lost");
  }
}

void PoolScheduler::loseAllRuns(WorkerState &Worker, LossCause Cause,
                                TimePoint Now) {
  workerUnreachable(Worker, /*BeforeOrder=*/false, Now);
  HealthCheckDue = true;
  std::vector<RunKey> Lost;
  for (const auto &[Key, Run] : Worker.Runs) {
    // The answer to a start order tells whether the run was lost.
    if (Run.Phase != RunPhase::Planned && !Run.Evidence.isOpen(Now))
      Lost.push_back(Key);
  }
  removeLostRuns(Worker, Lost, Cause, Now);
}

void PoolScheduler::workerReplaced(WorkerState &Worker, TimePoint Now) {
  // The incarnation that this entry names has ended, and its runs with it.
  InTransit.forget(Worker.Info.Id);
  loseAllRuns(Worker, LossCause::Replaced, Now);
  forgetSpeed(Worker);
}

void PoolScheduler::leasesExpired(const WorkerId &Id, TimePoint Now) {
  auto Found = Workers.find(Id);
  if (Found != Workers.end())
    loseAllRuns(Found->second, LossCause::LeaseOver, Now);
}

PlacedRun *PoolScheduler::runOfOrder(const WorkerId &Worker,
                                     const TaskKey &Task, RunNumber Number,
                                     OrderResult Result) {
  if (Result == OrderResult::Fenced)
    Fenced = true;
  auto State = Workers.find(Worker);
  if (State == Workers.end())
    return nullptr;
  auto Run = State->second.Runs.find({Task, Number});
  return Run == State->second.Runs.end() ? nullptr : &Run->second;
}

void PoolScheduler::startAnswered(const StartOrder &Order, OrderResult Result,
                                  TimePoint Now) {
  InTransit.answered(Order.Worker, {Order.Task, Order.Run}, Result, Now);
  PlacedRun *Found = runOfOrder(Order.Worker, Order.Task, Order.Run, Result);
  if (!Found)
    return;
  PlacedRun &Run = *Found;
  Run.OrderInFlight = false;
  Run.NextOrderAt = Now + Limits.OrderRetry;
  Run.Evidence.answered(Result);
  Log.write(Result == OrderResult::Done ? LogLevel::Routine : LogLevel::Notice,
            "run.start",
            {{"task", taskName(Order.Task)},
             {"run", Order.Run.value()},
             {"worker", Order.Worker.str()},
             {"result", resultName(Result)}});
  switch (Result) {
  case OrderResult::Done:
  case OrderResult::Superseded:
    // A superseded run was on the worker; the next report tells how it ended.
    if (Run.Phase == RunPhase::Ordered) {
      Run.Phase = RunPhase::Confirmed;
      Run.ConfirmedAt = Now;
      reportSpan(PoolSpan::Started, Now - Run.OrderedAt);
    }
    return;
  case OrderResult::NoAnswer:
    Run.UnansweredAt = Now;
    return;
  case OrderResult::Fenced:
    return;
  case OrderResult::Expired:
    Run.NextOrderAt = Now;
    return;
  case OrderResult::NoCapacity:
  case OrderResult::Unhealthy:
  case OrderResult::OtherIncarnation:
  case OrderResult::Malformed:
  case OrderResult::NotSent:
    Workers.at(Order.Worker).RefusedUntil = Now + Limits.RefusalPause;
    break;
  case OrderResult::NoTicket:
    Advice.dropTicket({Order.Task.Job, Order.Task.Occurrence, Order.Task.Step},
                      Order.Worker);
    break;
  }
  // Unless all copies of the order are known to have done nothing, one may
  // still be in transit, so the run is stopped as if it had started.
  GroupRef Ref = findGroup(Order.Task);
  if (Ref.Group && Ref.Group->Run == Order.Run)
    abort(*Ref.Owner, *Ref.Group, resultName(Result));
  removeIfNotStarted(Workers.at(Order.Worker), {Order.Task, Order.Run});
  WorkerState &Worker = Workers.at(Order.Worker);
  bool IsGone =
      Result == OrderResult::NotSent || Result == OrderResult::OtherIncarnation;
  if (IsGone && !Worker.Unresponsive) {
    Log.write(LogLevel::Change, "worker.silent",
              {{"worker", Order.Worker.str()}, {"result", resultName(Result)}});
    workerUnreachable(Worker, /*BeforeOrder=*/true, Now);
  }
  if (Result == OrderResult::OtherIncarnation)
    workerReplaced(Worker, Now);
}

void PoolScheduler::removeIfNotStarted(WorkerState &Worker, const RunKey &Key) {
  auto Found = Worker.Runs.find(Key);
  if (Found != Worker.Runs.end() && Found->second.StopRequested &&
      !Found->second.Evidence.mayHaveStarted())
    removeRun(Worker, Found);
}

void PoolScheduler::workerUnreachable(WorkerState &Worker, bool BeforeOrder,
                                      TimePoint Now) {
  if (Worker.Unresponsive)
    return;
  workerSilent(Worker, BeforeOrder, Now);
  Worker.Unresponsive = true;
  HealthCheckDue = true;
  Renewals.insert(Worker.Info.Id);
}

void PoolScheduler::stopAnswered(const StopOrder &Order, OrderResult Result,
                                 TimePoint Now) {
  PlacedRun *Found = runOfOrder(Order.Worker, Order.Task, Order.Run, Result);
  if (!Found)
    return;
  PlacedRun &Run = *Found;
  Run.OrderInFlight = false;
  Run.NextOrderAt = Now + Limits.OrderRetry;
  if (Result == OrderResult::Done || Result == OrderResult::Superseded)
    Run.StopConfirmedAt = Now;
}

void PoolScheduler::paceAnswered(const PaceOrder &Order, OrderResult Result,
                                 TimePoint Now) {
  PlacedRun *Found = runOfOrder(Order.Worker, Order.Task, Order.Run, Result);
  if (!Found)
    return;
  PlacedRun &Run = *Found;
  Run.PaceInFlight = false;
  Run.NextPaceAt = Now + Limits.OrderRetry;
  if (Result != OrderResult::Done) {
    Log.write(LogLevel::Notice, "run.pace",
              {{"task", taskName(Order.Task)},
               {"run", Order.Run.value()},
               {"worker", Order.Worker.str()},
               {"percent", Order.Percent},
               {"result", resultName(Result)}});
  }
  // An order without an answer may be executed later, after a newer one, so the
  // pace is unknown.
  Run.ConfirmedPacePercent.reset();
  if (Result == OrderResult::Done)
    Run.ConfirmedPacePercent = Order.Percent;
}

} // namespace banyanworks::pool
