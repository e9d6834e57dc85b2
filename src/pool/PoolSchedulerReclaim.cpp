/// \file
/// Implements how urgent work gets room: which runs are stopped for it, by what
/// that loses.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// An accelerator is worth this many cores when losses are compared.
constexpr double CoresPerAccelerator = 8.0;
/// What it costs to stop urgent work, in core seconds, beside what is lost:
/// above any loss of other work, so that this gives way first.
constexpr double UrgentLoss = 1e6;

double coreSeconds(const Resources &Room, Duration Time) {
  return (static_cast<double>(Room.MilliCores) / 1000.0 +
          CoresPerAccelerator * Room.Accelerators) *
         toSeconds(Time);
}

} // namespace

double PoolScheduler::lossOf(const TaskGroup &Group, const Job &Owner,
                             TimePoint Now) {
  auto [Known, New] = Losses.emplace(&Group, 0.0);
  if (!New)
    return Known->second;
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  double &Loss = Known->second;
  for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
    const PlacedRun *Run = runOf(Owner, Group, Member);
    if (!Run)
      continue;
    // A checkpointing task loses only what it did since the last checkpoint,
    // and the time of its restart.
    Duration Spent = Step.Checkpoints ? std::chrono::milliseconds(500)
                                      : Now - Run->OrderedAt;
    Loss += coreSeconds(Step.PerTask, Spent);
  }
  return Loss;
}

double PoolScheduler::Victim::costForRoom() const {
  double Freed = coreSeconds(Room, std::chrono::seconds(1));
  return Loss / std::max(0.001, Freed) + Extra;
}

PoolScheduler::Offer
PoolScheduler::offerOf(const Slot &On, const Candidate &For, TimePoint Now) {
  Offer Result;
  Result.Free = On.Info.Capacity - On.Used;
  for (const auto &[Key, Run] : On.Runs) {
    if (Run.StopWanted) {
      Result.Free += Run.Room;
      continue;
    }
    GroupRef Ref = find(Key.first);
    if (!Ref.Group || Ref.Owner->Spec.Steps[Key.first.Step].MayMiss != 0 ||
        !givesWay(*Ref.Owner, Run, For))
      continue;
    bool Urgent = Ref.Owner->Terms->Priority == 0;
    Result.Choices.push_back({Ref, Run.Room,
                              lossOf(*Ref.Group, *Ref.Owner, Now),
                              Urgent ? UrgentLoss : 0.0});
  }
  std::stable_sort(Result.Choices.begin(), Result.Choices.end(),
                   [](const Victim &Left, const Victim &Right) {
                     return Left.costForRoom() < Right.costForRoom();
                   });
  return Result;
}

PoolScheduler::Victims PoolScheduler::victimsOf(const Offer &Of,
                                                const Candidate &For,
                                                std::uint32_t Tasks) {
  Resources Free = Of.Free;
  Resources Wanted = For.Step->held() * static_cast<std::int32_t>(Tasks);
  Victims Result;
  for (const Victim &Next : Of.Choices) {
    if (Wanted.fitsIn(Free))
      break;
    Free += Next.Room;
    Result.Groups.push_back(Next.Ref);
    Result.Cost += Next.Loss + Next.Extra;
  }
  if (!Wanted.fitsIn(Free))
    Result.Cost = -1.0;
  return Result;
}

bool PoolScheduler::givesWay(const Job &Owner, const PlacedRun &Run,
                             const Candidate &For) const {
  if (Owner.Terms->Priority != 0)
    return true;
  return For.Guaranteed &&
         Guarantees->canReturn(Owner.Spec.Workspace, Run.Room.Accelerators);
}

void PoolScheduler::countGuarantees() {
  Guarantees.emplace(Configuration.Guarantees);
  for (const auto &[Id, Each] : Jobs) {
    if (isFinal(Each.Status) || Each.Terms->Priority != 0)
      continue;
    Guarantees->needs(Each.Spec);
    if (Each.Live == 0)
      continue;
    for (const TaskGroup &Group : Each.Progress.groups()) {
      if (Group.State == GroupState::Active) {
        Guarantees->holds(Each.Spec.Workspace,
                          Each.Spec.Steps[Group.Step].PerTask.Accelerators *
                              static_cast<std::int32_t>(Group.Members));
      }
    }
  }
}

