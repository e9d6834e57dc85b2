/// \file
/// Implements how a PoolScheduler judges workers, and what it moves away from
/// those that are slow or leave.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// A worker on which this many jobs failed lately is left alone.
constexpr std::size_t FailuresToAvoid = 2;
/// When more than one in so many workers looks bad, all are used.
constexpr std::size_t MostSuspects = 3;

} // namespace

void PoolScheduler::judgeWorkers(TimePoint Now) {
  std::vector<Slot *> Suspects;
  for (auto &[Id, On] : Slots) {
    bool Before = std::exchange(On.Suspect, false);
    bool Slow = On.Pace.slow(Now);
    bool Fails = On.Failures.size() >= FailuresToAvoid;
    if (Slow || Fails)
      Suspects.push_back(&On);
    if ((Slow || Fails) && !Before) {
      Log.write(LogLevel::Change, "worker.suspect",
                {{"worker", Id.str()},
                 {"reason", Slow ? "slow" : "failing"},
                 {"failed_jobs", On.Failures.size()}});
    }
  }
  if (Suspects.size() * MostSuspects > Slots.size())
    return;
  for (Slot *On : Suspects)
    On->Suspect = true;
}

void PoolScheduler::abortTasks(const std::vector<TaskKey> &Tasks,
                               std::string_view Why) {
  for (const TaskKey &Task : Tasks) {
    GroupRef Ref = find(Task);
    if (Ref.Group)
      abort(*Ref.Owner, *Ref.Group, Why);
  }
}

void PoolScheduler::moveFromSlow(TimePoint Now) {
  for (auto &[Id, On] : Slots) {
    if (!On.Suspect || !On.Pace.slow(Now))
      continue;
    std::vector<TaskKey> Moved;
    for (const auto &[Key, Run] : On.Runs) {
      GroupRef Ref = find(Key.first);
      if (Run.StopWanted || Run.Phase != RunPhase::Confirmed || !Ref.Group ||
          Run.BestPace <= 0.0)
        continue;
      const StepSpec &Step = Ref.Owner->Spec.Steps[Key.first.Step];
      double Done = std::min(1.0, Run.Percent / 100.0);
      double Kept = Step.Checkpoints ? Done : 0.0;
      if (Step.MayMiss == 0 && !Step.LongRunning &&
          On.Pace.worthMoving(
              Done, Kept, scaled(std::chrono::seconds(100), 1 / Run.BestPace)))
        Moved.push_back(Key.first);
    }
    abortTasks(Moved, "worker_slow");
  }
}

void PoolScheduler::leaveDraining(TimePoint Now) {
  for (auto &[Id, On] : Slots) {
    if (On.LeavesAt == TimePoint::max() || On.Silent)
      continue;
    Duration Left = On.LeavesAt - Now - Limits.StopTime;
    std::vector<TaskKey> Leaving;
    for (const auto &[Key, Run] : On.Runs) {
      if (!Run.StopWanted && Run.Phase == RunPhase::Confirmed &&
          remaining(Key, Run, Now) > Left)
        Leaving.push_back(Key.first);
    }
    abortTasks(Leaving, "worker_leaves");
  }
}

bool PoolScheduler::mayBeAway(const Job &Owner, const TaskGroup &Group) const {
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  if (!Step.LongRunning || Step.MayMiss == 0)
    return true;
  std::uint32_t Away = 0;
  for (const TaskGroup &Other : Owner.Progress.groups()) {
    if (Other.Step != Group.Step || Other.Occurrence != Group.Occurrence)
      continue;
    const PlacedRun *Run =
        Other.State == GroupState::Active ? runOf(Owner, Other, 0) : nullptr;
    bool AtWork = Run && !Run->StopWanted && Run->Percent == 100;
    Away += AtWork ? 0 : 1;
  }
  return Away < Step.MayMiss;
}

void PoolScheduler::leavePressed() {
  for (const WorkerId &Id : LeavingWorkers) {
    auto Found = Slots.find(Id);
    if (Found == Slots.end())
      continue;
    std::vector<TaskKey> Leaving;
    for (const auto &[Key, Run] : Found->second.Runs) {
      GroupRef Ref = find(Key.first);
      if (Run.StopWanted || !Ref.Group)
        continue;
      // A long-running task would never end by itself.
      bool Lasts = Ref.Owner->Spec.Steps[Key.first.Step].LongRunning;
      if (Lasts || PressedWorkers.contains(Id))
        Leaving.push_back(Key.first);
    }
    for (const TaskKey &Task : Leaving) {
      GroupRef Ref = find(Task);
      if (Ref.Group && mayBeAway(*Ref.Owner, *Ref.Group))
        abort(*Ref.Owner, *Ref.Group, "maintenance");
    }
  }
}

void PoolScheduler::forgetWorkers() {
  std::erase_if(Slots, [this](const auto &Entry) {
    const auto &[Id, On] = Entry;
    bool Gone = !On.Listed && On.Runs.empty() && On.OpenEnds.empty();
    if (Gone)
      forgetWorker(Id);
    return Gone;
  });
}

void PoolScheduler::forgetWorker(const WorkerId &Id) {
  for (std::set<WorkerId> *Noted :
       {&Ordering, &Filled, &Ending, &Reserved, &Renewals})
    Noted->erase(Id);
  closeRooms();
}

void PoolScheduler::dropIdle() {
  std::erase_if(Ordering, [this](const WorkerId &Id) {
    const RunTable &Runs = Slots.at(Id).Runs;
    return std::none_of(Runs.begin(), Runs.end(), [](const auto &Entry) {
      const PlacedRun &Run = Entry.second;
      return Run.StopWanted || Run.Phase <= RunPhase::Ordered;
    });
  });
  std::erase_if(
      Filled, [this](const WorkerId &Id) { return Slots.at(Id).Runs.empty(); });
}

} // namespace banyanworks::pool
