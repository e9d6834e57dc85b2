/// \file
/// Implements the tentative placement of one gang.
#include "jobs/GangFiller.h"

#include <algorithm>

namespace banyanworks {

AcceleratorMask allocateAccelerators(const WorkerCell &Cell,
                                     AcceleratorMask Free, std::int32_t Count,
                                     int MaxLevel) {
  if (AcceleratorMask Group = allocateFromGroup(Free, Count, MaxLevel))
    return Group;
  std::int32_t All = Cell.Info.Capacity.Accelerators;
  bool ExceedsEveryGroup = All >> groupLevel(Count) == 0;
  if (ExceedsEveryGroup && Count <= All && Free == Cell.allAccelerators())
    return firstAccelerators(Count);
  return 0;
}

GangFiller::GangFiller(const CellTree &Cells, const GangRequest &Request)
    : Cells(Cells), Spec(*Request.Spec) {
  for (const WorkerId &Id : Request.Excluded)
    if (auto Slot = Cells.slotOf(Id))
      Excluded.push_back(*Slot);
  Members.reserve(Spec.Members);
}

GangFiller::Remainder *GangFiller::remainderOn(WorkerSlot Slot) {
  if (!Excluded.empty() && std::ranges::find(Excluded, Slot) != Excluded.end())
    return nullptr;
  auto [Entry, Inserted] = Remainders.try_emplace(Slot);
  if (Inserted) {
    const WorkerCell &Cell = Cells.cell(Slot);
    Entry->second = {Cell.Free, Cell.FreeMask};
  }
  return &Entry->second;
}

bool GangFiller::fillGroups(WorkerSlot Slot, int MaxLevel) {
  const WorkerCell &Cell = Cells.cell(Slot);
  if (!Spec.PerMember.fitsIn(Cell.Free))
    return complete();
  Remainder *Remaining = remainderOn(Slot);
  if (Remaining == nullptr)
    return false;
  while (!complete() && Spec.PerMember.fitsIn(Remaining->Free)) {
    AcceleratorMask MemberMask = allocateAccelerators(
        Cell, Remaining->Accelerators, Spec.PerMember.Accelerators, MaxLevel);
    if (MemberMask == 0)
      break;
    Remaining->Accelerators &= ~MemberMask;
    Remaining->Free -= Spec.PerMember;
    Members.push_back({Cell.Info.Id, MemberMask});
  }
  return complete();
}

bool GangFiller::fillResources(WorkerSlot Slot) {
  return fillWithin(Slot, Cells.cell(Slot).Free);
}

bool GangFiller::fillSpareResources(WorkerSlot Slot) {
  return fillWithin(Slot, Cells.cell(Slot).spareResources());
}

bool GangFiller::fillWithin(WorkerSlot Slot, const Resources &Usable) {
  const WorkerCell &Cell = Cells.cell(Slot);
  if (!Spec.PerMember.fitsIn(Usable))
    return complete();
  Remainder *Remaining = remainderOn(Slot);
  if (Remaining == nullptr)
    return false;
  Resources Withheld = Cell.Free - Usable;
  while (!complete() && Spec.PerMember.fitsIn(Remaining->Free - Withheld)) {
    Remaining->Free -= Spec.PerMember;
    Members.push_back({Cell.Info.Id, 0});
  }
  return complete();
}

void GangFiller::clear() {
  Members.clear();
  Remainders.clear();
}

} // namespace banyanworks
