/// \file
/// Implements the scheduling pass of a PoolScheduler: the order of waiting
/// steps, and their placement.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"
#include "pool/JobObjective.h"

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Assumed remaining time of a long-running task, beyond any time that is
/// planned.
constexpr Duration LongRunningRemaining = std::chrono::hours(1);

/// Whether a group waits for placement and all its earlier runs have ended.
bool isWaiting(const TaskGroup &Group) {
  return Group.State == GroupState::Waiting && Group.LiveRuns == 0;
}

/// Whether a group waits for placement and may start beside other work.
bool startsFreely(const TaskGroup &Group) {
  return isWaiting(Group) && !Group.Crashes.placedByItself();
}

} // namespace

bool PoolScheduler::acceptsWork(const WorkerState &Worker) const {
  return Worker.Listed && Worker.HasReported && Worker.Life.isCurrent() &&
         !Worker.Unresponsive && !Worker.Suspect && !Worker.Info.Draining &&
         !DomainsOutOfService.contains(Worker.Info.Domain) &&
         !CordonedWorkers.contains(Worker.Info.Id);
}

bool PoolScheduler::canServe(const WorkerState &Worker,
                             const StepCandidate &Candidate,
                             TimePoint Now) const {
  return acceptsWork(Worker) && Now >= Worker.RefusedUntil &&
         canRun(Worker.Info, Candidate.Terms->Service, *Candidate.Step);
}

bool PoolScheduler::eligible(const WorkerState &Worker,
                             const StepCandidate &Candidate,
                             TimePoint Now) const {
  return canServe(Worker, Candidate, Now) &&
         (!Candidate.Terms->Advice ||
          Advice.ticket(Candidate.stepKey(), Worker.Info, Now));
}

