/// \file
/// Implements the tentative charge of one gang.
#include "jobs/TentativeCharge.h"

#include <algorithm>
#include <bit>

namespace banyanworks {

TentativeCharge::TentativeCharge(const CellTree &Cells,
                                 const GuaranteeLedger &Ledger,
                                 const WorkspaceId &Workspace)
    : Ids(Ledger.boundCellIds(Workspace)), Cells(Cells), Ledger(Ledger),
      Workspace(Workspace), Packing(Cells, Ledger.shapes()),
      Demand(Ledger.unboundCells()),
      OwnUnbound(Ledger.unboundCellsOf(Workspace)) {
  Bound.reserve(Ids.size());
  for (BoundCellId Id : Ids)
    Bound.push_back(Ledger.boundCell(Id));
}

bool TentativeCharge::use(const WorkerGroup &Group) {
  std::uint64_t Serial = Cells.cell(Group.Slot).Serial;
  for (std::uint32_t Index = 0; Index < Bound.size(); ++Index) {
    auto &Parts = Bound[Index].Parts;
    for (std::uint32_t Part = 0; Part < Parts.size(); ++Part) {
      BoundPart &BoundGroup = Parts[Part];
      if (BoundGroup.Slot != Group.Slot || BoundGroup.Serial != Serial ||
          (Group.Accelerators &
           ~(BoundGroup.Accelerators & ~BoundGroup.Used)) != 0)
        continue;
      BoundGroup.Used |= Group.Accelerators;
      Uses.push_back({Index, Part, Group.Accelerators});
      return true;
    }
  }
  return false;
}

bool TentativeCharge::bind(std::size_t Shape,
                           const std::vector<WorkerGroup> &Groups) {
  if (OwnUnbound[Shape] <= 0)
    return false;
  CellPacking Trial = Packing;
  for (const WorkerGroup &Group : Groups) {
    AcceleratorMask UnboundBefore = unboundMask(Group.Slot);
    if ((Group.Accelerators & ~UnboundBefore) != 0)
      return false;
    Trial.bind(Group.Slot, UnboundBefore, UnboundBefore & ~Group.Accelerators);
  }
  --Demand[Shape];
  if (!Trial.canPack(Demand)) {
    ++Demand[Shape];
    return false;
  }
  Packing = Trial;
  --OwnUnbound[Shape];
  BoundCell Cell{Workspace, Ledger.shapes()[Shape], {}};
  for (const WorkerGroup &Group : Groups) {
    NewlyBound[Group.Slot] |= Group.Accelerators;
    Cell.Parts.push_back(
        {Group.Slot, Cells.cell(Group.Slot).Serial, Group.Accelerators, 0});
  }
  Bound.push_back(std::move(Cell));
  return true;
}

AcceleratorMask TentativeCharge::unboundMask(WorkerSlot Slot) const {
  AcceleratorMask Result = Cells.cell(Slot).unboundMask();
  if (auto New = NewlyBound.find(Slot); New != NewlyBound.end())
    Result &= ~New->second;
  return Result;
}

bool TentativeCharge::chargeMembers(
    const JobSpec &Spec, const std::vector<MemberPlacement> &Members) {
  std::vector<WorkerGroup> Groups = groupsOf(Spec, Members);
  if (Groups.empty())
    return false;
  std::erase_if(Groups, [&](const WorkerGroup &Group) { return use(Group); });
  for (const WorkerGroup &Group : Groups)
    Uncovered[Group.Slot] |= Group.Accelerators;
  for (const WorkerGroup &Group : Groups) {
    if (!use(Group) && !(bindEnclosing(Group) && use(Group)))
      return false;
    Uncovered[Group.Slot] &= ~Group.Accelerators;
  }
  return true;
}

std::vector<WorkerGroup>
TentativeCharge::groupsOf(const JobSpec &Spec,
                          const std::vector<MemberPlacement> &Members) const {
  std::vector<WorkerGroup> Result;
  std::map<WorkerSlot, AcceleratorMask> UsedBySlot;
  for (const MemberPlacement &Member : Members) {
    auto Slot = Cells.slotOf(Member.Worker);
    if (!Slot || Member.Accelerators == 0)
      return {};
    const WorkerCell &Cell = Cells.cell(*Slot);
    int Level = groupLevel(Cell.acceleratorsToCover(Spec.PerMember));
    while (Level < GroupLevels &&
           (Member.Accelerators & ~enclosingGroup(Member.Accelerators, Level)))
      ++Level;
    if (Level >= GroupLevels)
      return {};
    AcceleratorMask Group =
        enclosingGroup(Member.Accelerators, Level) & Cell.allAccelerators();
    AcceleratorMask &Others = UsedBySlot[*Slot];
    if ((Others & Group) != 0)
      return {};
    Others |= Group;
    Result.push_back({*Slot, Group});
  }
  return Result;
}

bool TentativeCharge::bindEnclosing(const WorkerGroup &Group) {
  std::vector<BindingOption> Options = bindingOptions(Group);
  std::ranges::stable_sort(
      Options, [](const BindingOption &Left, const BindingOption &Right) {
        return Left.Waste != Right.Waste ? Left.Waste < Right.Waste
                                         : Left.Covered > Right.Covered;
      });
  return std::ranges::any_of(Options, [&](const BindingOption &Candidate) {
    return bind(Candidate.Shape, Candidate.Groups);
  });
}

std::vector<TentativeCharge::BindingOption>
TentativeCharge::bindingOptions(const WorkerGroup &Group) const {
  std::vector<BindingOption> Result;
  const WorkerKind &Kind = Cells.kinds()[Cells.cell(Group.Slot).Kind];
  for (std::size_t Shape = 0; Shape < OwnUnbound.size(); ++Shape) {
    if (OwnUnbound[Shape] <= 0 || !Ledger.shapes()[Shape].matches(Kind))
      continue;
    auto Groups = enclosingPlaces(Ledger.shapes()[Shape], Group);
    if (!Groups)
      continue;
    std::int32_t Size = 0;
    std::int32_t Covered = 0;
    for (const WorkerGroup &Enclosing : *Groups) {
      Size += std::popcount(Enclosing.Accelerators);
      Covered +=
          std::popcount(Enclosing.Accelerators & uncoveredMask(Enclosing.Slot));
    }
    Result.push_back({Shape, std::move(*Groups), Covered, Size - Covered});
  }
  return Result;
}

std::optional<std::vector<WorkerGroup>>
TentativeCharge::enclosingPlaces(const CellShape &Shape,
                                 const WorkerGroup &Group) const {
  const WorkerCell &Cell = Cells.cell(Group.Slot);
  if (Shape.Level == CellLevel::Group) {
    AcceleratorMask Around =
        enclosingGroup(Group.Accelerators, groupLevel(Shape.Accelerators));
    if ((Group.Accelerators & ~Around) != 0 ||
        (Around & ~unboundMask(Group.Slot)) != 0)
      return std::nullopt;
    return std::vector<WorkerGroup>{{Group.Slot, Around}};
  }
  AcceleratorMask All = Cell.allAccelerators();
  if (unboundMask(Group.Slot) != All)
    return std::nullopt;
  std::vector<WorkerGroup> Groups{{Group.Slot, All}};
  std::vector<WorkerSlot> Others;
  for (WorkerSlot Other : Cells.racks().at(Cell.Info.RackNumber)) {
    if (Other != Group.Slot && Cells.cell(Other).Kind == Cell.Kind &&
        unboundMask(Other) == All)
      Others.push_back(Other);
  }
  std::ranges::stable_sort(Others, [&](WorkerSlot Left, WorkerSlot Right) {
    return std::popcount(uncoveredMask(Left)) >
           std::popcount(uncoveredMask(Right));
  });
  for (WorkerSlot Other : Others) {
    if (std::cmp_greater_equal(Groups.size(), Shape.Workers))
      break;
    Groups.push_back({Other, All});
  }
  if (std::cmp_less(Groups.size(), Shape.Workers))
    return std::nullopt;
  return Groups;
}

AcceleratorMask TentativeCharge::uncoveredMask(WorkerSlot Slot) const {
  auto Found = Uncovered.find(Slot);
  return Found == Uncovered.end() ? 0 : Found->second;
}

} // namespace banyanworks
