/// \file
/// Implements preemption for urgent work: the stops that an urgent step may
/// order, and their cost.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"
#include "pool/JobObjective.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Cost of stopping urgent work, in core seconds, in addition to the lost work:
/// above any loss of other work, so that other work is preempted first.
constexpr double UrgentStopPenalty = 1e6;
/// Progress, in percent, from which a speed is measured; progress is reported
/// in whole percents, so that the error is then below a tenth.
constexpr std::uint32_t MinMeasuredPercent = 15;

} // namespace

RunForecast PoolScheduler::forecast(const RunKey &Key, const PlacedRun &Run,
                                    TimePoint Now) {
  RunForecast Result;
  Result.Elapsed = Now - Run.OrderedAt;
  GroupRef Ref = findGroup(Key.first);
  std::uint32_t First = Run.FirstPercent.value_or(0);
  Result.Measured = Ref.Group && Run.FirstPercent &&
                    Run.ProgressPercent >= First + MinMeasuredPercent &&
                    Run.ProgressPercent < 100 &&
                    !Ref.Owner->Spec.Steps[Key.first.Step].LongRunning;
  if (!Result.Measured) {
    Result.Remaining = remaining(Key, Run, Now);
    return Result;
  }
  Duration PerPercent =
      (Run.ReportedAt - Run.FirstReportedAt) / (Run.ProgressPercent - First);
  Result.Remaining =
      std::max(Duration(), PerPercent * (100 - Run.ProgressPercent) -
                               (Now - Run.ReportedAt));
  return Result;
}

bool PoolScheduler::isWorthless(const Job &Owner, const TaskGroup &Group,
                                Duration Remaining, WallTime Wall) const {
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  Duration PathAfter = Owner.RemainingPaths[Group.Step] - Step.Estimate;
  return !Step.LongRunning &&
         Wall + Remaining + PathAfter >
             Owner.Spec.dueAt(Group.Occurrence) +
                 objectiveOf(Owner.CriticalPath, *Owner.Terms) *
                     MaxLatenessFactor;
}

PoolScheduler::StopAssessment PoolScheduler::assessStop(const TaskGroup &Group,
                                                        const Job &Owner,
                                                        TimePoint Now,
                                                        WallTime Wall) {
  auto [Entry, Inserted] = StopAssessments.emplace(&Group, StopAssessment());
  StopAssessment &Result = Entry->second;
  if (!Inserted)
    return Result;
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  Duration LongestRemaining{};
  for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
    const PlacedRun *Run = runOf(Owner, Group, Member);
    if (!Run)
      continue;
    RunForecast Forecast =
        forecast({Group.task(Owner.Spec.Id, Member), Group.Run}, *Run, Now);
    // Gang members end together, so the forecast of one holds for all.
    Result.EndsBeforeStop =
        Result.EndsBeforeStop || Cost.endsBeforeStop(Forecast);
    LongestRemaining = std::max(LongestRemaining, Forecast.Remaining);
    Result.Cost += coreSeconds(
        Step.PerTask, Cost.lostTime(Step.Checkpoints, Forecast.Elapsed));
  }
  // A run that did not end as forecast is not waited for again.
  if (Group.AwaitedUntil && Now >= *Group.AwaitedUntil)
    Result.EndsBeforeStop = false;
  Result.Cost *=
      StopCost::factor(Group.LastStopped,
                       isWorthless(Owner, Group, LongestRemaining, Wall), Now);
  if (Owner.Terms->Priority == 0)
    Result.Cost += UrgentStopPenalty;
  return Result;
}

bool PoolScheduler::isAlwaysPreemptible(const Job &Owner,
                                        const TaskGroup &Group) {
  return Owner.Terms->Priority != 0 &&
         Owner.Spec.Steps[Group.Step].MaxUnavailable == 0;
}

bool PoolScheduler::mayBePreempted(const Job &Owner, const PlacedRun &Run,
                                   const StepCandidate &Candidate) const {
  if (Owner.Terms->Priority != 0)
    return true;
  return Candidate.Guaranteed &&
         UrgentUse->canReturn(Owner.Spec.Workspace, Run.Allocated.Accelerators);
}