void PoolScheduler::prepareAdviceRequest(const StepCandidate &Candidate,
                                         TimePoint Now) {
  PlacementRequest Request = requestFor(Candidate);
  StepKey Step = Candidate.stepKey();
  // Workers with free resources come first.
  std::vector<std::pair<std::uint32_t, const PoolWorker *>> Askable;
  for (const auto &[Id, Worker] : Workers) {
    if (!canServe(Worker, Candidate, Now) ||
        !Advice.mayAsk(Step, Worker.Info, Now))
      continue;
    PlacementTarget Target;
    Target.Worker = &Worker.Info;
    Target.Free = Worker.Info.Capacity;
    if (fittingTasks(Request, Target) == 0)
      continue;
    Target.Free = Worker.Info.Capacity - Worker.Allocated;
    Askable.emplace_back(fittingTasks(Request, Target), &Worker.Info);
  }
  if (Askable.empty())
    return;
  std::stable_sort(Askable.begin(), Askable.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  Askable.resize(std::min(Askable.size(), Limits.WorkersPerAdviceRequest));
  PendingAdvice.emplace();
  PendingAdvice->Step = Step;
  for (const auto &Entry : Askable)
    PendingAdvice->Workers.emplace_back(Entry.second->Id,
                                        Entry.second->WorkerIncarnation);
  PendingAdvice->ExpectedTime = Candidate.Terms->Advice->ResponseTime +
                                Candidate.Terms->Advice->ResponseTimePerWorker *
                                    static_cast<int>(Askable.size());
}

void PoolScheduler::adviceReceived(const AdviceRequest &Request,
                                   const AdviceResponse &Response,
                                   TimePoint SentAt) {
  Advice.recordResponse(Request, Response, SentAt);
  TaskKey Step{Request.Step.Job, Request.Step.Occurrence, Request.Step.Step, 0};
  Log.write(Response.Answered ? LogLevel::Routine : LogLevel::Notice,
            "step.advised",
            {{"task", taskName(Step)},
             {"asked", Request.Workers.size()},
             {"allowed", Response.Allowed.size()},
             {"answered", Response.Answered ? "yes" : "no"}});
}

std::optional<PoolScheduler::StepCandidate>
PoolScheduler::candidateOf(Job &Owner, std::uint32_t Occurrence,
                           std::uint32_t Step, WallTime Wall) {
  std::span<TaskGroup> Groups = Owner.Progress.groupsOf(Occurrence, Step);
  auto First = std::find_if(Groups.begin(), Groups.end(), startsFreely);
  if (First == Groups.end() || !Owner.Progress.isReady(Owner.Spec, *First))
    return std::nullopt;
  return describeCandidate(Owner, *First, Wall);
}

std::optional<PoolScheduler::StepCandidate>
PoolScheduler::suspectOf(Job &Owner, std::uint32_t Occurrence,
                         std::uint32_t Step, TimePoint Now, WallTime Wall) {
  TaskGroup *First = nullptr;
  for (TaskGroup &Group : Owner.Progress.groupsOf(Occurrence, Step)) {
    if (!Group.Crashes.placedByItself())
      continue;
    if (Group.State == GroupState::Active && Group.Crashes.isSuspect())
      return std::nullopt;
    if (!First && isWaiting(Group) &&
        crashVerdict(Owner, Group, Now) != CrashVerdict::Held)
      First = &Group;
  }
  if (!First || !Owner.Progress.isReady(Owner.Spec, *First))
    return std::nullopt;
  StepCandidate Result = describeCandidate(Owner, *First, Wall);
  Result.Suspected = true;
  Result.Isolated =
      First->Members == 1 && First->Crashes.waitsForIsolation(Now);
  return Result;
}

PoolScheduler::StepCandidate
PoolScheduler::describeCandidate(Job &Owner, TaskGroup &FirstWaiting,
                                 WallTime Wall) {
  std::uint32_t Occurrence = FirstWaiting.Occurrence;
  std::uint32_t Step = FirstWaiting.Step;
  StepCandidate Result;
  Result.Owner = &Owner;
  Result.FirstWaiting = &FirstWaiting;
  Result.Step = &Owner.Spec.Steps[Step];
  Result.Terms = Owner.Terms;
  WallTime Due = Owner.Spec.dueAt(Occurrence);
  Duration Objective = objectiveOf(Owner.CriticalPath, *Owner.Terms);
  Duration RemainingPath = Owner.RemainingPaths[Step];
  Result.WaitTime = std::max(Duration(), Wall - Due);
  Result.LatestStart = Due + Objective - RemainingPath;
  Result.Slack = Result.LatestStart - Wall;
  // A long-running step is useful whenever it starts, so it is never late.
  if (Wall > Result.LatestStart && !Result.Step->LongRunning)
    Result.Lateness =
        Wall > Due + Objective * MaxLatenessFactor - RemainingPath ? 2 : 1;
  return Result;
}

void PoolScheduler::listWaitingGroups(StepCandidate &Candidate) {
  Candidate.Groups.clear();
  if (Candidate.Suspected) {
    if (isWaiting(*Candidate.FirstWaiting))
      Candidate.Groups.push_back(Candidate.FirstWaiting);
    return;
  }
  for (TaskGroup &Group : Candidate.Owner->Progress.groupsOf(
           Candidate.FirstWaiting->Occurrence, Candidate.FirstWaiting->Step))
    if (startsFreely(Group))
      Candidate.Groups.push_back(&Group);
}

std::vector<PoolScheduler::StepCandidate>
PoolScheduler::candidates(TimePoint Now, WallTime Wall) {
  std::vector<StepCandidate> Result;
  bool Urgent = false;
  auto Add = [&](std::optional<StepCandidate> Candidate) {
    if (!Candidate)
      return;
    Urgent = Urgent || Candidate->Terms->Priority == 0;
    Result.push_back(std::move(*Candidate));
  };
  for (auto &[Id, Waiting] : Jobs) {
    if (isFinal(Waiting.Status) || Waiting.WaitingGroups == 0)
      continue;
    const JobSpec &Spec = Waiting.Spec;
    for (std::uint32_t Occurrence = 0; Occurrence < Spec.occurrenceCount();
         ++Occurrence) {
      if (Spec.isScheduled() && Wall < Spec.dueAt(Occurrence))
        break;
      for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step) {
        Add(candidateOf(Waiting, Occurrence, Step, Wall));
        if (JobsWithLosses.contains(Id))
          Add(suspectOf(Waiting, Occurrence, Step, Now, Wall));
      }
    }
  }
  UrgentUse.reset();
  if (Urgent) {
    computeUrgentUse();
    for (StepCandidate &Candidate : Result) {
      Candidate.Guaranteed =
          Candidate.Terms->Priority == 0 &&
          UrgentUse->isWithinGuarantee(Candidate.Owner->Spec.Workspace);
    }
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const StepCandidate &Left, const StepCandidate &Right) {
                     auto Key = [](const StepCandidate &Candidate) {
                       return std::tuple(
                           Candidate.Terms->Priority != 0,
                           !Candidate.Guaranteed, Candidate.Lateness,
                           Candidate.Terms->Priority, Candidate.LatestStart);
                     };
                     return Key(Left) < Key(Right);
                   });
  return Result;
}

