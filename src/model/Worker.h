/// \file
/// Defines the properties of a worker and its inventory of tasks. The inventory
/// is the only authoritative record of which task holds which accelerators.
#ifndef BANYANWORKS_MODEL_WORKER_H
#define BANYANWORKS_MODEL_WORKER_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"
#include "model/Job.h"

#include <memory>
#include <string>
#include <vector>

namespace banyanworks {

/// One bit per accelerator of a worker, in the order of their adjacency.
using AcceleratorMask = std::uint32_t;

/// The maximum number of accelerators of a worker; the bits of AcceleratorMask.
inline constexpr std::int32_t MaxAcceleratorsPerWorker = 32;

/// The properties of a worker that change only when the worker is rebuilt.
struct WorkerInfo {
  WorkerId Id;
  DomainId Domain;
  RackId Rack;
  /// The position of the rack in its row; racks whose numbers differ by one are
  /// neighbours.
  std::uint32_t RackNumber = 0;
  Resources Capacity;
  std::string AcceleratorModel;

  bool operator==(const WorkerInfo &) const = default;
};

/// The phase of a task on its worker.
enum class TaskPhase : std::uint8_t { Held, Running, Checkpointing };

/// A task that a worker holds resources for, as the worker reports it.
struct ActiveTask {
  TaskId Task;
  Epoch GrantEpoch;
  TaskPhase Phase = TaskPhase::Held;
  AcceleratorMask Accelerators = 0;
  /// The job's specification; the worker retains it so that a new owner can
  /// rebuild the job without the store.
  std::shared_ptr<const JobSpec> Spec;
  /// How long the task has run, and the part of it that a checkpoint would
  /// save.
  Duration RunTime{};
  Duration CheckpointedRunTime{};
};

/// How a task ended.
enum class TaskEnd : std::uint8_t { Succeeded, Failed, Stopped, Checkpointed };

/// An ended task. The worker retains it until it is ordered to forget it, so
/// that a new owner does not run a finished job again.
struct EndedTask {
  TaskId Task;
  TaskEnd End = TaskEnd::Stopped;
  /// Run time that a later run need not repeat.
  Duration SavedRunTime{};
  /// The job's specification, as in ActiveTask.
  std::shared_ptr<const JobSpec> Spec;
};

/// The complete inventory of a worker in one session.
struct WorkerInventory {
  WorkerInfo Info;
  /// Increases when the worker process restarts, which ends all its tasks.
  Incarnation Session;
  std::vector<ActiveTask> Tasks;
  std::vector<EndedTask> Ended;
};

} // namespace banyanworks

#endif
