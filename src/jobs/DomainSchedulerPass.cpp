/// \file
/// Implements the scheduler's passes over the queue and the reclaim of lent
/// capacity.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <queue>

namespace banyanworks {

namespace {

/// Where a pass stands in one workspace's lane.
struct LaneCursor {
  std::uint8_t Class = 0;
  TimePoint Score;
  WorkspaceId Workspace;
  WorkspaceLane::Head Head;
  std::uint32_t Failed = 0;
};

/// Waiting jobs are tried again after this time although nothing happened.
constexpr Duration RetryInterval = std::chrono::seconds(5);

/// What a checkpoint is taken to cost a gang.
constexpr Duration CheckpointLoss = std::chrono::seconds(10);

struct LaterCursor {
  bool operator()(const LaneCursor &Left, const LaneCursor &Right) const {
    return std::tie(Left.Class, Left.Score, Left.Head.Key.Job) >
           std::tie(Right.Class, Right.Score, Right.Head.Key.Job);
  }
};

bool fitsQuota(std::int64_t Wanted, std::int64_t Quota) {
  return Quota == 0 || Wanted <= Quota;
}

} // namespace

void DomainScheduler::passIfDue() {
  if (!Dirty || Now < LastPass + Settings.PassInterval)
    return;
  if (Now >= startUntil() || !Recovery.mayPlace(Now))
    return;
  LastPass = Now;
  Dirty = false;
  runPass();
}

void DomainScheduler::runPass() {
  PassBudgetLeft = Settings.PassBudget;
  PassExcluded.clear();
  Reserved.expire(Now);
  for (std::uint32_t Rack : Roster.racksInLoss(Now)) {
    auto Slots = Space.cells().racks().find(Rack);
    if (Slots == Space.cells().racks().end())
      continue;
    for (WorkerSlot Slot : Slots->second)
      PassExcluded.push_back(Space.cells().cell(Slot).Info.Id);
  }
  if (NoRoomSince != Space.releaseVersion()) {
    for (std::vector<JobShape> &Shapes : NoRoom)
      Shapes.clear();
    NoRoomSince = Space.releaseVersion();
  }
  passReclaimed();
  if (Order->backfills())
    passGuaranteed();
  passShared();
  if (PassBudgetLeft == 0)
    Dirty = true;
  RetryAt = Queue.size() == 0 ? TimePoint::max() : Now + RetryInterval;
}

void DomainScheduler::passReclaimed() {
  std::vector<JobId> Ready;
  for (const auto &[Beneficiary, Entry] : Reclaims) {
    if (Entry.Victims.empty())
      Ready.push_back(Beneficiary);
  }
  // What was reclaimed for a job is kept from all others, so it is used or
  // given up before others are looked at.
  for (JobId Id : Ready) {
    Job *Target = Jobs.find(Id);
    if (!Target || !Target->InQueue) {
      dropReclaim(Id);
      continue;
    }
    bool Covered = Space.ledger().coversGang(*Target->Spec);
    if (!tryStart(*Target, Covered) && Reclaims.contains(Id) &&
        Reclaims[Id].Victims.empty())
      dropReclaim(Id);
  }
}

void DomainScheduler::passGuaranteed() {
  std::vector<JobId> Covered;
  for (const auto &[Workspace, Lane] : Queue.lanes()) {
    if (Space.ledger().usedAccelerators(Workspace) >=
        Space.ledger().guaranteedAccelerators(Workspace))
      continue;
    std::uint32_t Looked = 0;
    for (const WorkspaceLane::Head &Head : Lane.heads()) {
      if (++Looked > Settings.BackfillDepth)
        break;
      Covered.push_back(Head.Key.Job);
    }
  }
  for (JobId Id : Covered) {
    Job *Target = Jobs.find(Id);
    while (Target && PassBudgetLeft != 0 &&
           Space.ledger().coversGang(*Target->Spec)) {
      WorkspaceId Workspace = Target->Spec->Workspace;
      WorkspaceLane::Head Head{queueKey(*Target), JobShape(*Target->Spec)};
      if (!tryStart(*Target, true))
        break;
      // The next job of the same shape has the same claim.
      const WorkspaceLane *Lane = Queue.lane(Workspace);
      Target = nullptr;
      if (!Lane)
        break;
      for (const WorkspaceLane::Head &Next : Lane->heads()) {
        if (Next.Shape == Head.Shape)
          Target = Jobs.find(Next.Key.Job);
      }
    }
  }
}

void DomainScheduler::passShared() {
  std::priority_queue<LaneCursor, std::vector<LaneCursor>, LaterCursor> Open;
  auto Push = [this, &Open](const WorkspaceId &Workspace,
                            const WorkspaceLane::Head &Head,
                            std::uint32_t Failed) {
    Duration Penalty = Order->penalty(ShareStanding{fairShare(Workspace)});
    Open.push(LaneCursor{Head.Key.Class, Head.Key.Rank + Penalty, Workspace,
                         Head, Failed});
  };
  for (const auto &[Workspace, Lane] : Queue.lanes())
    Push(Workspace, *Lane.heads().begin(), 0);
  while (!Open.empty() && PassBudgetLeft != 0) {
    LaneCursor At = Open.top();
    Open.pop();
    Job *Target = Jobs.find(At.Head.Key.Job);
    bool Guaranteed =
        !Order->backfills() && Space.ledger().coversGang(*Target->Spec);
    if (!tryStart(*Target, Guaranteed)) {
      if (!Order->backfills())
        return;
      if (++At.Failed >= Settings.BackfillDepth)
        continue;
    }
    const WorkspaceLane *Lane = Queue.lane(At.Workspace);
    if (!Lane)
      continue;
    auto Next = Lane->heads().upper_bound(At.Head);
    if (Next != Lane->heads().end())
      Push(At.Workspace, *Next, At.Failed);
  }
}

bool DomainScheduler::tryStart(Job &Target, bool Guaranteed) {
  const JobSpec &Spec = *Target.Spec;
  JobShape Shape(Spec);
  if (!quotaAllows(Spec)) {
    noteWait(Target, Reason::QuotaExceeded);
    return false;
  }
  if (Reclaims.contains(Spec.Id) && !Reclaims[Spec.Id].Victims.empty())
    return false;
  std::vector<JobShape> &Known = NoRoom[Guaranteed ? 1 : 0];
  bool Hopeless =
      std::any_of(Known.begin(), Known.end(), [&Shape](const JobShape &Failed) {
        return Shape.covers(Failed);
      });
  if (Hopeless && !Reserved.find(Spec.Id)) {
    if (Target.Why == Reason::WaitsForTurn)
      noteWait(Target, Reason::WaitsForCapacity);
    return false;
  }
  --PassBudgetLeft;
  GangRequest Request{Target.Spec, Guaranteed, PassExcluded};
  std::vector<WorkerId> Suspects =
      Health.excluded(Spec, Now, Space.cells().workerCount());
  Request.Excluded.insert(Request.Excluded.end(), Suspects.begin(),
                          Suspects.end());
  bool Avoids = !Target.FailedAt.empty() && Space.cells().workerCount() > 1;
  if (Avoids)
    Request.Excluded.push_back(Target.FailedAt);
  for (const auto &[Beneficiary, Entry] : Reclaims) {
    if (Beneficiary == Spec.Id)
      continue;
    Request.Excluded.insert(Request.Excluded.end(), Entry.Workers.begin(),
                            Entry.Workers.end());
  }
  PlacementResult Placement = placeAround(Target, Request);
  if (Placement.placed() && !pinIfNeeded(Target, Request, Placement))
    Placement = PlacementResult{{}, Reason::WaitsForGuarantee};
  if (Placement.placed()) {
    if (!Drain.admitStart(Guaranteed, Spec.Members, Now)) {
      Space.unpin(Spec.Id);
      noteWait(Target, Reason::WaitsForTurn);
      return false;
    }
    start(Target, Placement, Guaranteed);
    return true;
  }
  if (Guaranteed && tryReclaim(Target, Request)) {
    noteWait(Target, Reason::WaitsForReclaim);
    return false;
  }
  // The next pass may use the worker that the last run failed at.
  if (Avoids)
    Target.FailedAt = WorkerId();
  noteWait(Target, Placement.FailureReason);
  dropReclaim(Spec.Id);
  if (Order->backfills()) {
    reserve(Target, Request);
    if (evictFromReserved(Target)) {
      noteWait(Target, Reason::WaitsForReclaim);
      return false;
    }
  }
  if (Reclaims.empty() && !Avoids &&
      Placement.FailureReason != Reason::WaitsForTurn)
    Known.push_back(Shape);
  return false;
}

PlacementResult DomainScheduler::placeAround(Job &Target,
                                             GangRequest &Request) const {
  Target.OnReserved = false;
  PlacementResult Placement = Space.place(Request);
  if (!Placement.placed() || Reserved.empty())
    return Placement;
  JobId Id = Target.Spec->Id;
  TimePoint Ends = Now + Target.Estimate;
  bool Conflict =
      std::any_of(Placement.Members.begin(), Placement.Members.end(),
                  [&](const MemberPlacement &Member) {
                    return Reserved.conflicts(Id, Ends, Member.Worker);
                  });
  if (!Conflict)
    return Placement;
  std::vector<WorkerId> Closed = Reserved.conflictingWorkers(Id, Ends);
  std::size_t Before = Request.Excluded.size();
  Request.Excluded.insert(Request.Excluded.end(), Closed.begin(), Closed.end());
  PlacementResult Outside = Space.place(Request);
  if (Outside.placed())
    return Outside;
  // What can checkpoint may use a reserved worker until the gang's turn comes.
  Target.OnReserved = Target.Spec->Checkpointable && !Request.UnderGuarantee;
  if (!Target.OnReserved)
    return {{}, Reason::WaitsForTurn};
  Request.Excluded.resize(Before);
  return Placement;
}

bool DomainScheduler::evictFromReserved(Job &Target) {
  JobId Id = Target.Spec->Id;
  const Reservation *Kept = Reserved.find(Id);
  if (!Kept || Kept->ExpectedStart > Now)
    return false;
  std::set<JobId> Victims;
  for (const WorkerId &Worker : Kept->Workers) {
    std::optional<WorkerSlot> Slot = Space.cells().slotOf(Worker);
    if (!Slot)
      return false;
    for (const TaskId &Task : Space.cells().cell(*Slot).Tasks) {
      const Job *Other = Jobs.find(Task.Job);
      if (Other && Other->active() && Other->OnReserved &&
          !BeneficiaryOf.contains(Task.Job))
        Victims.insert(Task.Job);
    }
  }
  if (Victims.empty())
    return false;
  Reclaims[Id].Workers.assign(Kept->Workers.begin(), Kept->Workers.end());
  checkpointVictims(Id, {Victims.begin(), Victims.end()});
  return true;
}

bool DomainScheduler::pinIfNeeded(Job &Target, GangRequest &Request,
                                  PlacementResult &Placement) {
  const JobSpec &Spec = *Target.Spec;
  if (Request.UnderGuarantee || Spec.Checkpointable ||
      Spec.PerMember.Accelerators == 0 || !Settings.SpareUncheckpointable)
    return true;
  constexpr int MostTries = 3;
  for (int Try = 0; Try != MostTries; ++Try) {
    if (Space.pin(Spec.Id, Placement.Members))
      return true;
    for (const MemberPlacement &Member : Placement.Members)
      Request.Excluded.push_back(Member.Worker);
    Placement = placeAround(Target, Request);
    if (!Placement.placed())
      return false;
  }
  return false;
}

TimePoint DomainScheduler::expectedEnd(const TaskId &Task) const {
  const Job *Target = Jobs.find(Task.Job);
  if (!Target || !Target->active())
    return Now;
  // What runs on reserved workers leaves when the gang's turn comes.
  if (Target->OnReserved)
    return Now;
  std::optional<TimePoint> Started = Target->Gang->startedAt();
  if (!Started)
    return Now + Target->Estimate;
  return Now +
         Estimator.remaining(*Target->Spec, Target->Kept + (Now - *Started));
}

void DomainScheduler::reserve(const Job &Target, const GangRequest &Request) {
  Reserved.reserve(
      *Target.Spec, Space.cells(),
      [this](const TaskId &Task) { return expectedEnd(Task); },
      Request.Excluded, Now);
}

bool DomainScheduler::tryReclaim(Job &Target, const GangRequest &Request) {
  VictimPlan Plan = Space.victims(Request, loans(), Now);
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
    Job *Loan = Jobs.find(Victim);
    GangContext Context = context();
    Loan->Gang->checkpoint(Context, Settings.CheckpointGrace,
                           Reason::WaitsForReclaim);
    settle(*Loan);
  }
}

