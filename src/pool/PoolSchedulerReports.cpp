/// \file
/// Implements what a PoolScheduler makes of the answers of workers.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// Bounds on the time between two looks at a task's progress.
constexpr Duration ShortestSample = std::chrono::milliseconds(380);
constexpr Duration LongestSample = std::chrono::milliseconds(1500);
/// The progress, in percent, that a look must expect to be a fair comparison.
constexpr double LeastExpected = 2.5;

std::string_view endName(RunEnd How) {
  switch (How) {
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
  case OrderResult::NoRoom:
    return "no_room";
  case OrderResult::Unhealthy:
    return "unhealthy";
  case OrderResult::OtherLife:
    return "other_life";
  case OrderResult::Malformed:
    return "malformed";
  case OrderResult::NoTicket:
    return "no_ticket";
  case OrderResult::Unknown:
    return "no_answer";
  }
  return "unknown";
}

} // namespace

void PoolScheduler::workerReported(const WorkerId &Id,
                                   const WorkerReport &Report, TimePoint SentAt,
                                   TimePoint Now) {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return;
  Slot &On = Found->second;
  if (Report.Result == OrderResult::Fenced) {
    Fenced = true;
    return;
  }
  if (Report.Result == OrderResult::OtherLife) {
    // The process that this entry names is gone, and its runs with it.
    leasesLapsed(Id);
    return;
  }
  bool Heard = Report.Result == OrderResult::Done;
  if (On.Silent == Heard)
    Log.write(LogLevel::Change, Heard ? "worker.heard" : "worker.silent",
              {{"worker", Id.str()}, {"result", resultName(Report.Result)}});
  JudgeSoon = JudgeSoon || On.Silent == Heard;
  On.Silent = !Heard;
  if (!Heard)
    return;
  bool NewLife = On.Heard && Report.Life != On.Life;
  if (NewLife) {
    On.HighestEnd = 0;
    On.Acknowledged = 0;
    On.OpenEnds.clear();
    Ending.erase(Id);
    Log.write(LogLevel::Change, "worker.restarted",
              {{"worker", Id.str()}, {"life", Report.Life.value()}});
  }
  On.Heard = true;
  On.Life = Report.Life;
  for (const ReportedEnd &End : Report.Ended)
    takeEnd(On, End, Now);
  std::optional<double> WorstTail;
  for (const ReportedRun &Seen : Report.Running)
    WorstTail = std::max(WorstTail, adopt(On, Seen, SentAt, Now));
  dropUnreported(On, Report, SentAt);
  paceFillers(On, WorstTail, Now);
}

void PoolScheduler::paceFillers(Slot &On, std::optional<double> Worst,
                                TimePoint Now) {
  std::uint32_t Before = On.Filling.percent();
  if (Worst)
    On.Filling.observe(*Worst, Now);
  else
    On.Filling.alone();
  // An older order that was carried out late may have let fillers go on.
  if (Before == 0 && Worst && *Worst > 1.0) {
    for (auto &[Key, Run] : On.Runs) {
      if (Run.PacePercent != 0U)
        continue;
      Run.PacePercent.reset();
      Run.NextPace = Now + Limits.PaceRepeat;
    }
  }
  if (On.Filling.percent() != Before) {
    Log.write(LogLevel::Routine, "worker.fill_pace",
              {{"worker", On.Info.Id.str()},
               {"percent", On.Filling.percent()},
               {"tail_percent_of_target",
                static_cast<std::int64_t>(Worst.value_or(0.0) * 100)}});
  }
}

void PoolScheduler::takeEnd(Slot &On, const ReportedEnd &End, TimePoint Now) {
  if (End.Sequence <= On.HighestEnd)
    return;
  On.HighestEnd = End.Sequence;
  GroupRef Ref = find(End.Task);
  bool Current = Ref.Group && Ref.Group->Run == End.Run;
  Log.write(End.How == RunEnd::Done ? LogLevel::Routine : LogLevel::Notice,
            "run.ended",
            {{"task", taskName(End.Task)},
             {"run", End.Run.value()},
             {"worker", On.Info.Id.str()},
             {"how", endName(End.How)},
             {"sequence", End.Sequence},
             {"current", Current ? "yes" : "no"}});
  bool WasActive = Current && Ref.Group->State == GroupState::Active;
  if (WasActive && !End.Checkpoint.empty())
    Ref.Group->Checkpoint = End.Checkpoint;
  auto Run = On.Runs.find({End.Task, End.Run});
  if (Run != On.Runs.end())
    settle(On, Run);
  if (WasActive) {
    bool Lasting = Ref.Owner->Spec.Steps[End.Task.Step].LongRunning;
    if (End.How == RunEnd::Done && !Lasting) {
      // Its last run may have just put the group back into the queue.
      if (Ref.Group->State == GroupState::Waiting)
        --Ref.Owner->Waiting;
      Ref.Group->State = GroupState::Done;
      changed(*Ref.Owner);
      On.Failures.erase(End.Task.Job);
      On.Unproven = false;
      if (Ref.Owner->Progress.allDone())
        conclude(*Ref.Owner, JobStatus::Completed);
    } else {
      changed(*Ref.Owner);
      if (End.How == RunEnd::Failed)
        taskFailed(On, *Ref.Owner, *Ref.Group, Now);
      if (Ref.Group->Live > 0)
        abort(*Ref.Owner, *Ref.Group, endName(End.How));
    }
  }
  On.OpenEnds.push_back(
      {End.Sequence, End.Task.Job, Ref.Owner ? Ref.Owner->Version : 0, Now});
  Ending.insert(On.Info.Id);
}

