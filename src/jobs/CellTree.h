/// \file
/// Defines CellTree, the capacity of one failure domain: racks, workers and
/// the aligned groups of accelerators on each worker, with what is free.
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

/// What the tree keeps of one worker.
struct WorkerCell {
  WorkerInfo Info;
  /// False while the slot belongs to no worker.
  bool Present = false;
  /// Tells apart the workers that had this slot one after another.
  std::uint64_t Serial = 0;
  RackSlot Rack = 0;
  KindSlot Kind = 0;
  Resources Free;
  AcceleratorMask FreeMask = 0;
  /// Accelerators that are bound to a workspace's guarantee, in use or not.
  AcceleratorMask BoundMask = 0;
  /// The tasks on the worker, in no particular order.
  std::vector<TaskId> Tasks;

  AcceleratorMask allAccelerators() const {
    return firstAccelerators(Info.Capacity.Accelerators);
  }
  AcceleratorMask unboundMask() const { return allAccelerators() & ~BoundMask; }
  /// Cores and memory beyond those that belong to the free accelerators.
  Resources spareResources() const;
  /// Accelerators whose share of cores and memory covers \p Amount, at least
  /// those that it asks for.
  std::int32_t acceleratorsToCover(const Resources &Amount) const;
};

/// Workers are of one kind if they have the same accelerators.
struct WorkerKind {
  std::string AcceleratorModel;
  std::int32_t Accelerators = 0;

  bool operator==(const WorkerKind &) const = default;
};

/// What one task occupies.
struct TaskAllocation {
  WorkerSlot Slot = 0;
  Resources Amount;
  AcceleratorMask Accelerators = 0;
};

/// The workers of one failure domain and what their tasks occupy.
class CellTree {
public:
  /// Adds a worker, or changes one: a worker of the same id is replaced, and
  /// those of its tasks that no longer fit are dropped and returned.
  std::vector<TaskId> addWorker(const WorkerInfo &Info);
  /// Removes a worker and returns the tasks that were on it.
  std::vector<TaskId> removeWorker(const WorkerId &Id);

  /// Occupies resources for a task. False, and nothing changes, if the worker
  /// is unknown, the task already has its place, or the room is not free.
  bool allocate(const TaskId &Task, const WorkerId &Worker,
                const Resources &Amount, AcceleratorMask Accelerators);
  /// Frees what the task occupies; false if it occupies nothing.
  bool release(const TaskId &Task);

  std::optional<WorkerSlot> slotOf(const WorkerId &Id) const;
  const WorkerCell &cell(WorkerSlot Slot) const { return Cells[Slot]; }
  /// All slots, with gaps: check WorkerCell::Present.
  const std::vector<WorkerCell> &cells() const { return Cells; }
  /// Where the task is; null if it occupies nothing.
  const TaskAllocation *allocationOf(const TaskId &Task) const;
  /// The slots of each rack's workers, racks in the order of their numbers.
  const std::map<std::uint32_t, std::vector<WorkerSlot>> &racks() const {
    return Racks;
  }

  /// Binds accelerators to a guarantee, or unbinds them. They need not be free
  /// of tasks, but none may be bound twice.
  void bind(WorkerSlot Slot, AcceleratorMask Accelerators);
  void unbind(WorkerSlot Slot, AcceleratorMask Accelerators);

  const std::vector<WorkerKind> &kinds() const { return Kinds; }
  /// The least cores and memory that a worker of the kind ever had.
  const Resources &minCapacity(KindSlot Kind) const {
    return MinCapacity[Kind];
  }
  /// The racks' slots, by number; a rack keeps its slot when it is empty.
  const std::map<std::uint32_t, RackSlot> &rackSlots() const {
    return SlotByRackNumber;
  }
  /// Workers by accelerators that are free of tasks, that are not bound to a
  /// guarantee, and that are both.
  const GroupIndex &freeGroups() const { return FreeGroups; }
  const GroupIndex &unboundGroups() const { return UnboundGroups; }
  const GroupIndex &freeUnboundGroups() const { return FreeUnboundGroups; }
  /// Workers without accelerators by their free room, and those with
  /// accelerators by their spare room.
  const ResourceIndex &cpuOnlyWorkers() const { return CpuOnlyWorkers; }
  const ResourceIndex &spareResourceIndex() const { return SpareResourceIndex; }
  /// The largest cores and the largest memory of the workers without
  /// accelerators; zero if there are none.
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
  /// Brings the indexes up to date after a worker's masks or room changed.
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