void PoolScheduler::computeUrgentUse() {
  UrgentUse.emplace(Configuration.Guarantees);
  for (const auto &[Id, Owner] : Jobs) {
    if (isFinal(Owner.Status) || Owner.Terms->Priority != 0)
      continue;
    UrgentUse->addDemand(Owner.Spec);
    if (Owner.LiveRuns == 0)
      continue;
    for (const TaskGroup &Group : Owner.Progress.groups()) {
      if (Group.State == GroupState::Active) {
        UrgentUse->addHeld(Owner.Spec.Workspace,
                           Owner.Spec.Steps[Group.Step].PerTask.Accelerators *
                               static_cast<std::int32_t>(Group.Members));
      }
    }
  }
}

void PoolScheduler::addReclaimWorker(ReclaimOptions &Options,
                                     WorkerState &Worker,
                                     const StepCandidate &Candidate,
                                     TimePoint Now, WallTime Wall) {
  std::size_t Index = Options.Workers.size();
  ReclaimWorker &Added = Options.Workers.emplace_back();
  Options.States.push_back(&Worker);
  Added.Worker = &Worker.Info;
  Added.Free =
      Worker.Info.Capacity - Worker.Allocated -
      Worker.Holds.heldForOthers(Candidate.Owner->Spec.Id, Now, nullptr);
  for (const auto &[Key, Run] : Worker.Runs) {
    GroupRef Ref;
    if (!Run.StopRequested)
      Ref = findGroup(Key.first);
    StopAssessment Assessment;
    if (Ref.Group)
      Assessment = assessStop(*Ref.Group, *Ref.Owner, Now, Wall);
    if (Run.StopRequested ||
        (Assessment.EndsBeforeStop && !Options.StopsOnly)) {
      Added.Free += Run.Allocated;
      continue;
    }
    if (!Ref.Group ||
        Ref.Owner->Spec.Steps[Key.first.Step].MaxUnavailable != 0 ||
        !mayBePreempted(*Ref.Owner, Run, Candidate))
      continue;
    auto [Entry, Inserted] =
        Options.Indices.emplace(Ref.Group, Options.Victims.size());
    if (Inserted) {
      Options.Victims.emplace_back().Cost = Assessment.Cost;
      Options.Groups.push_back(Ref);
    }
    Options.Victims[Entry->second].Freed.emplace_back(Index, Run.Allocated);
    Added.Victims.push_back(Entry->second);
  }
}

void PoolScheduler::releaseHolds(JobId Id) {
  auto Own = ReclaimingJobs.find(Id);
  if (Own == ReclaimingJobs.end())
    return;
  auto Next = ReclaimingJobs.end();
  for (auto Other = ReclaimingJobs.begin(); Other != ReclaimingJobs.end();
       ++Other) {
    if (Other != Own && Other->second.isInterchangeable(Own->second) &&
        (Next == ReclaimingJobs.end() ||
         Other->second.Until < Next->second.Until))
      Next = Other;
  }
  for (const WorkerId &Worker : ReclaimingWorkers) {
    ReclaimHolds &Holds = Workers.at(Worker).Holds;
    if (Next == ReclaimingJobs.end())
      Holds.release(Id);
    else
      Holds.transfer(Id, Next->second);
  }
  ReclaimingJobs.erase(Own);
  Reclaims.roomFreed();
}

void PoolScheduler::holdForReclaim(const StepCandidate &Candidate,
                                   WorkerState &Worker, std::uint32_t Tasks,
                                   bool StopsOnly, TimePoint Now) {
  TimePoint Until = Now + Limits.ReclaimTime;
  Resources PerTask = Candidate.Step->allocatedResources();
  Worker.Holds.add({Candidate.Owner->Spec.Id,
                    PerTask * static_cast<std::int32_t>(Tasks), PerTask,
                    Until});
  ReclaimingWorkers.insert(Worker.Info.Id);
  if (StopsOnly)
    return;
  for (const auto &Entry : Worker.Runs) {
    GroupRef Ref = findGroup(Entry.first.first);
    if (Ref.Group && !Ref.Group->AwaitedUntil &&
        StopAssessments[Ref.Group].EndsBeforeStop)
      Ref.Group->AwaitedUntil = Until;
  }
}

