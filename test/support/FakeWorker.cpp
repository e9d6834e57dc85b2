/// \file
/// Implements the model of a platform worker.
#include "support/FakeWorker.h"

#include <algorithm>
#include <utility>

namespace banyanworks::test {

FakeWorker::FakeWorker(WorkerInfo Info, FakeWorkerSettings Settings)
    : Info(std::move(Info)), Settings(std::move(Settings)) {}

bool FakeWorker::isStale(Epoch Term) {
  if (Term < NewestEpoch)
    return true;
  NewestEpoch = Term;
  return false;
}

std::optional<OrderResult> FakeWorker::answer(OrderResult Result) const {
  if (Faults.LoseAnswers)
    return std::nullopt;
  return Result;
}

bool FakeWorker::hasRoom(const HoldTask &Order) const {
  Resources Free = Info.Capacity;
  AcceleratorMask UsedMask = 0;
  for (const auto &[Id, Task] : Tasks) {
    Free -= Task.Amount;
    UsedMask |= Task.Held.Accelerators;
  }
  return Order.Amount.fitsIn(Free) && (UsedMask & Order.Accelerators) == 0;
}

std::optional<OrderResult> FakeWorker::hold(TimePoint Now,
                                            const HoldTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  if (Tasks.contains(Order.Task))
    return answer(OrderResult::Done);
  // A delayed hold must not restart a task that has ended.
  if (Ended.contains(Order.Task))
    return answer(OrderResult::RefusedUnknownTask);
  if (Faults.RefuseHolds || !hasRoom(Order))
    return answer(OrderResult::RefusedBusy);
  // An order from an owner counts as contact.
  if (SessionEnds == TimePoint::max())
    renewSession(Now);
  FakeTask Task;
  Task.Held = ActiveTask{
      Order.Task, Order.Term, TaskPhase::Held, Order.Accelerators, Order.Spec,
      {},         {}};
  Task.Amount = Order.Amount;
  Task.HoldEnds = Now + Order.Lease;
  Tasks.emplace(Order.Task, std::move(Task));
  return answer(OrderResult::Done);
}

std::optional<OrderResult> FakeWorker::start(TimePoint Now,
                                             const StartTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  auto Found = Tasks.find(Order.Task);
  if (Found == Tasks.end()) {
    auto EndedEntry = Ended.find(Order.Task);
    bool Succeeded = EndedEntry != Ended.end() &&
                     EndedEntry->second.End == TaskEnd::Succeeded;
    return answer(Succeeded ? OrderResult::Done
                            : OrderResult::RefusedUnknownTask);
  }
  FakeTask &Task = Found->second;
  if (Task.Held.Phase != TaskPhase::Held)
    return answer(OrderResult::Done);
  if (Now >= Task.HoldEnds) {
    Tasks.erase(Found);
    return answer(OrderResult::RefusedUnknownTask);
  }
  Task.Held.Phase = TaskPhase::Running;
  Task.StartedAt = Now;
  const JobSpec &Spec = *Task.Held.Spec;
  Duration RunTime = Settings.RunTime ? Settings.RunTime(Order.Task, Spec)
                                      : Spec.ExpectedRunTime;
  Task.EndsAt = Now + (Faults.FailEverything ? Faults.FailAfter : RunTime);
  Task.Outcome = Faults.FailEverything ? TaskEnd::Failed : TaskEnd::Succeeded;
  if (Settings.UsageInterval > Duration::zero())
    Task.NextUsage = Now + Settings.UsageInterval;
  return answer(OrderResult::Done);
}

std::optional<OrderResult> FakeWorker::release(TimePoint /*Now*/,
                                               const ReleaseTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  auto Found = Tasks.find(Order.Task);
  if (Found == Tasks.end() || Found->second.Held.Phase != TaskPhase::Held)
    return answer(OrderResult::RefusedUnknownTask);
  Tasks.erase(Found);
  return answer(OrderResult::Done);
}

void FakeWorker::repeatEndReport(const TaskId &Id) {
  auto Found = Ended.find(Id);
  EndedTask Outcome{Id, TaskEnd::Stopped, Duration::zero(), nullptr};
  if (Found != Ended.end())
    Outcome = Found->second;
  Reports.emplace_back(
      TaskEnded{Id, Info.Id, Outcome.End, Outcome.SavedRunTime});
}

std::optional<OrderResult> FakeWorker::checkpoint(TimePoint Now,
                                                  const CheckpointTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  auto Found = Tasks.find(Order.Task);
  if (Found == Tasks.end()) {
    repeatEndReport(Order.Task);
    return answer(OrderResult::RefusedUnknownTask);
  }
  FakeTask &Task = Found->second;
  if (Task.Held.Phase == TaskPhase::Running) {
    Task.Held.Phase = TaskPhase::Checkpointing;
    Task.CheckpointEnds = Now + Settings.CheckpointTime;
  }
  return answer(OrderResult::Done);
}

std::optional<OrderResult> FakeWorker::stop(TimePoint Now,
                                            const StopTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  if (!Tasks.contains(Order.Task)) {
    repeatEndReport(Order.Task);
    return answer(OrderResult::RefusedUnknownTask);
  }
  endTask(Now, Order.Task, TaskEnd::Stopped, Duration::zero());
  return answer(OrderResult::Done);
}

std::optional<OrderResult> FakeWorker::throttle(TimePoint /*Now*/,
                                                const ThrottleTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  return answer(Tasks.contains(Order.Task) ? OrderResult::Done
                                           : OrderResult::RefusedUnknownTask);
}

std::optional<OrderResult> FakeWorker::forget(TimePoint /*Now*/,
                                              const ForgetTask &Order) {
  if (Faults.Hung)
    return std::nullopt;
  if (isStale(Order.Term))
    return answer(OrderResult::RefusedStaleEpoch);
  Ended.erase(Order.Task);
  return answer(OrderResult::Done);
}

void FakeWorker::renewSession(TimePoint Now) {
  if (Now >= SessionEnds)
    expireSession(Now);
  SessionEnds = Now + Settings.SessionLease;
}

void FakeWorker::expireSession(TimePoint Now) {
  // Ends that have not been reported yet are kept for the next session.
  std::vector<TaskId> All;
  for (const auto &[Id, Task] : Tasks)
    All.push_back(Id);
  for (const TaskId &Id : All) {
    if (Tasks.at(Id).Held.Phase == TaskPhase::Held)
      Tasks.erase(Id);
    else
      endTask(Now, Id, TaskEnd::Stopped, Duration::zero());
  }
  Session = Session.next();
  SessionEnds = TimePoint::max();
}

Duration FakeWorker::progress(const FakeTask &Task, TimePoint Now) const {
  return Task.Held.Phase == TaskPhase::Held ? Duration::zero()
                                            : Now - Task.StartedAt;
}

void FakeWorker::endTask(TimePoint Now, const TaskId &Id, TaskEnd End,
                         Duration SavedRunTime) {
  auto Found = Tasks.find(Id);
  if (Found == Tasks.end())
    return;
  if (Ended.empty())
    NextEndReport = Now + Settings.EndReportInterval;
  Ended[Id] = EndedTask{Id, End, SavedRunTime, Found->second.Held.Spec};
  Tasks.erase(Found);
  Reports.emplace_back(TaskEnded{Id, Info.Id, End, SavedRunTime});
}

std::vector<JobEvent> FakeWorker::advance(TimePoint Now) {
  if (Now >= SessionEnds)
    expireSession(Now);
  std::vector<TaskId> All;
  for (const auto &[Id, Task] : Tasks)
    All.push_back(Id);
  for (const TaskId &Id : All) {
    FakeTask &Task = Tasks.at(Id);
    if (Task.Held.Phase == TaskPhase::Held) {
      if (Now >= Task.HoldEnds)
        Tasks.erase(Id);
      continue;
    }
    if (Now >= Task.EndsAt) {
      endTask(Now, Id, Task.Outcome, Duration::zero());
      continue;
    }
    if (Now >= Task.CheckpointEnds) {
      endTask(Now, Id, TaskEnd::Checkpointed, progress(Task, Now));
      continue;
    }
    if (Now < Task.NextUsage)
      continue;
    Task.NextUsage = Now + Settings.UsageInterval;
    Resources Used =
        Settings.Usage ? Settings.Usage(Id, *Task.Held.Spec) : Task.Amount;
    Reports.emplace_back(UsageReported{Id, Info.Id, Used});
  }
  if (Now >= NextEndReport) {
    for (const auto &[Id, Task] : Ended)
      repeatEndReport(Id);
    NextEndReport =
        Ended.empty() ? TimePoint::max() : Now + Settings.EndReportInterval;
  }
  if (Faults.Hung)
    return {};
  return std::exchange(Reports, {});
}

TimePoint FakeWorker::nextDeadline() const {
  TimePoint Next = std::min(SessionEnds, NextEndReport);
  if (!Reports.empty())
    Next = TimePoint::min();
  for (const auto &[Id, Task] : Tasks) {
    if (Task.Held.Phase == TaskPhase::Held)
      Next = std::min(Next, Task.HoldEnds);
    else
      Next = std::min({Next, Task.EndsAt, Task.CheckpointEnds, Task.NextUsage});
  }
  return Next;
}

void FakeWorker::restart(TimePoint /*Now*/) {
  Tasks.clear();
  Ended.clear();
  NextEndReport = TimePoint::max();
  Reports.clear();
  Session = Session.next();
  SessionEnds = TimePoint::max();
}

WorkerInventory FakeWorker::inventory(TimePoint Now) const {
  WorkerInventory Result;
  Result.Info = Info;
  Result.Session = Session;
  for (const auto &[Id, Task] : Tasks) {
    Result.Tasks.push_back(Task.Held);
    Result.Tasks.back().RunTime = progress(Task, Now);
  }
  for (const auto &[Id, Task] : Ended)
    Result.Ended.push_back(Task);
  return Result;
}

} // namespace banyanworks::test
