/// \file
/// Implements the choice of guaranteed cells and of the accelerators to bind
/// them to.
#include "jobs/GuaranteeSearch.h"

#include "jobs/GuaranteeCover.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace banyanworks {

namespace {

/// A shape and the number of members that one of its cells holds.
struct ShapeChoice {
  std::size_t Shape = 0;
  std::int64_t Members = 0;
};

/// Sorts shapes that the remaining members fill first, by decreasing size, then
/// the other shapes by increasing size.
void sortForGang(std::vector<ShapeChoice> &Choices, std::int64_t Remaining) {
  std::ranges::stable_sort(
      Choices, [&](const ShapeChoice &Left, const ShapeChoice &Right) {
        bool LeftFills = Left.Members <= Remaining;
        bool RightFills = Right.Members <= Remaining;
        if (LeftFills != RightFills)
          return LeftFills;
        return LeftFills ? Left.Members > Right.Members
                         : Left.Members < Right.Members;
      });
}

} // namespace

GuaranteeSearch::GuaranteeSearch(const CellTree &Cells,
                                 const GuaranteeLedger &Ledger,
                                 const JobSpec &Spec,
                                 const PlacementCosts &Costs,
                                 std::vector<WorkerSlot> AllowedWorkers)
    : Cells(Cells), Ledger(Ledger), Spec(Spec), Costs(Costs.clone()),
      AllowedWorkers(std::move(AllowedWorkers)),
      Charge(Cells, Ledger, Spec.Workspace) {}

bool GuaranteeSearch::run() {
  useBoundCells();
  while (remaining() > 0)
    if (!bindNextCell())
      return false;
  return Ledger.canCharge(Spec, Members);
}

GuaranteedPlacement GuaranteeSearch::takeResult() {
  return {{std::move(Members), Reason::None}, Cost, std::move(Costs)};
}

bool GuaranteeSearch::isAllowed(WorkerSlot Slot) const {
  return AllowedWorkers.empty() ||
         std::ranges::find(AllowedWorkers, Slot) != AllowedWorkers.end();
}

int GuaranteeSearch::memberLevel(WorkerSlot Slot) const {
  return groupLevel(Cells.cell(Slot).acceleratorsToCover(Spec.PerMember));
}

AcceleratorMask GuaranteeSearch::memberMask(AcceleratorMask Group) const {
  return firstAccelerators(Spec.PerMember.Accelerators)
         << std::countr_zero(Group);
}

void GuaranteeSearch::useBoundCells() {
  for (std::size_t Index = 0; Index < Charge.Ids.size(); ++Index) {
    for (std::size_t Part = 0; Part < Charge.Bound[Index].Parts.size();
         ++Part) {
      if (remaining() == 0)
        return;
      const BoundPart &BoundGroup = Charge.Bound[Index].Parts[Part];
      if (Cells.cell(BoundGroup.Slot).Serial == BoundGroup.Serial &&
          isAllowed(BoundGroup.Slot))
        placeMembers(BoundGroup.Slot,
                     BoundGroup.Accelerators & ~BoundGroup.Used);
    }
  }
}

void GuaranteeSearch::placeMembers(WorkerSlot Slot, AcceleratorMask Unused) {
  const WorkerCell &Cell = Cells.cell(Slot);
  int Level = memberLevel(Slot);
  auto Size = std::int32_t(1) << Level;
  while (remaining() > 0) {
    AcceleratorMask Best = 0;
    double BestCost = PlacementCosts::Unavailable;
    auto Consider = [&](AcceleratorMask Group) {
      double Price =
          Costs->allocationCost(Slot, memberMask(Group), Spec.PerMember);
      if (Price >= BestCost)
        return;
      Best = Group;
      BestCost = Price;
    };
    if (Cell.Info.Capacity.Accelerators < Size) {
      if (Unused == Cell.allAccelerators() &&
          Cell.acceleratorsToCover(Spec.PerMember) <=
              Cell.Info.Capacity.Accelerators)
        Consider(Unused);
    } else {
      AcceleratorMask Starts = groupStarts(Unused, Level);
      for (; Starts != 0; Starts &= Starts - 1)
        Consider(firstAccelerators(Size) << std::countr_zero(Starts));
    }
    if (Best == 0 || !Charge.use({Slot, Best}))
      return;
    Unused &= ~Best;
    Costs->allocate(Slot, memberMask(Best), Spec.PerMember);
    Cost += BestCost;
    Members.push_back({Cell.Info.Id, memberMask(Best)});
  }
}