void PoolScheduler::holdForPlan(const StepCandidate &Candidate,
                                const ReclaimOptions &Options,
                                const ReclaimPlan &Plan, TimePoint Now) {
  JobId Id = Candidate.Owner->Spec.Id;
  if (ReclaimingJobs.erase(Id) > 0)
    for (const WorkerId &Worker : ReclaimingWorkers)
      Workers.at(Worker).Holds.release(Id);
  for (const auto &[Index, Tasks] : Plan.Tasks)
    holdForReclaim(Candidate, *Options.States[Index], Tasks, Options.StopsOnly,
                   Now);
  Waits.planned(Id, Now + Limits.ReclaimTime);
}

PoolScheduler::ReclaimOptions
PoolScheduler::reclaimOptions(const StepCandidate &Candidate, bool StopsOnly,
                              TimePoint Now, WallTime Wall) {
  ReclaimOptions Options;
  Options.StopsOnly = StopsOnly;
  // Of equally expensive plans, the first workers are taken.
  SpeedPreference Preference = speedPreference(Candidate);
  std::vector<WorkerState *> Eligible;
  for (auto &[Id, Worker] : Workers)
    if (eligible(Worker, Candidate, Now) && !isRisky(Worker, Candidate))
      Eligible.push_back(&Worker);
  std::stable_sort(Eligible.begin(), Eligible.end(),
                   [&](const WorkerState *Left, const WorkerState *Right) {
                     return classRank(Preference, Left->Speed) <
                            classRank(Preference, Right->Speed);
                   });
  for (WorkerState *Worker : Eligible)
    addReclaimWorker(Options, *Worker, Candidate, Now, Wall);
  return Options;
}

bool PoolScheduler::reclaim(StepCandidate &Candidate, bool OneRack,
                            TimePoint Now, WallTime Wall) {
  PlacementRequest Request = requestFor(Candidate);
  Request.MaySpanRacks = !OneRack;
  // Resources are reclaimed for all waiting tasks at once, even if they start
  // one by one.
  Request.AllOrNothing = true;
  Request.Count = reclaimableTasks(Candidate, Request.Count);
  if (Request.Count == 0)
    return false;
  // The adviser's permission differs between steps with equal requests.
  if (!Candidate.Terms->Advice &&
      Reclaims.isKnownToFail(failedRequest(Request, Candidate, true)))
    return false;
  if (!Reclaims.beginPlan())
    return false;
  ReclaimOptions Options = reclaimOptions(
      Candidate, Waits.needsStops(Candidate.Owner->Spec.Id), Now, Wall);
  std::optional<ReclaimPlan> Plan =
      planReclaim(Request, Options.Workers, Options.Victims);
  // Where stops do not suffice, a further wait is the only way.
  if (!Plan && Options.StopsOnly) {
    if (!Reclaims.beginPlan())
      return false;
    Options = reclaimOptions(Candidate, false, Now, Wall);
    Plan = planReclaim(Request, Options.Workers, Options.Victims);
  }
  if (!Plan) {
    if (!Candidate.Terms->Advice)
      Reclaims.add(failedRequest(Request, Candidate, true), Now);
    releaseHolds(Candidate.Owner->Spec.Id);
    return false;
  }
  ReclaimedDemands[Candidate.Owner->Spec.Id] =
      Candidate.Step->PerTask * static_cast<std::int32_t>(Request.Count);
  holdForPlan(Candidate, Options, *Plan, Now);
  for (std::size_t Victim : Plan->Victims) {
    GroupRef Ref = Options.Groups[Victim];
    if (Ref.Owner->Terms->Priority == 0) {
      UrgentUse->removeHeld(
          Ref.Owner->Spec.Workspace,
          Ref.Owner->Spec.Steps[Ref.Group->Step].PerTask.Accelerators *
              static_cast<std::int32_t>(Ref.Group->Members));
    }
    Ref.Group->LastStopped = Now;
    abort(*Ref.Owner, *Ref.Group, "reclaimed");
  }
  Log.write(LogLevel::Notice, "job.reclaims",
            {{"job", jobName(Candidate.Owner->Spec.Id)},
             {"workers", Plan->Tasks.size()},
             {"groups", Plan->Victims.size()},
             {"loss_core_s", static_cast<std::int64_t>(Plan->Cost)}});
  return true;
}

} // namespace banyanworks::pool