void PoolScheduler::listAvailableWorkers() {
  for (auto &[Id, Worker] : Workers) {
    if (!acceptsWork(Worker))
      continue;
    Worker.AvailableIndex = AvailableWorkers.size();
    AvailableWorkers.push_back(
        {&Worker, Worker.Info.Capacity - Worker.Allocated});
    Access.addWorker(Worker.Info.Service, Worker.Info.Capacity.Accelerators,
                     Worker.Allocated.Accelerators);
  }
}

void PoolScheduler::clearAvailableWorkers() {
  for (const AvailableWorker &Available : AvailableWorkers)
    Available.Worker->AvailableIndex.reset();
  AvailableWorkers.clear();
  Access.clear();
}

bool PoolScheduler::isAvoided(const WorkerState &Worker,
                              const StepCandidate &Candidate) {
  return Candidate.Suspected &&
         (!Worker.Runs.empty() ||
          Candidate.FirstWaiting->Crashes.hasLost(Worker.Info.Address));
}

std::vector<PlacementTarget>
PoolScheduler::placementTargets(const StepCandidate &Candidate,
                                const PlacementRequest &Request,
                                bool MayUseReserve, TimePoint Now) const {
  std::vector<PlacementTarget> Result;
  bool Urgent = Candidate.Terms->Priority == 0;
  for (const AvailableWorker &Available : AvailableWorkers) {
    if (!Request.PerTask.fitsIn(Available.Free))
      continue;
    const WorkerState &Worker = *Available.Worker;
    if (isRisky(Worker, Candidate) || (Worker.InReserve && !MayUseReserve) ||
        (Candidate.Isolated && isAvoided(Worker, Candidate)) ||
        Worker.SuspectRun || !eligible(Worker, Candidate, Now))
      continue;
    PlacementTarget Target;
    Target.Worker = &Worker.Info;
    Target.Free = Available.Free;
    if (!Worker.Holds.empty())
      Target.Free -= Worker.Holds.heldForOthers(Candidate.Owner->Spec.Id, Now,
                                                ownHold(Candidate));
    Target.Speed = Worker.Speed;
    if (Reservation && !Urgent)
      Target.Free = Reservation->usableResources(Worker.Info.Id, Target.Free,
                                                 Candidate.Step->Estimate);
    Target.Penalty = Worker.FailedJobs == 0 ? 0 : 1;
    if (isAvoided(Worker, Candidate))
      ++Target.Penalty;
    if (Candidate.Step->FillsIdle && !hasIdleCpuFor(Worker, *Candidate.Step))
      ++Target.Penalty;
    Target.StepTasks = tasksOfStep(Worker, Candidate);
    Result.push_back(Target);
  }
  return Result;
}