bool GuaranteeSearch::bindNextCell() {
  std::vector<ShapeChoice> Choices;
  const auto &Shapes = Ledger.shapes();
  for (std::size_t Shape = 0; Shape < Shapes.size(); ++Shape) {
    if (Charge.unboundCells(Shape) <= 0)
      continue;
    std::int64_t MemberCount =
        membersPerCell(Cells, Shapes[Shape], Spec.PerMember, false);
    if (MemberCount > 0)
      Choices.push_back({Shape, MemberCount});
  }
  sortForGang(Choices, remaining());
  return std::ranges::any_of(Choices, [&](const ShapeChoice &Choice) {
    return bindCellOfShape(Choice.Shape);
  });
}

bool GuaranteeSearch::bindCellOfShape(std::size_t Shape) {
  const CellShape &ShapeToBind = Ledger.shapes()[Shape];
  std::vector<Candidate> Candidates;
  bool Bound = visitCandidates(ShapeToBind, [&](Candidate Option) {
    if (Costs->isAlwaysZero() && Charge.bind(Shape, Option.Groups)) {
      Candidates = {std::move(Option)};
      return true;
    }
    if (!Costs->isAlwaysZero())
      Candidates.push_back(std::move(Option));
    return false;
  });
  if (!Bound) {
    std::ranges::stable_sort(Candidates, {}, &Candidate::Cost);
    auto First = std::ranges::find_if(Candidates, [&](const Candidate &Option) {
      return Charge.bind(Shape, Option.Groups);
    });
    if (First == Candidates.end())
      return false;
    Candidates = {*First};
  }
  for (const WorkerGroup &Group : Candidates.front().Groups)
    placeMembers(Group.Slot, Group.Accelerators);
  return true;
}

bool GuaranteeSearch::visitCandidates(const CellShape &Shape,
                                      const Visitor &Visit) const {
  if (Shape.Level == CellLevel::Rack)
    return visitRacks(Shape, Visit);
  int Level =
      Shape.Level == CellLevel::Group ? groupLevel(Shape.Accelerators) : 0;
  return visitWorkers(Level, [&](WorkerSlot Slot) {
    return visitOnWorker(Shape, Slot, Visit);
  });
}

bool GuaranteeSearch::visitWorkers(
    int Level, const std::function<bool(WorkerSlot)> &Visit) const {
  if (!AllowedWorkers.empty())
    return std::ranges::any_of(AllowedWorkers, Visit);
  for (const GroupIndex *Index :
       {&Cells.freeUnboundGroups(), &Cells.unboundGroups()}) {
    if (!Costs->isAlwaysZero() && Index == &Cells.freeUnboundGroups())
      continue;
    for (int Above = Level; Above < GroupLevels; ++Above)
      if (Index->visit(Above, Visit))
        return true;
  }
  return false;
}

bool GuaranteeSearch::visitOnWorker(const CellShape &Shape, WorkerSlot Slot,
                                    const Visitor &Visit) const {
  const WorkerCell &Cell = Cells.cell(Slot);
  AcceleratorMask All = Cell.allAccelerators();
  if (All == 0 || !Shape.matches(Cells.kinds()[Cell.Kind]))
    return false;
  AcceleratorMask UnboundMask = Charge.unboundMask(Slot);
  auto VisitMask = [&](AcceleratorMask Mask) {
    std::uint32_t MembersLeft = remaining();
    double Price = memberCost(Slot, Mask, MembersLeft);
    // Skips cells in which fewer members can be placed than the cell holds or
    // than remain, since binding them would waste guaranteed capacity.
    std::uint32_t Capacity = maxMembersWithin(Slot, Mask);
    bool Filled = remaining() - MembersLeft == std::min(remaining(), Capacity);
    return Filled && Price < PlacementCosts::Unavailable &&
           Visit({{{Slot, Mask}}, Price});
  };
  if (Shape.Level == CellLevel::Worker)
    return UnboundMask == All && VisitMask(All);
  AcceleratorMask Starts =
      groupStarts(UnboundMask, groupLevel(Shape.Accelerators));
  for (; Starts != 0; Starts &= Starts - 1) {
    if (VisitMask(firstAccelerators(Shape.Accelerators)
                  << std::countr_zero(Starts)))
      return true;
  }
  return false;
}

