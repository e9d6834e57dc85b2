/// \file
/// Implements the scheduling passes over the queue and reclaiming borrowed
/// capacity.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <queue>

namespace banyanworks {

namespace {

/// Position of a pass in one workspace's queue.
struct QueueCursor {
  std::uint8_t UrgencyClass = 0;
  TimePoint Score;
  WorkspaceId Workspace;
  WorkspaceQueue::Head Head;
  std::uint32_t Failed = 0;
};

/// Waiting jobs are retried at this interval without any event.
constexpr Duration RetryInterval = std::chrono::seconds(5);

/// Estimated run time that a gang loses to a checkpoint.
constexpr Duration CheckpointCost = std::chrono::seconds(10);

struct LaterCursor {
  bool operator()(const QueueCursor &Left, const QueueCursor &Right) const {
    return std::tie(Left.UrgencyClass, Left.Score, Left.Head.Key.Job) >
           std::tie(Right.UrgencyClass, Right.Score, Right.Head.Key.Job);
  }
};

bool fitsQuota(std::int64_t Requested, std::int64_t Quota) {
  return Quota == 0 || Requested <= Quota;
}

} // namespace

void DomainScheduler::runPassIfDue() {
  if (!PassNeeded || Now < LastPass + Settings.PassInterval)
    return;
  if (Now >= startPermittedUntil() || !Recovery.mayPlace(Now))
    return;
  LastPass = Now;
  PassNeeded = false;
  runPass();
}

void DomainScheduler::runPass() {
  PassBudgetLeft = Settings.PassBudget;
  PassExcluded.clear();
  GangReservations.expire(Now);
  for (std::uint32_t Rack : KnownWorkers.racksWithLossInProgress(Now)) {
    auto Slots = Capacity.cells().racks().find(Rack);
    if (Slots == Capacity.cells().racks().end())
      continue;
    for (WorkerSlot Slot : Slots->second)
      PassExcluded.push_back(Capacity.cells().cell(Slot).Info.Id);
  }
  if (UnplaceableVersion != Capacity.releaseVersion()) {
    for (std::vector<JobShape> &Shapes : UnplaceableShapes)
      Shapes.clear();
    UnplaceableVersion = Capacity.releaseVersion();
  }
  runReclaimedPass();
  if (QueueOrder->allowsBackfill())
    runGuaranteedPass();
  runSharedPass();
  if (PassBudgetLeft == 0)
    PassNeeded = true;
  NextRetry = Queue.size() == 0 ? TimePoint::max() : Now + RetryInterval;
}

void DomainScheduler::runReclaimedPass() {
  std::vector<JobId> ReadyJobs;
  for (const auto &[Beneficiary, Entry] : Reclaims) {
    if (Entry.Victims.empty())
      ReadyJobs.push_back(Beneficiary);
  }
  // Reclaimed workers are unavailable to all other jobs, so the beneficiary is
  // placed or its reclaim dropped before any other job is considered.
  for (JobId Id : ReadyJobs) {
    Job *Target = Jobs.find(Id);
    if (!Target || !Target->InQueue) {
      dropReclaim(Id);
      continue;
    }
    bool Covered = Capacity.ledger().coversGang(*Target->Spec);
    if (!tryStart(*Target, Covered) && Reclaims.contains(Id) &&
        Reclaims[Id].Victims.empty())
      dropReclaim(Id);
  }
}

void DomainScheduler::runGuaranteedPass() {
  std::vector<JobId> CoveredJobs;
  for (const auto &[Workspace, Waiting] : Queue.queues()) {
    if (Capacity.ledger().usedAccelerators(Workspace) >=
        Capacity.ledger().guaranteedAccelerators(Workspace))
      continue;
    std::uint32_t Examined = 0;
    for (const WorkspaceQueue::Head &Head : Waiting.heads()) {
      if (++Examined > Settings.BackfillDepth)
        break;
      CoveredJobs.push_back(Head.Key.Job);
    }
  }
  for (JobId Id : CoveredJobs) {
    Job *Target = Jobs.find(Id);
    while (Target && PassBudgetLeft != 0 &&
           Capacity.ledger().coversGang(*Target->Spec)) {
      WorkspaceId Workspace = Target->Spec->Workspace;
      WorkspaceQueue::Head Head{queueKey(*Target), JobShape(*Target->Spec)};
      if (!tryStart(*Target, true))
        break;
      // The next job of the same shape may be covered by the same guarantee.
      const WorkspaceQueue *Waiting = Queue.queue(Workspace);
      Target = nullptr;
      if (!Waiting)
        break;
      for (const WorkspaceQueue::Head &Next : Waiting->heads()) {
        if (Next.Shape == Head.Shape)
          Target = Jobs.find(Next.Key.Job);
      }
    }
  }
}

void DomainScheduler::runSharedPass() {
  std::priority_queue<QueueCursor, std::vector<QueueCursor>, LaterCursor>
      Cursors;
  auto Push = [this, &Cursors](const WorkspaceId &Workspace,
                               const WorkspaceQueue::Head &Head,
                               std::uint32_t Failed) {
    Duration Penalty =
        QueueOrder->penalty(ShareUsage{fairShareRatio(Workspace)});
    Cursors.push(QueueCursor{Head.Key.UrgencyClass, Head.Key.Rank + Penalty,
                             Workspace, Head, Failed});
  };
  for (const auto &[Workspace, Waiting] : Queue.queues())
    Push(Workspace, *Waiting.heads().begin(), 0);
  while (!Cursors.empty() && PassBudgetLeft != 0) {
    QueueCursor Cursor = Cursors.top();
    Cursors.pop();
    Job *Target = Jobs.find(Cursor.Head.Key.Job);
    bool Guaranteed = !QueueOrder->allowsBackfill() &&
                      Capacity.ledger().coversGang(*Target->Spec);
    if (!tryStart(*Target, Guaranteed)) {
      if (!QueueOrder->allowsBackfill())
        return;
      if (++Cursor.Failed >= Settings.BackfillDepth)
        continue;
    }
    const WorkspaceQueue *Waiting = Queue.queue(Cursor.Workspace);
    if (!Waiting)
      continue;
    auto Next = Waiting->heads().upper_bound(Cursor.Head);
    if (Next != Waiting->heads().end())
      Push(Cursor.Workspace, *Next, Cursor.Failed);
  }
}

bool DomainScheduler::tryStart(Job &Target, bool Guaranteed) {
  const JobSpec &Spec = *Target.Spec;
  JobShape Shape(Spec);
  if (!quotaAllows(Spec)) {
    setWaitReason(Target, Reason::QuotaExceeded);
    return false;
  }
  if (Reclaims.contains(Spec.Id) && !Reclaims[Spec.Id].Victims.empty())
    return false;
  std::vector<JobShape> &Unplaceable = UnplaceableShapes[Guaranteed ? 1 : 0];
  bool KnownUnplaceable = std::any_of(Unplaceable.begin(), Unplaceable.end(),
                                      [&Shape](const JobShape &Failed) {
                                        return Shape.requiresAtLeast(Failed);
                                      });
  if (KnownUnplaceable && !GangReservations.find(Spec.Id)) {
    if (Target.StatusReason == Reason::WaitsForTurn)
      setWaitReason(Target, Reason::WaitsForCapacity);
    return false;
  }
  --PassBudgetLeft;
  GangRequest Request{Target.Spec, Guaranteed, PassExcluded};
  std::vector<WorkerId> Quarantined =
      Health.excludedWorkers(Spec, Now, Capacity.cells().workerCount());
  Request.Excluded.insert(Request.Excluded.end(), Quarantined.begin(),
                          Quarantined.end());
  bool AvoidsFailedWorker =
      !Target.LastFailedWorker.empty() && Capacity.cells().workerCount() > 1;
  if (AvoidsFailedWorker)
    Request.Excluded.push_back(Target.LastFailedWorker);
  for (const auto &[Beneficiary, Entry] : Reclaims) {
    if (Beneficiary == Spec.Id)
      continue;
    Request.Excluded.insert(Request.Excluded.end(), Entry.Workers.begin(),
                            Entry.Workers.end());
  }
  PlacementResult Placement = placeAvoidingReservations(Target, Request);
  if (Placement.placed() && !pinIfNeeded(Target, Request, Placement))
    Placement = PlacementResult{{}, Reason::WaitsForGuarantee};
  if (Placement.placed()) {
    if (!Drain.admitStart(Guaranteed, Spec.Members, Now)) {
      Capacity.unpin(Spec.Id);
      setWaitReason(Target, Reason::WaitsForTurn);
      return false;
    }
    startGang(Target, Placement, Guaranteed);
    return true;
  }
  if (Guaranteed && tryReclaim(Target, Request)) {
    setWaitReason(Target, Reason::WaitsForReclaim);
    return false;
  }
  // Allows the next pass to use the worker at which the last run failed.
  if (AvoidsFailedWorker)
    Target.LastFailedWorker = WorkerId();
  setWaitReason(Target, Placement.FailureReason);
  dropReclaim(Spec.Id);
  if (QueueOrder->allowsBackfill()) {
    reserve(Target, Request);
    if (evictFromReserved(Target)) {
      setWaitReason(Target, Reason::WaitsForReclaim);
      return false;
    }
  }
  if (Reclaims.empty() && !AvoidsFailedWorker &&
      Placement.FailureReason != Reason::WaitsForTurn)
    Unplaceable.push_back(Shape);
  return false;
}

PlacementResult
DomainScheduler::placeAvoidingReservations(Job &Target,
                                           GangRequest &Request) const {
  Target.UsesReservedWorkers = false;
  PlacementResult Placement = Capacity.place(Request);
  if (!Placement.placed() || GangReservations.empty())
    return Placement;
  JobId Id = Target.Spec->Id;
  TimePoint ExpectedEnd = Now + Target.Estimate;
  bool Conflict = std::any_of(
      Placement.Members.begin(), Placement.Members.end(),
      [&](const MemberPlacement &Member) {
        return GangReservations.conflicts(Id, ExpectedEnd, Member.Worker);
      });
  if (!Conflict)
    return Placement;
  std::vector<WorkerId> Conflicting =
      GangReservations.conflictingWorkers(Id, ExpectedEnd);
  std::size_t ExcludedCount = Request.Excluded.size();
  Request.Excluded.insert(Request.Excluded.end(), Conflicting.begin(),
                          Conflicting.end());
  PlacementResult Unreserved = Capacity.place(Request);
  if (Unreserved.placed())
    return Unreserved;
  // A checkpointable gang may use a reserved worker until the reserving gang
  // can start.
  Target.UsesReservedWorkers =
      Target.Spec->Checkpointable && !Request.UnderGuarantee;
  if (!Target.UsesReservedWorkers)
    return {{}, Reason::WaitsForTurn};
  Request.Excluded.resize(ExcludedCount);
  return Placement;
}

bool DomainScheduler::evictFromReserved(Job &Target) {
  JobId Id = Target.Spec->Id;
  const Reservation *Reserving = GangReservations.find(Id);
  if (!Reserving || Reserving->ExpectedStart > Now)
    return false;
  std::set<JobId> Victims;
  for (const WorkerId &Worker : Reserving->Workers) {
    std::optional<WorkerSlot> Slot = Capacity.cells().slotOf(Worker);
    if (!Slot)
      return false;
    for (const TaskId &Task : Capacity.cells().cell(*Slot).Tasks) {
      const Job *Other = Jobs.find(Task.Job);
      if (Other && Other->active() && Other->UsesReservedWorkers &&
          !BeneficiaryOf.contains(Task.Job))
        Victims.insert(Task.Job);
    }
  }
  if (Victims.empty())
    return false;
  Reclaims[Id].Workers.assign(Reserving->Workers.begin(),
                              Reserving->Workers.end());
  checkpointVictims(Id, {Victims.begin(), Victims.end()});
  return true;
}

bool DomainScheduler::pinIfNeeded(Job &Target, GangRequest &Request,
                                  PlacementResult &Placement) {
  const JobSpec &Spec = *Target.Spec;
  if (Request.UnderGuarantee || Spec.Checkpointable ||
      Spec.PerMember.Accelerators == 0 || !Settings.ProtectUncheckpointable)
    return true;
  constexpr int MaxAttempts = 3;
  for (int Attempt = 0; Attempt != MaxAttempts; ++Attempt) {
    if (Capacity.pin(Spec.Id, Placement.Members))
      return true;
    for (const MemberPlacement &Member : Placement.Members)
      Request.Excluded.push_back(Member.Worker);
    Placement = placeAvoidingReservations(Target, Request);
    if (!Placement.placed())
      return false;
  }
  return false;
}

TimePoint DomainScheduler::expectedEnd(const TaskId &Task) const {
  const Job *Target = Jobs.find(Task.Job);
  if (!Target || !Target->active())
    return Now;
  // Tasks on reserved workers are evicted as soon as the reserving gang can
  // start.
  if (Target->UsesReservedWorkers)
    return Now;
  std::optional<TimePoint> Started = Target->Gang->startedAt();
  if (!Started)
    return Now + Target->Estimate;
  return Now + Estimator.remaining(*Target->Spec,
                                   Target->SavedRunTime + (Now - *Started));
}

void DomainScheduler::reserve(const Job &Target, const GangRequest &Request) {
  GangReservations.reserve(
      *Target.Spec, Capacity.cells(),
      [this](const TaskId &Task) { return expectedEnd(Task); },
      Request.Excluded, Now);
}

bool DomainScheduler::tryReclaim(Job &Target, const GangRequest &Request) {
  VictimPlan Plan = Capacity.victims(Request, reclaimableGangs(), Now);
  if (Plan.Victims.empty() || !Plan.Placement.placed())
    return false;
  JobId Beneficiary = Target.Spec->Id;
  dropReclaim(Beneficiary);
  Reclaim &Entry = Reclaims[Beneficiary];
  for (const MemberPlacement &Member : Plan.Placement.Members)
    Entry.Workers.push_back(Member.Worker);
  checkpointVictims(Beneficiary, Plan.Victims);
  return true;
}

void DomainScheduler::checkpointVictims(JobId Beneficiary,
                                        const std::vector<JobId> &Victims) {
  Reclaims[Beneficiary].Victims = {Victims.begin(), Victims.end()};
  for (JobId Victim : Victims)
    BeneficiaryOf[Victim] = Beneficiary;
  for (JobId Victim : Victims) {
    Job *VictimJob = Jobs.find(Victim);
    GangContext Context = context();
    VictimJob->Gang->checkpoint(Context, Settings.CheckpointGrace,
                                Reason::WaitsForReclaim);
    applyGangStage(*VictimJob);
  }
}

void DomainScheduler::trackBorrowingJob(const Job &Target) {
  JobId Id = Target.Spec->Id;
  if (Target.UnderGuarantee || Capacity.isPinned(Id))
    return;
  bool Reclaimable = std::any_of(
      Target.Gang->members().begin(), Target.Gang->members().end(),
      [this](const GangMember &Member) {
        auto Slot = Capacity.cells().slotOf(Member.Placement.Worker);
        return Slot &&
               Capacity.cells().cell(*Slot).Info.Capacity.Accelerators > 0;
      });
  if (Reclaimable)
    BorrowingJobs.insert(Id);
}

std::vector<RunningGang> DomainScheduler::reclaimableGangs() const {
  std::vector<RunningGang> Result;
  for (JobId Id : BorrowingJobs) {
    const Job &Target = *Jobs.find(Id);
    if (BeneficiaryOf.contains(Id) || Target.Gang->stage() > GangStage::Running)
      continue;
    RunningGang Gang{Target.Spec,      Target.Run,       false, Now,
                     Duration::zero(), Target.LastMoved, {}};
    Gang.StartedAt = Target.Gang->startedAt().value_or(Now);
    // A checkpoint saves all progress except the time it takes.
    Duration RunTime = Now - Gang.StartedAt;
    Gang.AtRisk = Target.Spec->Checkpointable
                      ? std::min(RunTime, CheckpointCost)
                      : RunTime;
    for (const GangMember &Member : Target.Gang->members())
      Gang.Members.push_back(Member.Placement);
    Result.push_back(std::move(Gang));
  }
  return Result;
}

void DomainScheduler::onVictimEnded(JobId Victim) {
  auto Found = BeneficiaryOf.find(Victim);
  if (Found == BeneficiaryOf.end())
    return;
  auto Entry = Reclaims.find(Found->second);
  if (Entry != Reclaims.end())
    Entry->second.Victims.erase(Victim);
  BeneficiaryOf.erase(Found);
}

void DomainScheduler::dropReclaim(JobId Beneficiary) {
  auto Found = Reclaims.find(Beneficiary);
  if (Found == Reclaims.end())
    return;
  for (JobId Victim : Found->second.Victims)
    BeneficiaryOf.erase(Victim);
  Reclaims.erase(Found);
}

bool DomainScheduler::quotaAllows(const JobSpec &Spec) const {
  if (!Config)
    return true;
  auto Found = Config->Workspaces.find(Spec.Workspace);
  if (Found == Config->Workspaces.end())
    return true;
  Resources RequestedUsage =
      Capacity.usage(Spec.Workspace).InUse +
      Spec.PerMember * static_cast<std::int32_t>(Spec.Members);
  const Resources &Quota = Found->second.Quota;
  return fitsQuota(RequestedUsage.MilliCores, Quota.MilliCores) &&
         fitsQuota(RequestedUsage.MemoryMiB, Quota.MemoryMiB) &&
         fitsQuota(RequestedUsage.Accelerators, Quota.Accelerators);
}

double DomainScheduler::fairShareRatio(const WorkspaceId &Workspace) const {
  Resources Borrowed = Capacity.usage(Workspace).Borrowed;
  const Resources &DomainResources = Capacity.cells().capacity();
  auto Fraction = [](std::int64_t Used, std::int64_t Total) {
    return Total <= 0 ? 0.0
                      : static_cast<double>(Used) / static_cast<double>(Total);
  };
  double DominantShare =
      std::max({Fraction(Borrowed.MilliCores, DomainResources.MilliCores),
                Fraction(Borrowed.MemoryMiB, DomainResources.MemoryMiB),
                Fraction(Borrowed.Accelerators, DomainResources.Accelerators)});
  if (!Config || DominantShare == 0)
    return 0;
  auto Found = Config->Workspaces.find(Workspace);
  if (Found == Config->Workspaces.end() || Found->second.ShareWeight <= 0)
    return DominantShare;
  return DominantShare * TotalWeight / Found->second.ShareWeight;
}

void DomainScheduler::setWaitReason(Job &Target, Reason Cause) {
  Target.StatusReason = Cause;
}

} // namespace banyanworks
