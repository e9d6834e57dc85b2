/// \file
/// Implements the trial placement of one gang.
#include "jobs/GangFiller.h"

#include <algorithm>

namespace banyanworks {

AcceleratorMask takeAccelerators(const WorkerCell &Cell, AcceleratorMask Left,
                                 std::int32_t Count, int LargestSplit) {
  if (AcceleratorMask Taken = allocateFromGroup(Left, Count, LargestSplit))
    return Taken;
  std::int32_t All = Cell.Info.Capacity.Accelerators;
  bool NoGroupEver = All >> groupLevel(Count) == 0;
  if (NoGroupEver && Count <= All && Left == Cell.allAccelerators())
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

GangFiller::Left *GangFiller::leftOn(WorkerSlot Slot) {
  if (!Excluded.empty() && std::ranges::find(Excluded, Slot) != Excluded.end())
    return nullptr;
  auto [Place, New] = Touched.try_emplace(Slot);
  if (New) {
    const WorkerCell &Cell = Cells.cell(Slot);
    Place->second = {Cell.Free, Cell.FreeMask};
  }
  return &Place->second;
}

bool GangFiller::fillGroups(WorkerSlot Slot, int LargestSplit) {
  const WorkerCell &Cell = Cells.cell(Slot);
  if (!Spec.PerMember.fitsIn(Cell.Free))
    return complete();
  Left *Here = leftOn(Slot);
  if (Here == nullptr)
    return false;
  while (!complete() && Spec.PerMember.fitsIn(Here->Room)) {
    AcceleratorMask Taken = takeAccelerators(
        Cell, Here->Accelerators, Spec.PerMember.Accelerators, LargestSplit);
    if (Taken == 0)
      break;
    Here->Accelerators &= ~Taken;
    Here->Room -= Spec.PerMember;
    Members.push_back({Cell.Info.Id, Taken});
  }
  return complete();
}

bool GangFiller::fillRoom(WorkerSlot Slot) {
  return fillWithin(Slot, Cells.cell(Slot).Free);
}

bool GangFiller::fillSpareRoom(WorkerSlot Slot) {
  return fillWithin(Slot, Cells.cell(Slot).spareResources());
}

bool GangFiller::fillWithin(WorkerSlot Slot, const Resources &Room) {
  const WorkerCell &Cell = Cells.cell(Slot);
  if (!Spec.PerMember.fitsIn(Room))
    return complete();
  Left *Here = leftOn(Slot);
  if (Here == nullptr)
    return false;
  Resources Kept = Cell.Free - Room;
  while (!complete() && Spec.PerMember.fitsIn(Here->Room - Kept)) {
    Here->Room -= Spec.PerMember;
    Members.push_back({Cell.Info.Id, 0});
  }
  return complete();
}

void GangFiller::clear() {
  Members.clear();
  Touched.clear();
}

} // namespace banyanworks