std::uint32_t PoolScheduler::tasksOfStep(const WorkerState &Worker,
                                         const StepCandidate &Candidate) {
  if (Candidate.Step->MaxPerWorker == 0)
    return 0;
  StepKey Step = Candidate.stepKey();
  return static_cast<std::uint32_t>(std::count_if(
      Worker.Runs.begin(), Worker.Runs.end(), [&Step](const auto &Entry) {
        const TaskKey &Task = Entry.first.first;
        return Task.Job == Step.Job && Task.Occurrence == Step.Occurrence &&
               Task.Step == Step.Step;
      }));
}

void PoolScheduler::place(StepCandidate &Candidate,
                          const std::vector<TaskGroup *> &Groups,
                          const std::vector<WorkerId> &ChosenWorkers,
                          TimePoint Now) {
  std::size_t NextWorker = 0;
  Waits.drop(Candidate.Owner->Spec.Id);
  Candidate.Owner->WaitingGroups -= Groups.size();
  for (TaskGroup *Group : Groups) {
    markChanged(*Candidate.Owner, *Group);
    Group->State = GroupState::Active;
    Group->AwaitedUntil.reset();
    // The queueing time is measured only for first runs of initial steps; later
    // steps wait for earlier ones, and later runs for others to end.
    if (Group->Run == RunNumber() && Candidate.Step->After.empty())
      reportSpan(PoolSpan::Queued, Candidate.WaitTime);
    Group->Run = Group->Run.next();
    Group->Workers.assign(
        ChosenWorkers.begin() + static_cast<std::ptrdiff_t>(NextWorker),
        ChosenWorkers.begin() +
            static_cast<std::ptrdiff_t>(NextWorker + Group->Members));
    Group->Lives.clear();
    for (std::uint32_t Member = 0; Member < Group->Members;
         ++Member, ++NextWorker) {
      TaskKey Task = Group->task(Candidate.Owner->Spec.Id, Member);
      WorkerState &Worker = Workers.at(ChosenWorkers[NextWorker]);
      PlacedRun Run = runOfStep(*Candidate.Owner, *Candidate.Step);
      Run.PlannedVersion = Candidate.Owner->Version;
      Run.Life = Worker.WorkerIncarnation;
      Group->Lives.push_back(Run.Life);
      Run.OrderedAt = Now;
      addRun(Worker, RunKey(Task, Group->Run), Run);
      if (Group->Crashes.isSuspect(Member))
        Worker.SuspectRun = RunKey(Task, Group->Run);
      Worker.Holds.recordPlacement(Candidate.Owner->Spec.Id, Run.Allocated);
      WorkersWithPendingOrders.insert(ChosenWorkers[NextWorker]);
      Renewals.insert(ChosenWorkers[NextWorker]);
      if (Candidate.Step->FillsIdle)
        BestEffortWorkers.insert(ChosenWorkers[NextWorker]);
      if (Reservation)
        Reservation->recordPlacement(ChosenWorkers[NextWorker], Run.Allocated,
                                     Candidate.Step->Estimate);
      ++Group->LiveRuns;
      ++Candidate.Owner->LiveRuns;
      Log.write(LogLevel::Routine, "run.placed",
                {{"task", taskName(Task)},
                 {"run", Group->Run.value()},
                 {"worker", ChosenWorkers[NextWorker].str()},
                 {"lateness", Candidate.Lateness},
                 {"config", Configuration.Version.value()}});
    }
  }
  if (Candidate.Terms->Priority == 0) {
    Reserve.recordArrival(Candidate.Step->PerTask.Accelerators *
                              static_cast<std::int32_t>(ChosenWorkers.size()),
                          Candidate.Step->Gang && Candidate.Step->SameRack,
                          Now);
  }
  if (Candidate.Owner->Status == JobStatus::Queued)
    Candidate.Owner->Status = JobStatus::Running;
}