bool PoolScheduler::reclaim(Candidate &Urgent, bool OneRack, TimePoint Now) {
  PlacementRequest Request = requestFor(Urgent);
  Request.MaySpan = !OneRack;
  // Room is reclaimed for all tasks that wait, also where they start one by
  // one.
  Request.Whole = true;
  if (!Urgent.Terms->Advice && knownToFail(NotReclaimed, Request, Urgent))
    return false;
  struct Unit {
    double Cost;
    WorkerId Worker;
    std::uint32_t Tasks;
  };
  std::map<RackId, std::vector<Unit>> Racks;
  std::uint32_t Count = Urgent.Step->Gang
                            ? Urgent.Step->Tasks
                            : static_cast<std::uint32_t>(Urgent.Groups.size());
  for (const auto &[Id, On] : Slots) {
    if (!eligible(On, Urgent, Now))
      continue;
    if (isReserved(On, Urgent, Now) || isRisky(On, Urgent))
      continue;
    std::vector<Unit> &Units = Racks[OneRack ? On.Info.Rack : RackId()];
    Offer Given = offerOf(On, Urgent, Now);
    double Before = 0.0;
    for (std::uint32_t Tasks = 1; Tasks <= Count; ++Tasks) {
      if (Urgent.Step->MaxPerWorker != 0 && Tasks > Urgent.Step->MaxPerWorker)
        break;
      Victims Needed = victimsOf(Given, Urgent, Tasks);
      if (Needed.Cost < 0.0)
        break;
      Units.push_back({std::max(0.0, Needed.Cost - Before), Id, Tasks});
      Before = std::max(Before, Needed.Cost);
    }
  }
  const std::vector<Unit> *Best = nullptr;
  double Least = 0.0;
  for (auto &[Rack, Units] : Racks) {
    if (Units.size() < Count)
      continue;
    std::stable_sort(Units.begin(), Units.end(),
                     [](const Unit &Left, const Unit &Right) {
                       return Left.Cost < Right.Cost;
                     });
    double Cost = 0.0;
    for (std::uint32_t At = 0; At < Count; ++At)
      Cost += Units[At].Cost;
    if (Best && Cost >= Least)
      continue;
    Best = &Units;
    Least = Cost;
  }
  if (!Best) {
    if (!Urgent.Terms->Advice)
      NotReclaimed.push_back(noRoomFor(Request, Urgent));
    return false;
  }
  std::map<WorkerId, std::uint32_t> Tasks;
  for (std::uint32_t At = 0; At < Count; ++At)
    ++Tasks[(*Best)[At].Worker];
  for (const auto &[Id, Number] : Tasks) {
    Slot &On = Slots.at(Id);
    Reserved.insert(Id);
    On.ReservedFor = Urgent.Owner->Spec.Id;
    On.ReservedUntil = Now + Limits.ReclaimTime;
    Offer Given = offerOf(On, Urgent, Now);
    for (GroupRef Ref : victimsOf(Given, Urgent, Number).Groups) {
      if (Ref.Owner->Terms->Priority == 0) {
        Guarantees->released(
            Ref.Owner->Spec.Workspace,
            Ref.Owner->Spec.Steps[Ref.Group->Step].PerTask.Accelerators *
                static_cast<std::int32_t>(Ref.Group->Members));
      }
      abort(*Ref.Owner, *Ref.Group, "reclaimed");
    }
  }
  Log.write(LogLevel::Notice, "job.reclaims",
            {{"job", jobName(Urgent.Owner->Spec.Id)},
             {"workers", Tasks.size()},
             {"loss_core_s", static_cast<std::int64_t>(Least)}});
  return true;
}

} // namespace banyanworks::pool
