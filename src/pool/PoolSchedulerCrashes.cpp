/// \file
/// Implements how a PoolScheduler records workers that are lost under runs, and
/// gives up tasks that crash them.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"

#include <algorithm>
#include <optional>

namespace banyanworks::pool {

namespace {

/// The age that counts if the worker is lost; nothing if the run is known not
/// to have started there.
std::optional<LossAge> ageAtLoss(const PlacedRun &Run) {
  if (!Run.Evidence.mayHaveStarted())
    return std::nullopt;
  if (Run.FirstPercent &&
      Run.ReportedAt - Run.ConfirmedAt >= CrashRecord::StartWindow)
    return LossAge::Later;
  return Run.Phase == RunPhase::Confirmed && !Run.Inherited ? LossAge::AtStart
                                                            : LossAge::Unknown;
}

std::string_view ageName(LossAge Age) {
  switch (Age) {
  case LossAge::Later:
    return "later";
  case LossAge::Unknown:
    return "unknown";
  case LossAge::AtStart:
    return "at_start";
  }
  return "unknown";
}

std::string_view verdictName(CrashVerdict Verdict) {
  switch (Verdict) {
  case CrashVerdict::Unsuspected:
    return "unsuspected";
  case CrashVerdict::Suspected:
    return "suspected";
  case CrashVerdict::Held:
    return "held";
  case CrashVerdict::Guilty:
    return "guilty";
  }
  return "unknown";
}

} // namespace

std::string_view PoolScheduler::causeName(LossCause Cause) {
  switch (Cause) {
  case LossCause::Replaced:
    return "worker_replaced";
  case LossCause::Restarted:
    return "worker_restarted";
  case LossCause::LeaseOver:
    return "lease_over";
  case LossCause::NotReported:
    return "not_reported";
  }
  return "unknown";
}

CrashVerdict PoolScheduler::crashVerdict(const Job &Owner,
                                         const TaskGroup &Group,
                                         TimePoint Now) {
  return Group.Crashes.verdict(!Owner.Spec.Steps[Group.Step].LongRunning, Now);
}

void PoolScheduler::workerSilent(WorkerState &Worker, bool BeforeOrder,
                                 TimePoint Now) {
  Worker.SilentSince = Now;
  // The answer to a start order may still be in transit, and a worker with
  // inherited runs may have been lost before the takeover.
  bool LostOtherwise = BeforeOrder;
  for (const auto &Entry : Worker.Runs) {
    auto Age = ageAtLoss(Entry.second);
    if (!Age)
      continue;
    if (Age != LossAge::Later)
      return;
    LostOtherwise = true;
  }
  if (LostOtherwise)
    Outages.workerSilent(Now);
}

void PoolScheduler::recordLosses(const WorkerState &Worker,
                                 const std::vector<RunKey> &Lost,
                                 LossCause Cause, TimePoint Now) {
  // A worker that leaves or is maintained ends its runs without a crash.
  if (Cause == LossCause::NotReported || Worker.Info.Draining ||
      CordonedWorkers.contains(Worker.Info.Id))
    return;
  bool Proven = Cause != LossCause::LeaseOver;
  bool InOutage = Outages.isOutage(Worker.SilentSince, Workers.size());
  std::set<const TaskGroup *> Starting;
  for (const auto &[Key, Run] : Worker.Runs)
    if (ageAtLoss(Run) == LossAge::AtStart)
      Starting.insert(findGroup(Key.first).Group);
  for (const RunKey &Key : Lost) {
    const PlacedRun &Run = Worker.Runs.at(Key);
    auto Age = ageAtLoss(Run);
    if (!Age)
      continue;
    GroupRef Ref = findGroup(Key.first);
    if (!Ref.Group || Ref.Group->Run != Key.second ||
        Ref.Group->State != GroupState::Active || isFinal(Ref.Owner->Status))
      continue;
    // A stop that a later incarnation has confirmed tells nothing of a run that
    // may have crashed the earlier one.
    if (Run.StopConfirmedAt && !Run.isUnanswered())
      continue;
    if (Run.LossRecorded)
      continue;
    WorkerLoss Loss;
    Loss.Member = Key.first.Index - Ref.Group->FirstIndex;
    Loss.Run = Key.second;
    Loss.Worker = Worker.Info.Id;
    Loss.Address = Worker.Info.Address;
    Loss.Life = Run.Life;
    Loss.Age = *Age;
    Loss.OnlyStart = Loss.Age == LossAge::AtStart && Starting.size() == 1;
    Loss.InOutage = InOutage;
    Loss.Proven = Proven;
    Loss.KnownAt = Now;
    bool IsNew = Ref.Group->Crashes.add(Loss);
    JobsWithLosses.insert(Key.first.Job);
    markChanged(*Ref.Owner, *Ref.Group);
    if (!Proven)
      Silent.add(
          {Worker.Info.Id, Worker.Info.Address, Run.Life, {Key.first}, Now});
    Log.write(
        LogLevel::Notice, "task.lost_worker",
        {{"task", taskName(Key.first)},
         {"run", Key.second.value()},
         {"worker", Worker.Info.Id.str()},
         {"reason", causeName(Cause)},
         {"age", ageName(Loss.Age)},
         {"outage", InOutage ? "yes" : "no"},
         {"only_start", Loss.OnlyStart ? "yes" : "no"},
         {"new", IsNew ? "yes" : "no"},
         {"losses", Ref.Group->Crashes.losses().size()},
         {"verdict", verdictName(crashVerdict(*Ref.Owner, *Ref.Group, Now))}});
    giveUpIfGuilty(*Ref.Owner, *Ref.Group, Now);
  }
}

void PoolScheduler::giveUpIfGuilty(Job &Owner, const TaskGroup &Group,
                                   TimePoint Now) {
  if (isFinal(Owner.Status) ||
      crashVerdict(Owner, Group, Now) != CrashVerdict::Guilty)
    return;
  std::string LostWorkers;
  for (const WorkerLoss &Loss : Group.Crashes.losses())
    LostWorkers.append(LostWorkers.empty() ? "" : ",")
        .append(Loss.Worker.str());
  Log.write(LogLevel::Change, "task.given_up",
            {{"task", taskName(Group.task(Owner.Spec.Id, 0))},
             {"runs", Group.Run.value()},
             {"reason", "crashes_workers"},
             {"workers", LostWorkers}});
  ++TasksGivenUp;
  Owner.Progress.markFailed();
  finishJob(Owner, JobStatus::Failed);
}

void PoolScheduler::settleLosses(const SilentWorker &Lost, bool Crashed,
                                 std::string_view Evidence, TimePoint Now) {
  for (const TaskKey &Task : Lost.Tasks) {
    GroupRef Ref = findGroup(Task);
    if (!Ref.Group || isFinal(Ref.Owner->Status))
      continue;
    if (Crashed)
      Ref.Group->Crashes.prove(Lost.Id);
    else
      Ref.Group->Crashes.acquit(Lost.Id);
    markChanged(*Ref.Owner, *Ref.Group);
    Log.write(
        LogLevel::Notice, "task.loss_settled",
        {{"task", taskName(Task)},
         {"worker", Lost.Id.str()},
         {"crashed", Crashed ? "yes" : "no"},
         {"reason", Evidence},
         {"verdict", verdictName(crashVerdict(*Ref.Owner, *Ref.Group, Now))}});
    giveUpIfGuilty(*Ref.Owner, *Ref.Group, Now);
  }
}

void PoolScheduler::settleAnswered(const WorkerId &Id, Incarnation Life,
                                   TimePoint Now) {
  auto Lost = Silent.takeAnswered(Id);
  if (!Lost)
    return;
  bool Crashed = Lost->Life != Incarnation() && Lost->Life != Life;
  settleLosses(*Lost, Crashed, Crashed ? "worker_restarted" : "worker_answered",
               Now);
}

bool PoolScheduler::isReplaced(const WorkerLoss &Loss) const {
  return std::any_of(Workers.begin(), Workers.end(),
                     [&Loss](const auto &Entry) {
                       const WorkerState &Worker = Entry.second;
                       return Worker.Listed && Worker.Info.Id != Loss.Worker &&
                              Worker.Info.Address == Loss.Address;
                     });
}

void PoolScheduler::restoreLosses(Job &Restored, TimePoint Now) {
  for (TaskGroup &Group : Restored.Progress.groups()) {
    if (Group.Crashes.empty())
      continue;
    JobsWithLosses.insert(Restored.Spec.Id);
    Group.Crashes.setKnownAt(Now);
    // A copy, since proofs change the record.
    const std::vector<WorkerLoss> Losses = Group.Crashes.losses();
    for (const WorkerLoss &Loss : Losses) {
      if (Loss.Proven)
        continue;
      if (isReplaced(Loss)) {
        Group.Crashes.prove(Loss.Worker);
        continue;
      }
      TaskKey Task = Group.task(Restored.Spec.Id, Loss.Member);
      Silent.add({Loss.Worker, Loss.Address, Loss.Life, {Task}, Now});
    }
    giveUpIfGuilty(Restored, Group, Now);
  }
}

std::size_t PoolScheduler::suspectedTasks() const {
  std::size_t Count = 0;
  for (JobId Id : JobsWithLosses) {
    const Job &Owner = Jobs.at(Id);
    if (isFinal(Owner.Status))
      continue;
    for (const TaskGroup &Group : Owner.Progress.groups())
      Count += Group.Crashes.isSuspect();
  }
  return Count;
}

} // namespace banyanworks::pool
