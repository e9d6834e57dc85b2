/// \file
/// Defines CellTree, which tracks total and free capacity of one failure domain
/// by rack, worker and aligned group of accelerators.
#ifndef BANYANWORKS_JOBS_CELLTREE_H
#define BANYANWORKS_JOBS_CELLTREE_H

#include "base/Ids.h"
#include "base/Units.h"
#include "jobs/GroupIndex.h"
#include "jobs/ResourceIndex.h"
#include "model/Worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanworks {

/// State of one worker.
struct WorkerCell {
  WorkerInfo Info;
  /// False while the slot is unused.
  bool Present = false;
  /// Distinguishes successive workers in the same slot.
  std::uint64_t Serial = 0;
  RackSlot Rack = 0;
  KindSlot Kind = 0;
  Resources Free;
  AcceleratorMask FreeMask = 0;
  /// Accelerators that are bound to a workspace's guarantee, whether or not a
  /// task uses them.
  AcceleratorMask BoundMask = 0;
  /// Tasks on the worker, unordered.
  std::vector<TaskId> Tasks;

  AcceleratorMask allAccelerators() const {
    return firstAccelerators(Info.Capacity.Accelerators);
  }
  AcceleratorMask unboundMask() const { return allAccelerators() & ~BoundMask; }
  /// Returns the free cores and memory beyond the share of the free
  /// accelerators.
  Resources spareResources() const;
  /// Returns the number of accelerators whose share of cores and memory covers
  /// \p Amount, at least one and at least Amount.Accelerators.
  std::int32_t acceleratorsToCover(const Resources &Amount) const;
};

/// Workers with the same model and number of accelerators are of one kind.
struct WorkerKind {
  std::string AcceleratorModel;
  std::int32_t Accelerators = 0;

  bool operator==(const WorkerKind &) const = default;
};

/// The resources that one task occupies.
struct TaskAllocation {
  WorkerSlot Slot = 0;
  Resources Amount;
  AcceleratorMask Accelerators = 0;
};

/// The workers of one failure domain and the resources that their tasks occupy.
class CellTree {
public:
  /// Adds a worker or replaces the one with the same id. Tasks that no longer
  /// fit are released and returned.
  std::vector<TaskId> addWorker(const WorkerInfo &Info);
  /// Removes a worker, releases its tasks and returns them.
  std::vector<TaskId> removeWorker(const WorkerId &Id);

  /// Allocates resources to a task. Returns false without any change if the
  /// worker is unknown, the task already has an allocation, or the resources
  /// are not free.
  bool allocate(const TaskId &Task, const WorkerId &Worker,
                const Resources &Amount, AcceleratorMask Accelerators);
  /// Releases the task's allocation; false if it has none.
  bool release(const TaskId &Task);

  std::optional<WorkerSlot> slotOf(const WorkerId &Id) const;
  const WorkerCell &cell(WorkerSlot Slot) const { return Cells[Slot]; }
  /// All slots, including unused ones (see WorkerCell::Present).
  const std::vector<WorkerCell> &cells() const { return Cells; }
  /// The task's allocation, or null.
  const TaskAllocation *allocationOf(const TaskId &Task) const;
  /// Worker slots by rack number.
  const std::map<std::uint32_t, std::vector<WorkerSlot>> &racks() const {
    return Racks;
  }

  /// Binds accelerators to a guarantee, or unbinds them. Tasks may occupy them,
  /// but an accelerator can be bound only once.
  void bind(WorkerSlot Slot, AcceleratorMask Accelerators);
  void unbind(WorkerSlot Slot, AcceleratorMask Accelerators);

  const std::vector<WorkerKind> &kinds() const { return Kinds; }
  /// The minimum cores and memory of all workers of the kind so far.
  const Resources &minCapacity(KindSlot Kind) const {
    return MinCapacity[Kind];
  }
  /// Rack slots by rack number. A rack keeps its slot when its last worker is
  /// removed.
  const std::map<std::uint32_t, RackSlot> &rackSlots() const {
    return SlotByRackNumber;
  }
  /// Indexes of the workers by accelerators that are free of tasks, that are
  /// not bound to a guarantee, and that are both.
  const GroupIndex &freeGroups() const { return FreeGroups; }
  const GroupIndex &unboundGroups() const { return UnboundGroups; }
  const GroupIndex &freeUnboundGroups() const { return FreeUnboundGroups; }
  /// Indexes of the CPU-only workers by free cores and memory, and of the
  /// workers with accelerators by spareResources().
  const ResourceIndex &cpuOnlyWorkers() const { return CpuOnlyWorkers; }
  const ResourceIndex &spareResourceIndex() const { return SpareResourceIndex; }
  /// The maximum cores and the maximum memory over all CPU-only workers; zero
  /// if there are none.
  const Resources &largestCpuOnlyCapacity() const {
    return LargestCpuOnlyCapacity;
  }

  std::size_t workerCount() const { return SlotByWorker.size(); }
  std::size_t taskCount() const { return Allocations.size(); }
  const Resources &capacity() const { return Capacity; }
  const Resources &free() const { return Free; }

private:
  KindSlot kindOf(const WorkerInfo &Info);
  void addToIndexes(WorkerSlot Slot);
  void removeFromIndexes(WorkerSlot Slot);
  /// Updates the indexes after a worker's masks or free resources changed.
  void updateIndexes(WorkerSlot Slot);

  std::vector<WorkerCell> Cells;
  std::uint64_t LastSerial = 0;
  std::vector<WorkerKind> Kinds;
  std::vector<Resources> MinCapacity;
  std::map<std::uint32_t, RackSlot> SlotByRackNumber;
  GroupIndex FreeGroups;
  GroupIndex UnboundGroups;
  GroupIndex FreeUnboundGroups;
  ResourceIndex CpuOnlyWorkers;
  ResourceIndex SpareResourceIndex;
  std::vector<WorkerSlot> UnusedSlots;
  std::unordered_map<WorkerId, WorkerSlot> SlotByWorker;
  std::unordered_map<TaskId, TaskAllocation> Allocations;
  std::map<std::uint32_t, std::vector<WorkerSlot>> Racks;
  Resources Capacity;
  Resources Free;
  Resources LargestCpuOnlyCapacity;
};

} // namespace banyanworks

#endif