void PoolScheduler::taskFailed(Slot &On, Job &Owner, TaskGroup &Group,
                               TimePoint Now) {
  On.Failures[Owner.Spec.Id] = Now;
  On.Unproven = true;
  JudgeSoon = true;
  if (Group.LastFailed == Group.Run)
    return;
  Group.LastFailed = Group.Run;
  ++Group.Failures;
  if (Owner.Spec.Steps[Group.Step].LongRunning)
    return;
  if (Group.Failures < Owner.Terms->MaxAttempts)
    return;
  Owner.Progress.markFailed();
  conclude(Owner, JobStatus::Failed);
}

std::optional<double> PoolScheduler::adopt(Slot &On, const ReportedRun &Seen,
                                           TimePoint SentAt, TimePoint Now) {
  RunKey Key(Seen.Task, Seen.Run);
  GroupRef Ref = find(Seen.Task);
  auto Found = On.Runs.find(Key);
  if (Found == On.Runs.end()) {
    // An order that nobody waits for any more was carried out.
    PlacedRun Stray;
    Stray.Room = Ref.Group ? Ref.Owner->Spec.Steps[Seen.Task.Step].held()
                           : On.Info.Capacity;
    Stray.StopWanted = true;
    takeRoom(On, Stray.Room);
    Ordering.insert(On.Info.Id);
    Found = On.Runs.emplace(Key, Stray).first;
    if (Ref.Group) {
      ++Ref.Group->Live;
      ++Ref.Owner->Live;
    }
    Log.write(LogLevel::Notice, "run.stray",
              {{"task", taskName(Seen.Task)},
               {"run", Seen.Run.value()},
               {"worker", On.Info.Id.str()}});
  }
  PlacedRun &Run = Found->second;
  if (Run.Phase != RunPhase::Confirmed) {
    Run.Phase = RunPhase::Confirmed;
    Run.ConfirmedAt = SentAt;
  }
  const StepSpec *Step =
      Ref.Group ? &Ref.Owner->Spec.Steps[Seen.Task.Step] : nullptr;
  // A filler's progress follows what others leave idle, and its pace.
  if (!Step || !Step->FillsIdle)
    samplePace(On, Run, Seen.Percent, Now);
  Run.Percent = Seen.Percent;
  if (Ref.Group && Ref.Group->Run == Seen.Run && !Seen.Checkpoint.empty())
    Ref.Group->Checkpoint = Seen.Checkpoint;
  if (!Step || !Step->serves())
    return std::nullopt;
  return Seen.TailMs / 1000.0 / toSeconds(Step->TailTarget);
}

void PoolScheduler::samplePace(Slot &On, PlacedRun &Run, std::uint32_t Percent,
                               TimePoint Now) {
  if (Run.StopWanted || Percent >= 100)
    return;
  Duration Span = Now - Run.SampledAt;
  if (Run.SampledAt != TimePoint() && Span < ShortestSample)
    return;
  bool Comparable = Run.SampledAt != TimePoint() && Span < LongestSample &&
                    Percent >= Run.SampledPercent;
  if (Comparable) {
    double Pace = (Percent - Run.SampledPercent) / toSeconds(Span);
    // Progress is told in whole percents: a task that gets on by less than a
    // few of them in a look shows no pace to compare with.
    if (Run.BestPace * toSeconds(Span) >= LeastExpected)
      On.Pace.sample(Pace / Run.BestPace, Now);
    // The pace of a run that began on a slow worker tells nothing.
    if (!On.Pace.slow(Now))
      Run.BestPace = std::max(Run.BestPace, Pace);
  }
  Run.SampledAt = Now;
  Run.SampledPercent = Percent;
}

void PoolScheduler::dropUnreported(Slot &On, const WorkerReport &Report,
                                   TimePoint SentAt) {
  std::set<RunKey> Running;
  for (const ReportedRun &Seen : Report.Running)
    Running.emplace(Seen.Task, Seen.Run);
  std::vector<RunKey> Gone;
  for (const auto &[Key, Run] : On.Runs) {
    bool WasThere =
        Run.Phase == RunPhase::Inherited ||
        (Run.Phase == RunPhase::Confirmed && Run.ConfirmedAt < SentAt);
    bool Stopped = Run.StopConfirmedAt && *Run.StopConfirmedAt < SentAt;
    if (!Running.contains(Key) && (WasThere || Stopped))
      Gone.push_back(Key);
  }
  runsGone(On, Gone, "not_reported");
}