PlacementRequest
PoolScheduler::requestFor(const StepCandidate &Candidate) const {
  PlacementRequest Request;
  const StepSpec &Step = *Candidate.Step;
  Request.PerTask = Step.allocatedResources();
  Request.Count =
      Step.Gang ? Step.Tasks
                : std::max<std::uint32_t>(
                      1, static_cast<std::uint32_t>(Candidate.Groups.size()));
  Request.AllOrNothing = Step.Gang;
  Request.SameRack = Step.Gang && Step.SameRack;
  Request.DataRack = Step.DataRack;
  Request.MaxPerWorker = Step.MaxPerWorker;
  return Request;
}

Duration PoolScheduler::remaining(const RunKey &Key, const PlacedRun &Run,
                                  TimePoint Now) {
  Duration Elapsed = Now - Run.OrderedAt;
  GroupRef Ref = findGroup(Key.first);
  if (!Ref.Group || Run.StopRequested)
    return Limits.ReclaimTime;
  if (Ref.Owner->Spec.Steps[Key.first.Step].LongRunning)
    return LongRunningRemaining;
  if (Run.ProgressPercent > 0 && Run.ProgressPercent < 100)
    return Elapsed * (100 - Run.ProgressPercent) / Run.ProgressPercent;
  Duration Estimate =
      estimateAtClass(Ref.Owner->Spec.Steps[Key.first.Step], *Ref.Group);
  return std::max(Estimate - Elapsed, Estimate / 10);
}

void PoolScheduler::reserveForGang(const StepCandidate &Candidate,
                                   TimePoint Now) {
  ReservationOwner = Candidate.Owner->Spec.Id;
  ReservationPlannedAt = Now;
  std::vector<BusyWorker> BusyWorkers;
  std::vector<BusyWorker> ReserveWorkers;
  for (const auto &[Id, Worker] : Workers) {
    if (!eligible(Worker, Candidate, Now))
      continue;
    BusyWorker Busy;
    Busy.Target.Worker = &Worker.Info;
    Busy.Target.Free = Worker.Info.Capacity - Worker.Allocated;
    Busy.Target.Speed = Worker.Speed;
    for (const auto &[Key, Run] : Worker.Runs)
      Busy.Releases.emplace_back(remaining(Key, Run, Now), Run.Allocated);
    (Worker.InReserve ? ReserveWorkers : BusyWorkers)
        .push_back(std::move(Busy));
  }
  PlacementRequest Request = requestFor(Candidate);
  Request.Speed = speedPreference(Candidate);
  Reservation = GangReservation::plan(Request, BusyWorkers);
  // A gang that needs nearly all workers fits only with the workers of the
  // urgent reserve.
  ReservationUsesReserve = !Reservation;
  if (Reservation)
    return;
  BusyWorkers.insert(BusyWorkers.end(), ReserveWorkers.begin(),
                     ReserveWorkers.end());
  Reservation = GangReservation::plan(Request, std::move(BusyWorkers));
}

bool PoolScheduler::knownToFail(const PlacementRequest &Request,
                                const StepCandidate &Candidate,
                                bool MayUseReserve) const {
  FailedRequest Asked = failedRequest(Request, Candidate, MayUseReserve);
  return std::any_of(
      FailedPlacements.begin(), FailedPlacements.end(),
      [&](const FailedRequest &Earlier) { return Earlier.covers(Asked); });
}

FailedRequest PoolScheduler::failedRequest(const PlacementRequest &Request,
                                           const StepCandidate &Candidate,
                                           bool MayUseReserve) const {
  const ReclaimHolds::Hold *Own = ownHold(Candidate);
  return {Request,
          Candidate.Terms->Service,
          Candidate.Step->RequiredLabel,
          Candidate.Step->Estimate,
          Candidate.Guaranteed,
          Candidate.avoidsRisk(),
          !MayUseReserve,
          Own ? std::optional(*Own) : std::nullopt};
}

