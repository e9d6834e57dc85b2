/// \file
/// Defines TaskFailures, the recent failures of tasks by worker and by job.
#ifndef BANYANWORKS_POOL_TASKFAILURES_H
#define BANYANWORKS_POOL_TASKFAILURES_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/TaskKey.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace banyanworks::pool {

/// Tells workers that fail the tasks of several jobs from jobs that fail on
/// several workers. Some jobs can never succeed; counted against each worker
/// that they touch, they keep urgent work off healthy workers. A failure counts
/// against its worker unless its step or its task has failed on two or more
/// other workers. A step that has completed a task is not at fault as a whole,
/// only each of its tasks can be.
class TaskFailures {
public:
  /// Age at which a failure no longer counts against its worker.
  static constexpr Duration WorkerWindow = std::chrono::seconds(10);
  /// Time for which the workers on which a step failed are known: three
  /// attempts of the longest tasks of about 11 s, and waits between them.
  static constexpr Duration StepWindow = std::chrono::seconds(60);

  /// Records a failed run. \p StepCompletedTask states whether a task of the
  /// step is done.
  void recordFailure(const WorkerId &Worker, const TaskKey &Task,
                     bool StepCompletedTask, TimePoint Now);
  /// Records a completed run, which clears the job's failures on the worker.
  void recordSuccess(const WorkerId &Worker, const TaskKey &Task);
  /// Discards failures that are too old to count.
  void expire(TimePoint Now);

  /// Number of jobs whose recent failures count against the worker.
  std::size_t failedJobs(const WorkerId &Worker) const;

private:
  /// Bounds of what is kept; the oldest entries are discarded. The number of
  /// steps is above those that run at a time on 350 workers.
  static constexpr std::size_t MaxSteps = 512;
  static constexpr std::size_t MaxFailuresPerStep = 64;

  /// The distinct pairs of a task and a worker on which it failed.
  struct StepFailures {
    std::deque<std::pair<std::uint32_t, WorkerId>> Failures;
    bool CompletedTask = false;
    TimePoint LastFailure;
  };

  static StepKey stepOf(const TaskKey &Task) {
    return {Task.Job, Task.Occurrence, Task.Step};
  }
  bool isFaultOfJob(const WorkerId &Worker, const TaskKey &Task) const;

  std::map<WorkerId, std::map<TaskKey, TimePoint>> Workers;
  std::map<StepKey, StepFailures> Steps;
};

} // namespace banyanworks::pool

#endif
