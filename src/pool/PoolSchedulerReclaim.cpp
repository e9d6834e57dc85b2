/// \file
/// Implements preemption for urgent work: the choice of runs to stop, by the
/// work that is lost.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Weight of an accelerator, in cores, when losses are compared.
constexpr double CoresPerAccelerator = 8.0;
/// Penalty for stopping urgent work, in core seconds, in addition to the lost
/// work: above any loss of other work, so that other work is preempted first.
constexpr double UrgentStopPenalty = 1e6;

double coreSeconds(const Resources &Held, Duration Time) {
  return (static_cast<double>(Held.MilliCores) / 1000.0 +
          CoresPerAccelerator * Held.Accelerators) *
         toSeconds(Time);
}

} // namespace

double PoolScheduler::stopLoss(const TaskGroup &Group, const Job &Owner,
                               TimePoint Now) {
  auto [Entry, Inserted] = StopLosses.emplace(&Group, 0.0);
  if (!Inserted)
    return Entry->second;
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  double &Loss = Entry->second;
  for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
    const PlacedRun *Run = runOf(Owner, Group, Member);
    if (!Run)
      continue;
    // A checkpointing task loses only the work since its last checkpoint and
    // the time of its restart.
    Duration LostTime = Step.Checkpoints ? std::chrono::milliseconds(500)
                                         : Now - Run->OrderedAt;
    Loss += coreSeconds(Step.PerTask, LostTime);
  }
  return Loss;
}

double PoolScheduler::Victim::costPerFreedCore() const {
  double FreedPerSecond = coreSeconds(Allocated, std::chrono::seconds(1));
  return Loss / std::max(0.001, FreedPerSecond) + StopPenalty;
}

PoolScheduler::ReclaimOffer
PoolScheduler::reclaimOffer(const WorkerState &Worker,
                            const StepCandidate &Candidate, TimePoint Now) {
  ReclaimOffer Result;
  Result.Free = Worker.Info.Capacity - Worker.Allocated;
  for (const auto &[Key, Run] : Worker.Runs) {
    if (Run.StopRequested) {
      Result.Free += Run.Allocated;
      continue;
    }
    GroupRef Ref = findGroup(Key.first);
    if (!Ref.Group ||
        Ref.Owner->Spec.Steps[Key.first.Step].MaxUnavailable != 0 ||
        !mayBePreempted(*Ref.Owner, Run, Candidate))
      continue;
    bool Urgent = Ref.Owner->Terms->Priority == 0;
    Result.Victims.push_back({Ref, Run.Allocated,
                              stopLoss(*Ref.Group, *Ref.Owner, Now),
                              Urgent ? UrgentStopPenalty : 0.0});
  }
  std::stable_sort(Result.Victims.begin(), Result.Victims.end(),
                   [](const Victim &Left, const Victim &Right) {
                     return Left.costPerFreedCore() < Right.costPerFreedCore();
                   });
  return Result;
}

