/// \file
/// Defines the events that the scheduler of one failure domain takes and the
/// actions that it returns.
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

/// A job whose record is durable, so that it may be scheduled.
struct JobSubmitted {
  std::shared_ptr<const JobSpec> Spec;
};

/// The caller no longer wants the job.
struct JobCancelled {
  JobId Job;
};

/// A worker opened a session, or sent its whole inventory again.
struct WorkerJoined {
  WorkerInventory Inventory;
};

/// A worker's session lapsed or ended; its tasks have let go by themselves.
struct WorkerDeparted {
  WorkerId Worker;
};

/// How a worker answered a hold, a start or another order.
enum class OrderResult : std::uint8_t {
  Done,
  RefusedBusy,
  RefusedStaleEpoch,
  RefusedUnknownTask,
  /// No answer came; the order may have taken effect.
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

/// A worker reports that a task ended and its resources are free again.
struct TaskEnded {
  TaskId Task;
  WorkerId Worker;
  TaskEnd End;
  /// Run time that a later run need not repeat.
  Duration SavedRunTime{};
};

/// A lagging report of what a task really uses.
struct UsageReported {
  TaskId Task;
  WorkerId Worker;
  Resources Used;
};

/// Work may start in the failure domain until then; renewed while the daemon
/// hears that the domain is in.
struct PermissionRenewed {
  TimePoint StartPermittedUntil;
};

/// This daemon now schedules the failure domain, under that epoch. The jobs
/// are those with a durable record; the workers' inventories follow.
struct OwnershipGained {
  Epoch Term;
  std::vector<std::shared_ptr<const JobSpec>> Jobs;
  /// True if the store answered, so that Jobs is complete.
  bool RecordsComplete = false;
  /// Workers whose inventory is awaited before new decisions.
  std::vector<WorkerId> ExpectedWorkers;
};

/// The store answered after OwnershipGained came without complete records.
struct RecordsCompleted {
  /// All jobs with a durable record that are not terminal.
  std::vector<std::shared_ptr<const JobSpec>> Jobs;
};

/// Another daemon schedules the failure domain, or the lease lapsed.
struct OwnershipLost {};

/// The terminal phase of a job has a durable record.
struct OutcomeRecorded {
  JobId Job;
};

using JobEvent =
    std::variant<JobSubmitted, JobCancelled, WorkerJoined, WorkerDeparted,
                 HoldAnswered, StartAnswered, TaskEnded, UsageReported,
                 ConfigurationChanged, PermissionRenewed, OwnershipGained,
                 OwnershipLost, RecordsCompleted, OutcomeRecorded, Tick>;

/// Asks a worker to reserve resources for one member of a gang.
struct HoldTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
  Resources Amount;
  AcceleratorMask Accelerators = 0;
  std::shared_ptr<const JobSpec> Spec;
  /// A hold that is not started by then lapses at the worker.
  Duration Lease{};
};

/// Starts a held task; given only when every member of the gang is held.
struct StartTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Gives a held task's resources back.
struct ReleaseTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Asks a running task to checkpoint and end.
struct CheckpointTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Ends a running task at once.
struct StopTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// Limits a task that uses more than it declared.
struct ThrottleTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
  Resources Limit;
};

/// Lets a worker forget the end of a task, since the outcome of its job has a
/// durable record.
struct ForgetTask {
  TaskId Task;
  WorkerId Worker;
  Epoch Term;
};

/// The scheduler met a newer epoch at a worker and gives up its ownership.
struct StepDown {
  Epoch Term;
};

/// A job changed its phase; terminal phases are recorded durably.
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