bool GuaranteeSearch::visitRacks(const CellShape &Shape,
                                 const Visitor &Visit) const {
  for (const auto &[Number, Workers] : Cells.racks()) {
    for (KindSlot Kind = 0; Kind < Cells.kinds().size(); ++Kind) {
      if (!Shape.matches(Cells.kinds()[Kind]))
        continue;
      std::vector<WorkerSlot> FreeWorkers;
      for (WorkerSlot Slot : Workers) {
        const WorkerCell &Cell = Cells.cell(Slot);
        if (Cell.Kind == Kind && isAllowed(Slot) &&
            Charge.unboundMask(Slot) == Cell.allAccelerators())
          FreeWorkers.push_back(Slot);
      }
      if (std::cmp_less(FreeWorkers.size(), Shape.Workers))
        continue;
      Candidate Option = rackCandidate(Shape, FreeWorkers);
      if (Option.Cost < PlacementCosts::Unavailable && Visit(std::move(Option)))
        return true;
    }
  }
  return false;
}

GuaranteeSearch::Candidate GuaranteeSearch::rackCandidate(
    const CellShape &Shape, const std::vector<WorkerSlot> &FreeWorkers) const {
  struct Offer {
    WorkerSlot Slot = 0;
    double Cost = 0;
  };
  std::vector<Offer> Offers;
  for (WorkerSlot Slot : FreeWorkers) {
    std::uint32_t MembersLeft = remaining();
    Offers.push_back({Slot, memberCost(Slot, Cells.cell(Slot).allAccelerators(),
                                       MembersLeft)});
  }
  std::ranges::stable_sort(Offers, {}, &Offer::Cost);
  Offers.resize(Shape.Workers);
  Candidate Result;
  std::uint32_t MembersLeft = remaining();
  for (const Offer &Worker : Offers) {
    AcceleratorMask All = Cells.cell(Worker.Slot).allAccelerators();
    Result.Groups.push_back({Worker.Slot, All});
    if (MembersLeft == 0)
      continue;
    double Price = memberCost(Worker.Slot, All, MembersLeft);
    if (Price < PlacementCosts::Unavailable)
      Result.Cost += Price;
  }
  // The gang must fill the cell or place all its remaining members in it.
  std::int64_t Capacity = membersPerCell(Cells, Shape, Spec.PerMember, false);
  if (MembersLeft > 0 && std::cmp_less(remaining() - MembersLeft, Capacity))
    Result.Cost = PlacementCosts::Unavailable;
  return Result;
}

std::uint32_t
GuaranteeSearch::maxMembersWithin(WorkerSlot Slot,
                                  AcceleratorMask AllowedMask) const {
  const WorkerCell &Cell = Cells.cell(Slot);
  int Level = memberLevel(Slot);
  if (Cell.Info.Capacity.Accelerators >> Level == 0)
    return 1;
  return static_cast<std::uint32_t>(countGroups(AllowedMask, Level));
}

double GuaranteeSearch::memberCost(WorkerSlot Slot, AcceleratorMask AllowedMask,
                                   std::uint32_t &MembersLeft) const {
  struct Offer {
    AcceleratorMask Accelerators = 0;
    double Cost = 0;
  };
  std::array<Offer, MaxAcceleratorsPerWorker> Offers;
  std::uint32_t Count = 0;
  auto Consider = [&](AcceleratorMask Group) {
    AcceleratorMask Mask = memberMask(Group);
    double Price = Costs->allocationCost(Slot, Mask, Spec.PerMember);
    if (Price < PlacementCosts::Unavailable)
      Offers[Count++] = {Mask, Price};
  };
  int Level = memberLevel(Slot);
  if (Cells.cell(Slot).Info.Capacity.Accelerators >> Level == 0) {
    Consider(AllowedMask);
  } else {
    AcceleratorMask Starts = groupStarts(AllowedMask, Level);
    for (; Starts != 0; Starts &= Starts - 1)
      Consider(Starts & (~Starts + 1));
  }
  auto *End = Offers.begin() + Count;
  std::sort(Offers.begin(), End, [](const Offer &Left, const Offer &Right) {
    return std::tie(Left.Cost, Left.Accelerators) <
           std::tie(Right.Cost, Right.Accelerators);
  });
  for (Count = std::min(Count, MembersLeft); Count > 0; --Count) {
    if (Count == 1) {
      --MembersLeft;
      return Offers[0].Cost;
    }
    AcceleratorMask Union = 0;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Union |= Offers[Index].Accelerators;
    double Price = Costs->allocationCost(
        Slot, Union, Spec.PerMember * static_cast<std::int32_t>(Count));
    if (Price == PlacementCosts::Unavailable)
      continue;
    MembersLeft -= Count;
    return Price;
  }
  return PlacementCosts::Unavailable;
}

} // namespace banyanworks