void DomainScheduler::noteLoan(const Job &Target) {
  JobId Id = Target.Spec->Id;
  if (Target.UnderGuarantee || Space.isPinned(Id))
    return;
  bool Reclaimable = std::any_of(
      Target.Gang->members().begin(), Target.Gang->members().end(),
      [this](const GangMember &Member) {
        auto Slot = Space.cells().slotOf(Member.Place.Worker);
        return Slot && Space.cells().cell(*Slot).Info.Capacity.Accelerators > 0;
      });
  if (Reclaimable)
    Loans.insert(Id);
}

std::vector<RunningGang> DomainScheduler::loans() const {
  std::vector<RunningGang> Result;
  for (JobId Id : Loans) {
    const Job &Target = *Jobs.find(Id);
    if (BeneficiaryOf.contains(Id) || Target.Gang->stage() > GangStage::Running)
      continue;
    RunningGang Gang{Target.Spec,      Target.Run,       false, Now,
                     Duration::zero(), Target.LastMoved, {}};
    Gang.StartedAt = Target.Gang->startedAt().value_or(Now);
    // A checkpoint keeps all but the time that it takes.
    Duration Ran = Now - Gang.StartedAt;
    Gang.AtRisk =
        Target.Spec->Checkpointable ? std::min(Ran, CheckpointLoss) : Ran;
    for (const GangMember &Member : Target.Gang->members())
      Gang.Members.push_back(Member.Place);
    Result.push_back(std::move(Gang));
  }
  return Result;
}