PoolScheduler::VictimSet
PoolScheduler::chooseVictims(const ReclaimOffer &Offer,
                             const StepCandidate &Candidate,
                             std::uint32_t Tasks) {
  Resources Free = Offer.Free;
  Resources Needed =
      Candidate.Step->allocatedResources() * static_cast<std::int32_t>(Tasks);
  VictimSet Result;
  for (const Victim &NextVictim : Offer.Victims) {
    if (Needed.fitsIn(Free))
      break;
    Free += NextVictim.Allocated;
    Result.Groups.push_back(NextVictim.Ref);
    Result.Cost += NextVictim.Loss + NextVictim.StopPenalty;
  }
  if (!Needed.fitsIn(Free))
    Result.Cost = -1.0;
  return Result;
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

bool PoolScheduler::reclaim(StepCandidate &Candidate, bool OneRack,
                            TimePoint Now) {
  PlacementRequest Request = requestFor(Candidate);
  Request.MaySpanRacks = !OneRack;
  // Resources are reclaimed for all waiting tasks at once, even if they start
  // one by one.
  Request.AllOrNothing = true;
  Request.Count = reclaimableTasks(Candidate, Request.Count);
  if (Request.Count == 0)
    return false;
  if (!Candidate.Terms->Advice &&
      knownToFail(FailedReclaims, Request, Candidate))
    return false;
  struct Unit {
    double Cost;
    /// Of units with equal costs, those of the preferred speed class are taken.
    std::size_t ClassRank;
    WorkerId Worker;
    std::uint32_t Tasks;
  };
  SpeedPreference Preference = speedPreference(Candidate);
  std::map<RackId, std::vector<Unit>> Racks;
  std::uint32_t Count = Request.Count;
  for (const auto &[Id, Worker] : Workers) {
    if (!eligible(Worker, Candidate, Now))
      continue;
    if (isReclaimedForOther(Worker, Candidate, Now) ||
        isRisky(Worker, Candidate))
      continue;
    std::vector<Unit> &Units = Racks[OneRack ? Worker.Info.Rack : RackId()];
    ReclaimOffer Offer = reclaimOffer(Worker, Candidate, Now);
    double PreviousCost = 0.0;
    for (std::uint32_t Tasks = 1; Tasks <= Count; ++Tasks) {
      if (Candidate.Step->MaxPerWorker != 0 &&
          Tasks > Candidate.Step->MaxPerWorker)
        break;
      VictimSet Needed = chooseVictims(Offer, Candidate, Tasks);
      if (Needed.Cost < 0.0)
        break;
      Units.push_back({std::max(0.0, Needed.Cost - PreviousCost),
                       classRank(Preference, Worker.Speed), Id, Tasks});
      PreviousCost = std::max(PreviousCost, Needed.Cost);
    }
  }
  const std::vector<Unit> *Best = nullptr;
  double LowestCost = 0.0;
  std::size_t LowestRanks = 0;
  for (auto &[Rack, Units] : Racks) {
    if (Units.size() < Count)
      continue;
    std::stable_sort(Units.begin(), Units.end(),
                     [](const Unit &Left, const Unit &Right) {
                       return std::pair(Left.Cost, Left.ClassRank) <
                              std::pair(Right.Cost, Right.ClassRank);
                     });
    double Cost = 0.0;
    std::size_t Ranks = 0;
    for (std::uint32_t Index = 0; Index < Count; ++Index) {
      Cost += Units[Index].Cost;
      Ranks += Units[Index].ClassRank;
    }
    if (Best && std::pair(Cost, Ranks) >= std::pair(LowestCost, LowestRanks))
      continue;
    Best = &Units;
    LowestCost = Cost;
    LowestRanks = Ranks;
  }
  if (!Best) {
    if (!Candidate.Terms->Advice)
      FailedReclaims.push_back(failedRequest(Request, Candidate));
    return false;
  }
  ReclaimedDemands[Candidate.Owner->Spec.Id] =
      Candidate.Step->PerTask * static_cast<std::int32_t>(Count);
  std::map<WorkerId, std::uint32_t> Tasks;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    ++Tasks[(*Best)[Index].Worker];
  for (const auto &[Id, Number] : Tasks) {
    WorkerState &Worker = Workers.at(Id);
    ReclaimingWorkers.insert(Id);
    Worker.ReclaimedFor = Candidate.Owner->Spec.Id;
    Worker.ReclaimedUntil = Now + Limits.ReclaimTime;
    ReclaimOffer Offer = reclaimOffer(Worker, Candidate, Now);
    for (GroupRef Ref : chooseVictims(Offer, Candidate, Number).Groups) {
      if (Ref.Owner->Terms->Priority == 0) {
        UrgentUse->removeHeld(
            Ref.Owner->Spec.Workspace,
            Ref.Owner->Spec.Steps[Ref.Group->Step].PerTask.Accelerators *
                static_cast<std::int32_t>(Ref.Group->Members));
      }
      abort(*Ref.Owner, *Ref.Group, "reclaimed");
    }
  }
  Log.write(LogLevel::Notice, "job.reclaims",
            {{"job", jobName(Candidate.Owner->Spec.Id)},
             {"workers", Tasks.size()},
             {"loss_core_s", static_cast<std::int64_t>(LowestCost)}});
  return true;
}

} // namespace banyanworks::pool
