/// \file
/// Implements the workers and allocations of one failure domain.
#include "jobs/CellTree.h"

#include "base/Check.h"

#include <algorithm>
#include <bit>

namespace banyanworks {

namespace {

std::int32_t divideUp(std::int64_t Value, std::int64_t Divisor) {
  return static_cast<std::int32_t>((Value + Divisor - 1) / Divisor);
}

/// True if the accelerators bound on the old worker stay bound on the new one.
bool canKeepBindings(const WorkerInfo &Old, const WorkerInfo &New) {
  return Old.RackNumber == New.RackNumber &&
         Old.AcceleratorModel == New.AcceleratorModel &&
         Old.Capacity.Accelerators == New.Capacity.Accelerators;
}

Resources elementwiseMax(const Resources &Left, const Resources &Right) {
  return {std::max(Left.MilliCores, Right.MilliCores),
          std::max(Left.MemoryMiB, Right.MemoryMiB),
          std::max(Left.Accelerators, Right.Accelerators)};
}

} // namespace

Resources WorkerCell::spareResources() const {
  std::int32_t Total = Info.Capacity.Accelerators;
  if (Total == 0)
    return Free;
  std::int32_t FreeCount = std::popcount(FreeMask);
  return {Free.MilliCores - Info.Capacity.MilliCores * FreeCount / Total,
          Free.MemoryMiB - Info.Capacity.MemoryMiB * FreeCount / Total, 0};
}

std::int32_t WorkerCell::acceleratorsToCover(const Resources &Amount) const {
  const Resources &Capacity = Info.Capacity;
  std::int32_t Result = std::max(Amount.Accelerators, 1);
  if (Capacity.MilliCores > 0) {
    Result =
        std::max(Result, divideUp(Amount.MilliCores * Capacity.Accelerators,
                                  Capacity.MilliCores));
  }
  if (Capacity.MemoryMiB > 0)
    Result = std::max(Result, divideUp(Amount.MemoryMiB * Capacity.Accelerators,
                                       Capacity.MemoryMiB));
  return Result;
}

std::vector<TaskId> CellTree::addWorker(const WorkerInfo &Info) {
  std::vector<std::pair<TaskId, TaskAllocation>> FormerAllocations;
  std::uint64_t Serial = 0;
  AcceleratorMask Bound = 0;
  if (auto Found = SlotByWorker.find(Info.Id); Found != SlotByWorker.end()) {
    const WorkerCell &Old = Cells[Found->second];
    if (Old.Info == Info)
      return {};
    if (canKeepBindings(Old.Info, Info)) {
      Serial = Old.Serial;
      Bound = Old.BoundMask;
    }
    for (const TaskId &Task : Old.Tasks)
      FormerAllocations.emplace_back(Task, Allocations.at(Task));
    removeWorker(Info.Id);
  }
  WorkerSlot Slot = 0;
  if (UnusedSlots.empty()) {
    Slot = static_cast<WorkerSlot>(Cells.size());
    Cells.emplace_back();
  } else {
    Slot = UnusedSlots.back();
    UnusedSlots.pop_back();
  }
  WorkerCell &Cell = Cells[Slot];
  Cell.Info = Info;
  Cell.Present = true;
  Cell.Serial = Serial != 0 ? Serial : ++LastSerial;
  Cell.BoundMask = Bound;
  Cell.Free = Info.Capacity;
  Cell.FreeMask = Cell.allAccelerators();
  SlotByWorker.emplace(Info.Id, Slot);
  addToIndexes(Slot);
  Racks[Info.RackNumber].push_back(Slot);
  Capacity += Info.Capacity;
  Free += Info.Capacity;

  std::vector<TaskId> Dropped;
  for (const auto &[Task, Allocation] : FormerAllocations)
    if (!allocate(Task, Info.Id, Allocation.Amount, Allocation.Accelerators))
      Dropped.push_back(Task);
  return Dropped;
}

std::vector<TaskId> CellTree::removeWorker(const WorkerId &Id) {
  auto Found = SlotByWorker.find(Id);
  if (Found == SlotByWorker.end())
    return {};
  WorkerSlot Slot = Found->second;
  std::vector<TaskId> Lost = Cells[Slot].Tasks;
  for (const TaskId &Task : Lost)
    release(Task);
  removeFromIndexes(Slot);
  const WorkerInfo &Info = Cells[Slot].Info;
  Capacity -= Info.Capacity;
  Free -= Info.Capacity;
  auto Rack = Racks.find(Info.RackNumber);
  std::erase(Rack->second, Slot);
  if (Rack->second.empty())
    Racks.erase(Rack);
  SlotByWorker.erase(Found);
  Cells[Slot] = WorkerCell();
  UnusedSlots.push_back(Slot);
  return Lost;
}

bool CellTree::allocate(const TaskId &Task, const WorkerId &Worker,
                        const Resources &Amount, AcceleratorMask Accelerators) {
  auto Found = SlotByWorker.find(Worker);
  if (Found == SlotByWorker.end())
    return false;
  WorkerCell &Cell = Cells[Found->second];
  if (!Amount.fitsIn(Cell.Free) || (Accelerators & ~Cell.FreeMask) != 0 ||
      std::popcount(Accelerators) != Amount.Accelerators)
    return false;
  if (!Allocations
           .try_emplace(Task,
                        TaskAllocation{Found->second, Amount, Accelerators})
           .second)
    return false;
  Cell.Free -= Amount;
  Cell.FreeMask &= ~Accelerators;
  Cell.Tasks.push_back(Task);
  Free -= Amount;
  updateIndexes(Found->second);
  return true;
}

bool CellTree::release(const TaskId &Task) {
  auto Found = Allocations.find(Task);
  if (Found == Allocations.end())
    return false;
  const TaskAllocation &Allocation = Found->second;
  WorkerCell &Cell = Cells[Allocation.Slot];
  Cell.Free += Allocation.Amount;
  Cell.FreeMask |= Allocation.Accelerators;
  std::erase(Cell.Tasks, Task);
  Free += Allocation.Amount;
  updateIndexes(Allocation.Slot);
  Allocations.erase(Found);
  return true;
}

void CellTree::bind(WorkerSlot Slot, AcceleratorMask Accelerators) {
  WorkerCell &Cell = Cells[Slot];
  BANYANWORKS_CHECK((Accelerators & ~Cell.unboundMask()) == 0,
                    "accelerator is already bound to a guarantee");
  Cell.BoundMask |= Accelerators;
  updateIndexes(Slot);
}

void CellTree::unbind(WorkerSlot Slot, AcceleratorMask Accelerators) {
  Cells[Slot].BoundMask &= ~Accelerators;
  updateIndexes(Slot);
}

KindSlot CellTree::kindOf(const WorkerInfo &Info) {
  WorkerKind Kind{Info.AcceleratorModel, Info.Capacity.Accelerators};
  auto Found = std::ranges::find(Kinds, Kind);
  auto Slot = static_cast<KindSlot>(Found - Kinds.begin());
  if (Found == Kinds.end()) {
    Kinds.push_back(std::move(Kind));
    MinCapacity.push_back(Info.Capacity);
  }
  Resources &KindMin = MinCapacity[Slot];
  KindMin.MilliCores = std::min(KindMin.MilliCores, Info.Capacity.MilliCores);
  KindMin.MemoryMiB = std::min(KindMin.MemoryMiB, Info.Capacity.MemoryMiB);
  return Slot;
}

void CellTree::addToIndexes(WorkerSlot Slot) {
  WorkerCell &Cell = Cells[Slot];
  auto NextRack = static_cast<RackSlot>(SlotByRackNumber.size());
  Cell.Rack = SlotByRackNumber.try_emplace(Cell.Info.RackNumber, NextRack)
                  .first->second;
  Cell.Kind = kindOf(Cell.Info);
  AcceleratorMask All = Cell.allAccelerators();
  if (All == 0) {
    LargestCpuOnlyCapacity =
        elementwiseMax(LargestCpuOnlyCapacity, Cell.Info.Capacity);
  } else {
    for (GroupIndex *Index : {&FreeGroups, &UnboundGroups, &FreeUnboundGroups})
      Index->add(Slot, Cell.Kind, Cell.Rack, All);
  }
  updateIndexes(Slot);
}

void CellTree::removeFromIndexes(WorkerSlot Slot) {
  CpuOnlyWorkers.remove(Slot);
  SpareResourceIndex.remove(Slot);
  if (Cells[Slot].allAccelerators() == 0) {
    LargestCpuOnlyCapacity = {};
    for (const WorkerCell &Other : Cells) {
      if (Other.Present && &Other != &Cells[Slot] &&
          Other.allAccelerators() == 0)
        LargestCpuOnlyCapacity =
            elementwiseMax(LargestCpuOnlyCapacity, Other.Info.Capacity);
    }
    return;
  }
  for (GroupIndex *Index : {&FreeGroups, &UnboundGroups, &FreeUnboundGroups})
    Index->remove(Slot);
}

void CellTree::updateIndexes(WorkerSlot Slot) {
  const WorkerCell &Cell = Cells[Slot];
  if (Cell.allAccelerators() == 0) {
    CpuOnlyWorkers.update(Slot, Cell.Free);
    return;
  }
  SpareResourceIndex.update(Slot, Cell.spareResources());
  FreeGroups.update(Slot, Cell.FreeMask);
  UnboundGroups.update(Slot, Cell.unboundMask());
  FreeUnboundGroups.update(Slot, Cell.FreeMask & Cell.unboundMask());
}

std::optional<WorkerSlot> CellTree::slotOf(const WorkerId &Id) const {
  auto Found = SlotByWorker.find(Id);
  if (Found == SlotByWorker.end())
    return std::nullopt;
  return Found->second;
}

const TaskAllocation *CellTree::allocationOf(const TaskId &Task) const {
  auto Found = Allocations.find(Task);
  return Found == Allocations.end() ? nullptr : &Found->second;
}

} // namespace banyanworks
