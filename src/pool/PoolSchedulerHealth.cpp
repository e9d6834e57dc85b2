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

void PoolScheduler::updateSuspects(TimePoint Now) {
  std::vector<WorkerState *> Suspects;
  for (auto &[Id, On] : Workers) {
    bool Before = std::exchange(On.Suspect, false);
    bool Slow = On.Slowdown.slow(Now);
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
  if (Suspects.size() * MostSuspects > Workers.size())
    return;
  for (WorkerState *On : Suspects)
    On->Suspect = true;
}

void PoolScheduler::abortTasks(const std::vector<TaskKey> &Tasks,
                               std::string_view Reason) {
  for (const TaskKey &Task : Tasks) {
    GroupRef Ref = findGroup(Task);
    if (Ref.Group)
      abort(*Ref.Owner, *Ref.Group, Reason);
  }
}

void PoolScheduler::evacuateSlow(TimePoint Now) {
  for (auto &[Id, On] : Workers) {
    if (!On.Suspect || !On.Slowdown.slow(Now))
      continue;
    std::vector<TaskKey> Moved;
    for (const auto &[Key, Run] : On.Runs) {
      GroupRef Ref = findGroup(Key.first);
      if (Run.StopRequested || Run.Phase != RunPhase::Confirmed || !Ref.Group ||
          Run.BestSpeed <= 0.0)
        continue;
      const StepSpec &Step = Ref.Owner->Spec.Steps[Key.first.Step];
      double Done = std::min(1.0, Run.ProgressPercent / 100.0);
      double Kept = Step.Checkpoints ? Done : 0.0;
      if (Step.MayMiss == 0 && !Step.LongRunning &&
          On.Slowdown.worthMoving(
              Done, Kept, scaled(std::chrono::seconds(100), 1 / Run.BestSpeed)))
        Moved.push_back(Key.first);
    }
    abortTasks(Moved, "worker_slow");
  }
}

void PoolScheduler::evacuateDraining(TimePoint Now) {
  for (auto &[Id, On] : Workers) {
    if (On.LeavesAt == TimePoint::max() || On.Unresponsive)
      continue;
    Duration Left = On.LeavesAt - Now - Limits.StopTime;
    std::vector<TaskKey> Leaving;
    for (const auto &[Key, Run] : On.Runs) {
      if (!Run.StopRequested && Run.Phase == RunPhase::Confirmed &&
          remaining(Key, Run, Now) > Left)
        Leaving.push_back(Key.first);
    }
    abortTasks(Leaving, "worker_leaves");
  }
}

bool PoolScheduler::mayStopMember(const Job &Owner,
                                  const TaskGroup &Group) const {
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  if (!Step.LongRunning || Step.MayMiss == 0)
    return true;
  std::uint32_t Away = 0;
  for (const TaskGroup &Other : Owner.Progress.groups()) {
    if (Other.Step != Group.Step || Other.Occurrence != Group.Occurrence)
      continue;
    const PlacedRun *Run =
        Other.State == GroupState::Active ? runOf(Owner, Other, 0) : nullptr;
    bool AtWork = Run && !Run->StopRequested && Run->ProgressPercent == 100;
    Away += AtWork ? 0 : 1;
  }
  return Away < Step.MayMiss;
}

void PoolScheduler::evacuateCordoned() {
  for (const WorkerId &Id : CordonedWorkers) {
    auto Found = Workers.find(Id);
    if (Found == Workers.end())
      continue;
    std::vector<TaskKey> Leaving;
    for (const auto &[Key, Run] : Found->second.Runs) {
      GroupRef Ref = findGroup(Key.first);
      if (Run.StopRequested || !Ref.Group)
        continue;
      // A long-running task would never end by itself.
      bool Lasts = Ref.Owner->Spec.Steps[Key.first.Step].LongRunning;
      if (Lasts || EvacuatingWorkers.contains(Id))
        Leaving.push_back(Key.first);
    }
    for (const TaskKey &Task : Leaving) {
      GroupRef Ref = findGroup(Task);
      if (Ref.Group && mayStopMember(*Ref.Owner, *Ref.Group))
        abort(*Ref.Owner, *Ref.Group, "maintenance");
    }
  }
}

void PoolScheduler::removeGoneWorkers() {
  std::erase_if(Workers, [this](const auto &Entry) {
    const auto &[Id, On] = Entry;
    bool Gone = !On.Listed && On.Runs.empty() && On.OpenEnds.empty();
    if (Gone)
      dropWorkerReferences(Id);
    return Gone;
  });
}

void PoolScheduler::dropWorkerReferences(const WorkerId &Id) {
  for (std::set<WorkerId> *Noted :
       {&WorkersWithPendingOrders, &BestEffortWorkers,
        &WorkersWithUnrecordedEnds, &ReclaimingWorkers, &Renewals})
    Noted->erase(Id);
  clearAvailableWorkers();
}

void PoolScheduler::pruneOrderSets() {
  std::erase_if(WorkersWithPendingOrders, [this](const WorkerId &Id) {
    const RunTable &Runs = Workers.at(Id).Runs;
    return std::none_of(Runs.begin(), Runs.end(), [](const auto &Entry) {
      const PlacedRun &Run = Entry.second;
      return Run.StopRequested || Run.Phase <= RunPhase::Ordered;
    });
  });
  std::erase_if(BestEffortWorkers, [this](const WorkerId &Id) {
    return Workers.at(Id).Runs.empty();
  });
}

} // namespace banyanworks::pool
