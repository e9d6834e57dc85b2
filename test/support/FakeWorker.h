/// \file
/// Defines FakeWorker, a pure model of a platform worker in virtual time: it
/// grants an accelerator once, refuses older epochs and lets go when a lease
/// runs out.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKEWORKER_H
#define BANYANWORKS_TEST_SUPPORT_FAKEWORKER_H

#include "jobs/JobEvents.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace banyanworks::test {

/// What is wrong with the worker; the defaults mean nothing.
struct WorkerFaults {
  /// Refuses every hold as busy.
  bool RefuseHolds = false;
  /// Each task fails this long after its start.
  bool FailEverything = false;
  Duration FailAfter = std::chrono::seconds(1);
  /// Orders take effect, but their answers are lost.
  bool LoseAnswers = false;
  /// Orders are neither carried out nor answered, and nothing is reported;
  /// what runs goes on.
  bool Hung = false;
};

/// How the worker behaves.
struct FakeWorkerSettings {
  /// Tasks end by themselves when nobody renews the session for this long.
  Duration SessionLease = std::chrono::seconds(10);
  /// How long a checkpoint takes.
  Duration CheckpointTime = std::chrono::seconds(2);
  /// How long a task needs in all; its declared run time if unset.
  std::function<Duration(const TaskId &, const JobSpec &)> RunTime;
  /// What a task uses, of what it was given; all of it if unset.
  std::function<Resources(const TaskId &, const JobSpec &)> Usage;
  /// An end is reported again at this interval until it may be forgotten.
  Duration EndReportInterval = std::chrono::seconds(5);
  /// Usage is reported this often for each running task; zero for never.
  Duration UsageInterval{};
};

/// What the worker keeps of one task.
struct FakeTask {
  HeldTask Held;
  Resources Amount;
  TimePoint HoldEnds;
  TimePoint StartedAt;
  TimePoint EndsAt = TimePoint::max();
  /// Set while it checkpoints.
  TimePoint CheckpointEnds = TimePoint::max();
  TimePoint NextUsage = TimePoint::max();
  TaskEnd Outcome = TaskEnd::Succeeded;
};

/// One worker. Orders return their answer, or nothing if it is lost.
class FakeWorker {
public:
  FakeWorker(WorkerInfo Info, FakeWorkerSettings Settings);

  std::optional<OrderResult> hold(TimePoint Now, const HoldTask &Order);
  std::optional<OrderResult> start(TimePoint Now, const StartTask &Order);
  std::optional<OrderResult> release(TimePoint Now, const ReleaseTask &Order);
  std::optional<OrderResult> checkpoint(TimePoint Now,
                                        const CheckpointTask &Order);
  std::optional<OrderResult> stop(TimePoint Now, const StopTask &Order);
  std::optional<OrderResult> throttle(TimePoint Now, const ThrottleTask &Order);
  std::optional<OrderResult> forget(TimePoint Now, const ForgetTask &Order);

  /// Some owner is in contact; without this the session lapses.
  void renewSession(TimePoint Now);
  /// Lets time pass and returns the reports of ends and usage.
  std::vector<JobEvent> advance(TimePoint Now);
  /// When advance has something to do next.
  TimePoint nextDeadline() const;
  /// The process is replaced: all tasks and memories are gone.
  void restart(TimePoint Now);

  WorkerInventory inventory(TimePoint Now) const;
  const WorkerInfo &info() const { return Info; }
  Incarnation session() const { return Session; }
  /// True while the session has not lapsed.
  bool sessionAlive(TimePoint Now) const { return Now < SessionEnds; }
  const std::map<TaskId, FakeTask> &tasks() const { return Tasks; }
  Epoch newestEpoch() const { return NewestEpoch; }
  WorkerFaults &faults() { return Faults; }

private:
  bool isStale(Epoch Term);
  bool hasRoom(const HoldTask &Order) const;
  std::optional<OrderResult> answer(OrderResult Result) const;
  Duration progress(const FakeTask &Task, TimePoint Now) const;
  void endTask(TimePoint Now, const TaskId &Id, TaskEnd End, Duration Kept);
  void repeatEndReport(const TaskId &Id);
  void expireSession(TimePoint Now);

  WorkerInfo Info;
  FakeWorkerSettings Settings;
  WorkerFaults Faults;
  Incarnation Session{1};
  TimePoint SessionEnds = TimePoint::max();
  Epoch NewestEpoch;
  std::map<TaskId, FakeTask> Tasks;
  std::map<TaskId, EndedTask> Ended;
  TimePoint NextEndReport = TimePoint::max();
  std::vector<JobEvent> Reports;
};

} // namespace banyanworks::test

#endif
