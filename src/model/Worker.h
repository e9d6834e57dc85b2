/// \file
/// Defines what is known of a worker: its fixed properties and its inventory
/// of tasks, which is the one home of "which task holds which accelerators".
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

/// One bit for each accelerator of a worker, in the order of their adjacency.
using AcceleratorMask = std::uint32_t;

/// The most accelerators that one worker can have.
inline constexpr std::int32_t MaxAcceleratorsPerWorker = 32;

/// The properties of a worker that change only when it is rebuilt.
struct WorkerInfo {
  WorkerId Id;
  DomainId Domain;
  RackId Rack;
  /// The place of the rack in its row; racks whose numbers differ by one are
  /// neighbours.
  std::uint32_t RackNumber = 0;
  Resources Capacity;
  std::string AcceleratorModel;

  bool operator==(const WorkerInfo &) const = default;
};

/// How far a worker has come with a task.
enum class TaskPhase : std::uint8_t { Held, Running, Checkpointing };

/// A task as its worker reports it.
struct ActiveTask {
  TaskId Task;
  Epoch GrantEpoch;
  TaskPhase Phase = TaskPhase::Held;
  AcceleratorMask Accelerators = 0;
  /// The job, kept by the worker so that a new owner can rebuild it without
  /// the store.
  std::shared_ptr<const JobSpec> Spec;
  /// How long the task has run, and how much of that a checkpoint would keep.
  Duration RunTime{};
  Duration CheckpointedRunTime{};
};

/// How a task came to its end.
enum class TaskEnd : std::uint8_t { Succeeded, Failed, Stopped, Checkpointed };

/// An end that the worker remembers until it is told to forget it, so that a
/// new owner does not run a finished job again.
struct EndedTask {
  TaskId Task;
  TaskEnd End = TaskEnd::Stopped;
  /// Run time that a later run need not repeat.
  Duration SavedRunTime{};
  /// The job, as in HeldTask.
  std::shared_ptr<const JobSpec> Spec;
};

/// A worker's whole inventory under one session.
struct WorkerInventory {
  WorkerInfo Info;
  /// Grows when the worker process restarts; its tasks are then gone.
  Incarnation Session;
  std::vector<ActiveTask> Tasks;
  std::vector<EndedTask> Ended;
};

} // namespace banyanworks

#endif