void DomainScheduler::victimOver(JobId Victim) {
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
  Resources Wanted = Space.usage(Spec.Workspace).InUse +
                     Spec.PerMember * static_cast<std::int32_t>(Spec.Members);
  const Resources &Quota = Found->second.Quota;
  return fitsQuota(Wanted.MilliCores, Quota.MilliCores) &&
         fitsQuota(Wanted.MemoryMiB, Quota.MemoryMiB) &&
         fitsQuota(Wanted.Accelerators, Quota.Accelerators);
}

double DomainScheduler::fairShare(const WorkspaceId &Workspace) const {
  Resources Borrowed = Space.usage(Workspace).Borrowed;
  const Resources &All = Space.cells().capacity();
  auto Part = [](std::int64_t Used, std::int64_t Whole) {
    return Whole <= 0 ? 0.0
                      : static_cast<double>(Used) / static_cast<double>(Whole);
  };
  double Dominant = std::max({Part(Borrowed.MilliCores, All.MilliCores),
                              Part(Borrowed.MemoryMiB, All.MemoryMiB),
                              Part(Borrowed.Accelerators, All.Accelerators)});
  if (!Config || Dominant == 0)
    return 0;
  auto Found = Config->Workspaces.find(Workspace);
  if (Found == Config->Workspaces.end() || Found->second.ShareWeight <= 0)
    return Dominant;
  return Dominant * TotalWeight / Found->second.ShareWeight;
}

void DomainScheduler::noteWait(Job &Target, Reason Why) { Target.Why = Why; }

} // namespace banyanworks