const ReclaimHolds::Hold *
PoolScheduler::ownHold(const StepCandidate &Candidate) const {
  auto Found = ReclaimingJobs.find(Candidate.Owner->Spec.Id);
  return Found == ReclaimingJobs.end() ? nullptr : &Found->second;
}

bool PoolScheduler::isRisky(const WorkerState &Worker,
                            const StepCandidate &Candidate) const {
  return Worker.LastTaskFailed && Worker.FailedJobs > 0 &&
         Candidate.avoidsRisk();
}

std::vector<WorkerId> PoolScheduler::chooseWorkers(StepCandidate &Candidate,
                                                   bool MaySpanRacks,
                                                   bool MayUseReserve,
                                                   TimePoint Now) {
  PlacementRequest Request = requestFor(Candidate);
  Request.MaySpanRacks = MaySpanRacks;
  // The adviser's permission differs between steps with equal requests.
  if (!Candidate.Terms->Advice &&
      knownToFail(Request, Candidate, MayUseReserve))
    return {};
  listWaitingGroups(Candidate);
  Request.Count = startableTasks(Candidate, requestFor(Candidate).Count);
  Request.Speed = speedPreference(Candidate);
  std::vector<PlacementTarget> Targets =
      placementTargets(Candidate, Request, MayUseReserve, Now);
  std::vector<std::size_t> ChosenTargets = placeTasks(Request, Targets);
  if (ChosenTargets.empty() && !Candidate.Terms->Advice && !Candidate.Suspected)
    FailedPlacements.push_back(
        failedRequest(Request, Candidate, MayUseReserve));
  std::vector<WorkerId> Result;
  Result.reserve(ChosenTargets.size());
  for (std::size_t Target : ChosenTargets)
    Result.push_back(Targets[Target].Worker->Id);
  return Result;
}

ReserveGrant PoolScheduler::reserveGrant(const StepCandidate &Candidate,
                                         TimePoint Now) const {
  PlacementRequest Request = requestFor(Candidate);
  // The look at the workers below is spared where it cannot lead to a start.
  if (!Candidate.Terms->Advice && knownToFail(Request, Candidate, true))
    return ReserveGrant::None;
  ReserveDemand Demand;
  Demand.Service = Candidate.Terms->Service;
  Demand.Tasks = Request.AllOrNothing ? Request.Count : 1;
  StepKey Step = Candidate.stepKey();
  for (const AvailableWorker &Available : AvailableWorkers) {
    const WorkerState &Worker = *Available.Worker;
    if (Worker.InReserve || !canServe(Worker, Candidate, Now))
      continue;
    if (Candidate.Terms->Advice && !Advice.ticket(Step, Worker.Info, Now) &&
        !Advice.mayAsk(Step, Worker.Info, Now))
      continue;
    PlacementTarget Idle;
    Idle.Worker = &Worker.Info;
    Idle.Free = Worker.Info.Capacity;
    Idle.StepTasks = tasksOfStep(Worker, Candidate);
    Demand.FittingOutside += fittingTasks(Request, Idle);
    if (Demand.FittingOutside >= Demand.Tasks)
      break;
  }
  const TaskGroup &First = *Candidate.FirstWaiting;
  auto Groups =
      Candidate.Owner->Progress.groupsOf(First.Occurrence, First.Step);
  Demand.RestoresService =
      Candidate.Step->LongRunning &&
      std::any_of(Groups.begin(), Groups.end(), [](const TaskGroup &Group) {
        return startsFreely(Group) && Group.Run != RunNumber();
      });
  Demand.GangWaits = Reservation.has_value();
  return Access.decide(Demand);
}

