/// \file
/// Implements how a PoolScheduler detects suspect workers and moves work away
/// from slow, draining and cordoned workers.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// A worker on which this many jobs failed recently is a suspect.
constexpr std::size_t FailedJobsToSuspect = 2;
/// If more than one in this many workers is a suspect, all workers are used.
constexpr std::size_t SuspectDivisor = 3;

} // namespace

void PoolScheduler::updateSuspects(TimePoint Now) {
  std::vector<WorkerState *> Suspects;
  for (auto &[Id, Worker] : Workers) {
    bool Before = std::exchange(Worker.Suspect, false);
    bool Slow = Worker.Slowdown.isSlow(Now);
    bool Failing = Worker.FailedJobs >= FailedJobsToSuspect;
    if (Slow || Failing)
      Suspects.push_back(&Worker);
    if ((Slow || Failing) && !Before) {
      Log.write(LogLevel::Change, "worker.suspect",
                {{"worker", Id.str()},
                 {"reason", Slow ? "slow" : "failing"},
                 {"failed_jobs", Worker.FailedJobs}});
    }
  }
  if (Suspects.size() * SuspectDivisor > Workers.size())
    return;
  for (WorkerState *Worker : Suspects)
    Worker->Suspect = true;
}

void PoolScheduler::abortTasks(const std::vector<TaskKey> &Tasks,
                               std::string_view Reason, TimePoint Now) {
  for (const TaskKey &Task : Tasks) {
    GroupRef Ref = findGroup(Task);
    if (!Ref.Group)
      continue;
    Ref.Group->LastStopped = Now;
    abort(*Ref.Owner, *Ref.Group, Reason);
  }
}

void PoolScheduler::evacuateSlow(TimePoint Now) {
  for (auto &[Id, Worker] : Workers) {
    if (!Worker.Suspect || !Worker.Slowdown.isSlow(Now))
      continue;
    std::vector<TaskKey> TasksToMove;
    for (const auto &[Key, Run] : Worker.Runs) {
      GroupRef Ref = findGroup(Key.first);
      if (Run.StopRequested || Run.Phase != RunPhase::Confirmed || !Ref.Group ||
          Run.BestSpeed <= 0.0)
        continue;
      const StepSpec &Step = Ref.Owner->Spec.Steps[Key.first.Step];
      double DoneFraction = std::min(1.0, Run.ProgressPercent / 100.0);
      Duration TotalTime = scaled(std::chrono::seconds(100), 1 / Run.BestSpeed);
      double LostFraction =
          Step.Checkpoints
              ? toSeconds(Cost.lostTime(true, Now - Run.OrderedAt)) /
                    toSeconds(TotalTime)
              : DoneFraction;
      double RetainedFraction =
          DoneFraction -
          LostFraction * StopCost::factor(Ref.Group->LastStopped, false, Now);
      if (Step.MaxUnavailable == 0 && !Step.LongRunning &&
          Worker.Slowdown.worthRestartingElsewhere(DoneFraction,
                                                   RetainedFraction, TotalTime))
        TasksToMove.push_back(Key.first);
    }
    abortTasks(TasksToMove, "worker_slow", Now);
  }
}

bool PoolScheduler::endsOnLeavingWorker(const RunKey &Key, const PlacedRun &Run,
                                        Duration TimeLeft, TimePoint Now) {
  if (remaining(Key, Run, Now) <= TimeLeft - Limits.StopTime)
    return true;
  GroupRef Ref = findGroup(Key.first);
  if (!Ref.Group || Ref.Group->Members == 1)
    return false;
  // The stop of a gang that keeps little from its checkpoint loses as much as
  // the worker's leave, so that only the likelier outcome matters.
  RunForecast Forecast = forecast(Key, Run, Now);
  bool Checkpoints = Ref.Owner->Spec.Steps[Key.first.Step].Checkpoints;
  return Cost.lostTime(Checkpoints, Forecast.Elapsed) > Forecast.Elapsed / 2 &&
         StopCost::endProbability(Forecast, TimeLeft) >= StopCost::LikelyEnd;
}

void PoolScheduler::evacuateDraining(TimePoint Now) {
  for (auto &[Id, Worker] : Workers) {
    if (Worker.LeavesAt == TimePoint::max() || Worker.Unresponsive)
      continue;
    Duration TimeLeft = Worker.LeavesAt - Now;
    std::vector<TaskKey> TasksToStop;
    for (const auto &[Key, Run] : Worker.Runs) {
      if (!Run.StopRequested && Run.Phase == RunPhase::Confirmed &&
          !endsOnLeavingWorker(Key, Run, TimeLeft, Now))
        TasksToStop.push_back(Key.first);
    }
    abortTasks(TasksToStop, "worker_leaves", Now);
  }
}

bool PoolScheduler::mayStopMember(const Job &Owner,
                                  const TaskGroup &Group) const {
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  if (!Step.LongRunning || Step.MaxUnavailable == 0)
    return true;
  std::uint32_t Unavailable = 0;
  for (const TaskGroup &Other : Owner.Progress.groups()) {
    if (Other.Step != Group.Step || Other.Occurrence != Group.Occurrence)
      continue;
    const PlacedRun *Run =
        Other.State == GroupState::Active ? runOf(Owner, Other, 0) : nullptr;
    bool Working = Run && !Run->StopRequested && Run->ProgressPercent == 100;
    Unavailable += Working ? 0 : 1;
  }
  return Unavailable < Step.MaxUnavailable;
}

void PoolScheduler::evacuateCordoned() {
  for (const WorkerId &Id : CordonedWorkers) {
    auto Found = Workers.find(Id);
    if (Found == Workers.end())
      continue;
    std::vector<TaskKey> TasksToStop;
    for (const auto &[Key, Run] : Found->second.Runs) {
      GroupRef Ref = findGroup(Key.first);
      if (Run.StopRequested || !Ref.Group)
        continue;
      // A long-running task does not end by itself.
      bool LongRunning = Ref.Owner->Spec.Steps[Key.first.Step].LongRunning;
      if (LongRunning || EvacuatingWorkers.contains(Id))
        TasksToStop.push_back(Key.first);
    }
    for (const TaskKey &Task : TasksToStop) {
      GroupRef Ref = findGroup(Task);
      if (Ref.Group && mayStopMember(*Ref.Owner, *Ref.Group))
        abort(*Ref.Owner, *Ref.Group, "maintenance");
    }
  }
}

void PoolScheduler::removeGoneWorkers() {
  std::erase_if(Workers, [this](const auto &Entry) {
    const auto &[Id, Worker] = Entry;
    bool Unused = !Worker.Listed && Worker.Runs.empty() &&
                  Worker.UnrecordedEnds.empty() && !InTransit.contains(Id);
    if (Unused)
      dropWorkerReferences(Id);
    return Unused;
  });
}

void PoolScheduler::dropWorkerReferences(const WorkerId &Id) {
  for (std::set<WorkerId> *Set :
       {&WorkersWithPendingOrders, &BestEffortWorkers,
        &WorkersWithUnrecordedEnds, &ReclaimingWorkers, &Renewals})
    Set->erase(Id);
  Speeds.forget(Id);
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
