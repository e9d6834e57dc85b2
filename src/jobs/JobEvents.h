/// \file
/// Defines the events that the scheduler of one failure domain processes and
/// the actions that it returns.
#ifndef BANYANWORKS_JOBS_JOBEVENTS_H
#define BANYANWORKS_JOBS_JOBEVENTS_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "model/CommonEvents.h"
#include "model/Configuration.h"
#include "model/Job.h"
#include "model/Worker.h"

#include <memory>
#include <variant>
#include <vector>

namespace banyanworks {

/// A job was submitted and its record is durable.
struct JobSubmitted {
  std::shared_ptr<const JobSpec> Spec;
};

/// The caller cancelled the job.
struct JobCancelled {
  JobId Job;
};

/// A worker opened a session or repeated its full inventory.
struct WorkerJoined {
  WorkerInventory Inventory;
};

/// A worker's session expired or ended; the worker has stopped its tasks.
struct WorkerDeparted {
  WorkerId Worker;
};

/// Result of an order to a worker.
enum class OrderResult : std::uint8_t {
  Done,
  RefusedBusy,
  RefusedStaleEpoch,
  RefusedUnknownTask,
  /// No answer arrived; the order may have taken effect.
  Unknown,
};

/// The answer to HoldTask.
struct HoldAnswered {
  TaskId Task;
  WorkerId Worker;
  OrderResult Result;
};

/// The answer to StartTask.
struct StartAnswered {
  TaskId Task;
  WorkerId Worker;
  OrderResult Result;
};

/// A task ended and its worker has freed its resources.
struct TaskEnded {
  TaskId Task;
  WorkerId Worker;
  TaskEnd End;
  /// Run time saved by a checkpoint, which the next run need not repeat.
  Duration SavedRunTime{};
};

/// A delayed report of a task's actual resource usage.
struct UsageReported {
  TaskId Task;
  WorkerId Worker;
  Resources Used;
};

/// Extends the permission to start tasks in the failure domain; renewed while
/// the daemon is told that the domain is in service.
struct PermissionRenewed {
  TimePoint StartPermittedUntil;
};

/// This daemon became the owner of the failure domain under epoch \p Term. Jobs
/// holds the jobs with a durable record; the workers' inventories follow.
struct OwnershipGained {
  Epoch Term;
  std::vector<std::shared_ptr<const JobSpec>> Jobs;
  /// True if the store answered, so that Jobs is complete.
  bool RecordsComplete = false;
  /// Workers whose inventories are awaited before new placements.
  std::vector<WorkerId> ExpectedWorkers;
};

/// The store returned the records that were missing from OwnershipGained.
struct RecordsCompleted {
  /// All non-terminal jobs with a durable record.
  std::vector<std::shared_ptr<const JobSpec>> Jobs;
};

/// Another daemon owns the failure domain, or the ownership lease expired.
struct OwnershipLost {};

/// The terminal phase of a job is durable.
struct OutcomeRecorded {
  JobId Job;
};

using JobEvent =
    std::variant<JobSubmitted, JobCancelled, WorkerJoined, WorkerDeparted,
                 HoldAnswered, StartAnswered, TaskEnded, UsageReported,
                 ConfigurationChanged, PermissionRenewed, OwnershipGained,
                 OwnershipLost, RecordsCompleted, OutcomeRecorded, Tick>;

/// Orders a worker to reserve resources for one member of a gang.
struct HoldTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
  Resources Amount;
  AcceleratorMask Accelerators = 0;
  std::shared_ptr<const JobSpec> Spec;
  /// The worker releases the hold after this time unless it is started.
  Duration Lease{};
};

/// Starts a held task; sent only when every member of the gang is held.
struct StartTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Releases the resources of a held task.
struct ReleaseTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Orders a running task to checkpoint and exit.
struct CheckpointTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Stops a running task immediately.
struct StopTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Throttles a task that exceeds its declared resources.
struct ThrottleTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
  Resources Limit;
};

/// Allows a worker to discard the recorded end of a task, since the outcome of
/// its job is durable.
struct ForgetTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// The scheduler observed a newer epoch at a worker and gives up ownership.
struct StepDown {
  Epoch Term;
};

/// A job changed its phase; terminal phases have to be recorded durably.
struct JobProgressed {
  JobId Job;
  JobPhase Phase;
  Reason StatusReason = Reason::None;
};

using JobAction =
    std::variant<HoldTask, StartTask, ReleaseTask, CheckpointTask, StopTask,
                 ThrottleTask, ForgetTask, StepDown, JobProgressed>;

} // namespace banyanworks

#endif