bool PoolScheduler::tryPlace(StepCandidate &Candidate, TimePoint Now,
                             bool MaySpanRacks) {
  const StepSpec &Step = *Candidate.Step;
  // A candidate at its cap leaves no entry among the requests known to fail,
  // since it fails for no lack of resources.
  if (isAtCap(Candidate))
    return false;
  bool MayUseReserve =
      Candidate.Terms->Priority == 0 ||
      (ReservationUsesReserve && ReservationOwner == Candidate.Owner->Spec.Id);
  std::vector<WorkerId> ChosenWorkers =
      chooseWorkers(Candidate, MaySpanRacks, MayUseReserve, Now);
  if (ChosenWorkers.empty() && !MayUseReserve && MaySpanRacks) {
    ReserveGrant Grant = reserveGrant(Candidate, Now);
    if (Grant == ReserveGrant::None)
      return false;
    ChosenWorkers = chooseWorkers(Candidate, MaySpanRacks, true, Now);
    if (!ChosenWorkers.empty()) {
      Log.write(LogLevel::Routine, "step.uses_reserve",
                {{"task", taskName(Candidate.FirstWaiting->task(
                              Candidate.Owner->Spec.Id, 0))},
                 {"tasks", ChosenWorkers.size()},
                 {"reason", grantName(Grant)}});
    }
  }
  if (ChosenWorkers.empty())
    return false;
  std::vector<TaskGroup *> Groups = Candidate.Groups;
  if (!Step.Gang)
    Groups.resize(ChosenWorkers.size());
  bool AllPlaced = Groups.size() == Candidate.Groups.size();
  place(Candidate, Groups, ChosenWorkers, Now);
  Candidate.Groups.erase(Candidate.Groups.begin(),
                         Candidate.Groups.begin() +
                             static_cast<std::ptrdiff_t>(Groups.size()));
  return AllPlaced;
}

void PoolScheduler::updateReserve(TimePoint Now) {
  ReserveChosenAt = Now;
  std::vector<FreeWorker> FreeWorkers;
  std::int32_t Total = 0;
  for (const AvailableWorker &Available : AvailableWorkers) {
    const WorkerState &Worker = *Available.Worker;
    Total += Worker.Info.Capacity.Accelerators;
    if (Available.Free.Accelerators > 0)
      FreeWorkers.push_back({&Worker.Info, Available.Free.Accelerators,
                             Worker.InReserve, Worker.Speed});
  }
  std::int32_t Target = Reserve.targetAccelerators(Total, Now);
  std::set<WorkerId> Chosen = Reserve.chooseWorkers(FreeWorkers, Target);
  for (auto &[Id, Worker] : Workers)
    Worker.InReserve = Chosen.contains(Id);
}