void PoolScheduler::runsGone(Slot &On, const std::vector<RunKey> &Gone,
                             std::string_view Why) {
  for (const RunKey &Key : Gone) {
    auto Found = On.Runs.find(Key);
    if (Found == On.Runs.end())
      continue;
    Log.write(LogLevel::Notice, "run.gone",
              {{"task", taskName(Key.first)},
               {"run", Key.second.value()},
               {"worker", On.Info.Id.str()},
               {"reason", Found->second.StopWanted ? "stopped" : Why}});
    GroupRef Ref = find(Key.first);
    settle(On, Found);
    if (Ref.Group && Ref.Group->Run == Key.second &&
        Ref.Group->State == GroupState::Active)
      abort(*Ref.Owner, *Ref.Group, "member_lost");
  }
}

void PoolScheduler::leasesLapsed(const WorkerId &Id) {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return;
  Found->second.Silent = true;
  JudgeSoon = true;
  std::vector<RunKey> Gone;
  for (const auto &[Key, Run] : Found->second.Runs)
    if (Run.Phase != RunPhase::Planned)
      Gone.push_back(Key);
  runsGone(Found->second, Gone, "lease_over");
}

PlacedRun *PoolScheduler::answeredRun(const WorkerId &Worker,
                                      const TaskKey &Task, RunNumber Number,
                                      OrderResult Result) {
  if (Result == OrderResult::Fenced)
    Fenced = true;
  auto On = Slots.find(Worker);
  if (On == Slots.end())
    return nullptr;
  auto Run = On->second.Runs.find({Task, Number});
  return Run == On->second.Runs.end() ? nullptr : &Run->second;
}

void PoolScheduler::startAnswered(const StartOrder &Order, OrderResult Result,
                                  TimePoint Now) {
  PlacedRun *Found = answeredRun(Order.Worker, Order.Task, Order.Run, Result);
  if (!Found)
    return;
  PlacedRun &Run = *Found;
  Run.OrderOut = false;
  Run.NextOrder = Now + Limits.OrderRetry;
  Log.write(Result == OrderResult::Done ? LogLevel::Routine : LogLevel::Notice,
            "run.start",
            {{"task", taskName(Order.Task)},
             {"run", Order.Run.value()},
             {"worker", Order.Worker.str()},
             {"result", resultName(Result)}});
  switch (Result) {
  case OrderResult::Done:
  case OrderResult::Superseded:
    // A superseded run was there; the next report says how it ended.
    if (Run.Phase == RunPhase::Ordered) {
      Run.Phase = RunPhase::Confirmed;
      Run.ConfirmedAt = Now;
      observed(PoolSpan::Started, Now - Run.OrderedAt);
    }
    return;
  case OrderResult::Unknown:
  case OrderResult::Fenced:
    return;
  case OrderResult::Expired:
    Run.NextOrder = Now;
    return;
  case OrderResult::NoRoom:
  case OrderResult::Unhealthy:
  case OrderResult::OtherLife:
  case OrderResult::Malformed:
    Slots.at(Order.Worker).RefusedUntil = Now + Limits.RefusalPause;
    break;
  case OrderResult::NoTicket:
    Advice.refused({Order.Task.Job, Order.Task.Occurrence, Order.Task.Step},
                   Order.Worker);
    break;
  }
  // A lost copy of the order may still be on its way, so the run is stopped
  // like one that started.
  GroupRef Ref = find(Order.Task);
  if (Ref.Group && Ref.Group->Run == Order.Run)
    abort(*Ref.Owner, *Ref.Group, resultName(Result));
}

void PoolScheduler::stopAnswered(const StopOrder &Order, OrderResult Result,
                                 TimePoint Now) {
  PlacedRun *Found = answeredRun(Order.Worker, Order.Task, Order.Run, Result);
  if (!Found)
    return;
  PlacedRun &Run = *Found;
  Run.OrderOut = false;
  Run.NextOrder = Now + Limits.OrderRetry;
  if (Result == OrderResult::Done || Result == OrderResult::Superseded)
    Run.StopConfirmedAt = Now;
}

void PoolScheduler::paceAnswered(const PaceOrder &Order, OrderResult Result,
                                 TimePoint Now) {
  PlacedRun *Found = answeredRun(Order.Worker, Order.Task, Order.Run, Result);
  if (!Found)
    return;
  PlacedRun &Run = *Found;
  Run.PaceOut = false;
  Run.NextPace = Now + Limits.OrderRetry;
  if (Result != OrderResult::Done) {
    Log.write(LogLevel::Notice, "run.pace",
              {{"task", taskName(Order.Task)},
               {"run", Order.Run.value()},
               {"worker", Order.Worker.str()},
               {"percent", Order.Percent},
               {"result", resultName(Result)}});
  }
  // An order without an answer may be carried out later, over a newer one.
  Run.PacePercent.reset();
  if (Result == OrderResult::Done)
    Run.PacePercent = Order.Percent;
}

} // namespace banyanworks::pool
