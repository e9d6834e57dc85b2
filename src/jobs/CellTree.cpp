/// \file
/// Implements the capacity of one failure domain.
#include "jobs/CellTree.h"

#include "base/Check.h"

#include <algorithm>
#include <bit>

namespace banyanworks {

namespace {

std::int32_t divideUp(std::int64_t Value, std::int64_t Divisor) {
  return static_cast<std::int32_t>((Value + Divisor - 1) / Divisor);
}

/// True if a guarantee that was bound to the worker may stay there.
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
  std::int32_t All = Info.Capacity.Accelerators;
  if (All == 0)
    return Free;
  std::int32_t Left = std::popcount(FreeMask);
  return {Free.MilliCores - Info.Capacity.MilliCores * Left / All,
          Free.MemoryMiB - Info.Capacity.MemoryMiB * Left / All, 0};
}

std::int32_t WorkerCell::acceleratorsToCover(const Resources &Amount) const {
  const Resources &Whole = Info.Capacity;
  std::int32_t Result = std::max(Amount.Accelerators, 1);
  if (Whole.MilliCores > 0)
    Result = std::max(Result, divideUp(Amount.MilliCores * Whole.Accelerators,
                                       Whole.MilliCores));
  if (Whole.MemoryMiB > 0)
    Result = std::max(Result, divideUp(Amount.MemoryMiB * Whole.Accelerators,
                                       Whole.MemoryMiB));
  return Result;
}

std::vector<TaskId> CellTree::addWorker(const WorkerInfo &Info) {
  std::vector<std::pair<TaskId, TaskAllocation>> Former;
  std::uint64_t Serial = 0;
  AcceleratorMask Bound = 0;
  if (auto Known = SlotByWorker.find(Info.Id); Known != SlotByWorker.end()) {
    const WorkerCell &Old = Cells[Known->second];
    if (Old.Info == Info)
      return {};
    if (canKeepBindings(Old.Info, Info)) {
      Serial = Old.Serial;
      Bound = Old.BoundMask;
    }
    for (const TaskId &Task : Old.Tasks)
      Former.emplace_back(Task, Allocations.at(Task));
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
  for (const auto &[Task, Place] : Former)
    if (!allocate(Task, Info.Id, Place.Amount, Place.Accelerators))
      Dropped.push_back(Task);
  return Dropped;
}

std::vector<TaskId> CellTree::removeWorker(const WorkerId &Id) {
  auto Known = SlotByWorker.find(Id);
  if (Known == SlotByWorker.end())
    return {};
  WorkerSlot Slot = Known->second;
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
  SlotByWorker.erase(Known);
  Cells[Slot] = WorkerCell();
  UnusedSlots.push_back(Slot);
  return Lost;
}

bool CellTree::allocate(const TaskId &Task, const WorkerId &Worker,
                        const Resources &Amount, AcceleratorMask Accelerators) {
  auto Known = SlotByWorker.find(Worker);
  if (Known == SlotByWorker.end())
    return false;
  WorkerCell &Cell = Cells[Known->second];
  if (!Amount.fitsIn(Cell.Free) || (Accelerators & ~Cell.FreeMask) != 0 ||
      std::popcount(Accelerators) != Amount.Accelerators)
    return false;
  if (!Allocations
           .try_emplace(Task,
                        TaskAllocation{Known->second, Amount, Accelerators})
           .second)
    return false;
  Cell.Free -= Amount;
  Cell.FreeMask &= ~Accelerators;
  Cell.Tasks.push_back(Task);
  Free -= Amount;
  updateIndexes(Known->second);
  return true;
}

bool CellTree::release(const TaskId &Task) {
  auto Place = Allocations.find(Task);
  if (Place == Allocations.end())
    return false;
  const TaskAllocation &Held = Place->second;
  WorkerCell &Cell = Cells[Held.Slot];
  Cell.Free += Held.Amount;
  Cell.FreeMask |= Held.Accelerators;
  std::erase(Cell.Tasks, Task);
  Free += Held.Amount;
  updateIndexes(Held.Slot);
  Allocations.erase(Place);
  return true;
}

void CellTree::bind(WorkerSlot Slot, AcceleratorMask Accelerators) {
  WorkerCell &Cell = Cells[Slot];
  BANYANWORKS_CHECK((Accelerators & ~Cell.unboundMask()) == 0,
                    "an accelerator is bound to one guarantee at most");
  Cell.BoundMask |= Accelerators;
  updateIndexes(Slot);
}

void CellTree::unbind(WorkerSlot Slot, AcceleratorMask Accelerators) {
  Cells[Slot].BoundMask &= ~Accelerators;
  updateIndexes(Slot);
}

KindSlot CellTree::kindOf(const WorkerInfo &Info) {
  WorkerKind Kind{Info.AcceleratorModel, Info.Capacity.Accelerators};
  auto Known = std::ranges::find(Kinds, Kind);
  auto Slot = static_cast<KindSlot>(Known - Kinds.begin());
  if (Known == Kinds.end()) {
    Kinds.push_back(std::move(Kind));
    MinCapacity.push_back(Info.Capacity);
  }
  Resources &Least = MinCapacity[Slot];
  Least.MilliCores = std::min(Least.MilliCores, Info.Capacity.MilliCores);
  Least.MemoryMiB = std::min(Least.MemoryMiB, Info.Capacity.MemoryMiB);
  return Slot;
}

void CellTree::addToIndexes(WorkerSlot Slot) {
  WorkerCell &Cell = Cells[Slot];
  auto NextRack = static_cast<RackSlot>(SlotByRackNumber.size());
  Cell.Rack = SlotByRackNumber.try_emplace(Cell.Info.RackNumber, NextRack)
                  .first->second;
  Cell.Kind = kindOf(Cell.Info);
  AcceleratorMask All = Cell.allAccelerators();
  if (All == 0)
    LargestCpuOnlyCapacity =
        elementwiseMax(LargestCpuOnlyCapacity, Cell.Info.Capacity);
  else
    for (GroupIndex *Index : {&FreeGroups, &UnboundGroups, &FreeUnboundGroups})
      Index->add(Slot, Cell.Kind, Cell.Rack, All);
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
  auto Known = SlotByWorker.find(Id);
  if (Known == SlotByWorker.end())
    return std::nullopt;
  return Known->second;
}

const TaskAllocation *CellTree::allocationOf(const TaskId &Task) const {
  auto Place = Allocations.find(Task);
  return Place == Allocations.end() ? nullptr : &Place->second;
}

} // namespace banyanworks