void PoolScheduler::schedule(TimePoint Now, WallTime Wall) {
  if (!Configured || !DirectoryCurrent)
    return;
  for (JobId Id : Waits.takeEnded(Now))
    for (const WorkerId &Worker : ReclaimingWorkers)
      Workers.at(Worker).Holds.extend(Id, Now + Limits.ReclaimTime);
  ReclaimingJobs.clear();
  std::erase_if(ReclaimingWorkers, [&](const WorkerId &Id) {
    ReclaimHolds &Holds = Workers.at(Id).Holds;
    if (Holds.dropExpired(Now))
      Reclaims.roomFreed();
    for (const ReclaimHolds::Hold &Kept : Holds.holds())
      ReclaimingJobs.try_emplace(Kept.Job, Kept);
    return Holds.empty();
  });
  std::erase_if(ReclaimedDemands, [this](const auto &Entry) {
    return !ReclaimingJobs.contains(Entry.first);
  });
  FailedPlacements.clear();
  Reclaims.startPass(Now);
  PendingAdvice.reset();
  StopAssessments.clear();
  if (AvailableWorkers.empty())
    listAvailableWorkers();
  std::optional<GangReservation> LastReservation =
      std::exchange(Reservation, std::nullopt);
  std::set<JobId> AtCap;
  bool ReserveUpdated = false;
  for (StepCandidate &Candidate : candidates(Now, Wall)) {
    bool Urgent = Candidate.Terms->Priority == 0;
    // Urgent steps come first, so the reserve is chosen from the resources that
    // they left free.
    if (!Urgent && !std::exchange(ReserveUpdated, true) &&
        Now - ReserveChosenAt >= Limits.ReserveInterval)
      updateReserve(Now);
    bool PrefersOneRack = Candidate.Step->Gang && Candidate.Step->SameRack;
    bool Placed = tryPlace(Candidate, Now, !PrefersOneRack);
    // Nothing is kept or stopped for a candidate that may not start.
    if (!Placed && isAtCap(Candidate)) {
      AtCap.insert(Candidate.Owner->Spec.Id);
      releaseHolds(Candidate.Owner->Spec.Id);
      Waits.drop(Candidate.Owner->Spec.Id);
      continue;
    }
    // tryPlace() does not list the groups of a request that is known to fail.
    if (!Placed && Candidate.Groups.empty() &&
        (Urgent || Candidate.Terms->Advice))
      listWaitingGroups(Candidate);
    JobId Id = Candidate.Owner->Spec.Id;
    bool HasHolds = ReclaimingJobs.contains(Id);
    bool Reclaiming = HasHolds && !Waits.isDue(Id);
    // Nothing is stopped for a suspect that waits for a worker of its own.
    bool MayReclaim = Urgent && !Reclaiming && !Candidate.Isolated;
    if (!Placed && MayReclaim)
      Placed = reclaim(Candidate, PrefersOneRack, Now, Wall);
    if (!Placed && PrefersOneRack && !Reclaiming) {
      Placed = tryPlace(Candidate, Now, true);
      if (!Placed && Urgent)
        reclaim(Candidate, false, Now, Wall);
    }
    if (Candidate.Terms->Advice && !Candidate.Groups.empty() && !PendingAdvice)
      prepareAdviceRequest(Candidate, Now);
    if (Placed && Candidate.Groups.empty() && HasHolds && !Candidate.Isolated)
      releaseHolds(Id);
    // Without a reservation, small tasks would take the resources that a gang
    // waits for. A job that is too late to be of use gets no reservation.
    if (Placed || Urgent || Reservation || !Candidate.Step->Gang ||
        Candidate.Lateness == 2)
      continue;
    if (LastReservation && ReservationOwner == Id &&
        Now - ReservationPlannedAt < Limits.ReservationLifetime)
      Reservation = LastReservation;
    else
      reserveForGang(Candidate, Now);
  }
  logJobsAtCap(std::move(AtCap));
}

PoolOrders PoolScheduler::runPass(TimePoint Now, WallTime Wall) {
  abortIncompleteGangs(Now);
  if (HealthCheckDue)
    Reclaims.roomFreed();
  if (std::exchange(HealthCheckDue, false) ||
      Now - HealthCheckedAt >= Limits.HealthCheckInterval) {
    HealthCheckedAt = Now;
    removeGoneWorkers();
    Failures.expire(Now);
    auto IsListed = [this](const WorkerId &Id) {
      auto Found = Workers.find(Id);
      return Found != Workers.end() && Found->second.Listed;
    };
    for (const SilentWorker &Lost : Silent.takeGone(Now, IsListed))
      settleLosses(Lost, true, "not_heard_of", Now);
    for (auto &[Id, Worker] : Workers)
      Worker.FailedJobs = Failures.failedJobs(Id);
    evacuateDraining(Now);
    evacuateCordoned();
    updateSuspects(Now);
    evacuateSlow(Now);
    updateSpeedClasses(Now);
    clearAvailableWorkers();
  }
  schedule(Now, Wall);
  return dueOrders(Now);
}

} // namespace banyanworks::pool
