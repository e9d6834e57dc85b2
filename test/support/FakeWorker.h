/// \file
/// Defines FakeWorker, a deterministic model of a platform worker in virtual
/// time: it grants an accelerator to one task at a time, refuses orders of
/// older epochs and stops its tasks when a lease expires.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKEWORKER_H
#define BANYANWORKS_TEST_SUPPORT_FAKEWORKER_H

#include "jobs/JobEvents.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace banyanworks::test {

/// Faults to inject into a worker; by default there are none.
struct WorkerFaults {
  /// Refuses every hold as busy.
  bool RefuseHolds = false;
  /// Each task fails this long after its start.
  bool FailEverything = false;
  Duration FailAfter = std::chrono::seconds(1);
  /// Orders take effect, but their answers are lost.
  bool LoseAnswers = false;
  /// Orders are neither executed nor answered, and nothing is reported; running
  /// tasks continue.
  bool Hung = false;
};

/// Behaviour of a worker.
struct FakeWorkerSettings {
  /// Tasks are stopped when the session is not renewed for this long.
  Duration SessionLease = std::chrono::seconds(10);
  /// Duration of a checkpoint.
  Duration CheckpointTime = std::chrono::seconds(2);
  /// Run time of a task; its declared run time if unset.
  std::function<Duration(const TaskId &, const JobSpec &)> RunTime;
  /// Resources that a task uses; all of its allocation if unset.
  std::function<Resources(const TaskId &, const JobSpec &)> Usage;
  /// Interval at which an end is reported again until a forget order arrives.
  Duration EndReportInterval = std::chrono::seconds(5);
  /// Interval of usage reports for each running task; zero disables them.
  Duration UsageInterval{};
};

/// State of one task at the worker.
struct FakeTask {
  ActiveTask Held;
  Resources Amount;
  TimePoint HoldEnds;
  TimePoint StartedAt;
  TimePoint EndsAt = TimePoint::max();
  /// End of the checkpoint; TimePoint::max() if none is in progress.
  TimePoint CheckpointEnds = TimePoint::max();
  TimePoint NextUsage = TimePoint::max();
  TaskEnd Outcome = TaskEnd::Succeeded;
};

/// Model of one worker. Each order returns its answer, or nothing if the answer
/// is lost.
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

  /// Renews the session; without renewal it expires.
  void renewSession(TimePoint Now);
  /// Advances to \p Now and returns the reports of ends and usage.
  std::vector<JobEvent> advance(TimePoint Now);
  /// The next time at which advance has work to do.
  TimePoint nextDeadline() const;
  /// Replaces the process: all tasks and recorded ends are lost.
  void restart(TimePoint Now);

  WorkerInventory inventory(TimePoint Now) const;
  const WorkerInfo &info() const { return Info; }
  Incarnation session() const { return Session; }
  /// True while the session has not expired.
  bool sessionAlive(TimePoint Now) const { return Now < SessionEnds; }
  const std::map<TaskId, FakeTask> &tasks() const { return Tasks; }
  Epoch newestEpoch() const { return NewestEpoch; }
  WorkerFaults &faults() { return Faults; }

private:
  bool isStale(Epoch Term);
  bool hasRoom(const HoldTask &Order) const;
  std::optional<OrderResult> answer(OrderResult Result) const;
  Duration progress(const FakeTask &Task, TimePoint Now) const;
  void endTask(TimePoint Now, const TaskId &Id, TaskEnd End,
               Duration SavedRunTime);
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
