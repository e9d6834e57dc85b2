/// \file
/// Implements the exhaustive check of guarantees.
#include "support/ExhaustivePacking.h"

#include <algorithm>

namespace banyanworks::test {

namespace {

class Search {
public:
  Search(const CellTree &Cells, Masks Left,
         std::vector<CellShape> RequiredShapes)
      : Cells(Cells), Left(std::move(Left)),
        RequiredShapes(std::move(RequiredShapes)) {}

  bool place(std::size_t Index) {
    if (Index == RequiredShapes.size())
      return true;
    const CellShape &Shape = RequiredShapes[Index];
    if (Shape.Level == CellLevel::Group)
      return placeGroup(Shape, Index);
    return placeWorkers(Shape, Index, 0, {});
  }

private:
  const WorkerKind &kindOf(WorkerSlot Slot) const {
    return Cells.kinds()[Cells.cell(Slot).Kind];
  }

  bool placeGroup(const CellShape &Shape, std::size_t Index) {
    for (WorkerSlot Slot = 0; Slot < Left.size(); ++Slot) {
      if (!Cells.cell(Slot).Present || !Shape.matches(kindOf(Slot)))
        continue;
      std::int32_t All = kindOf(Slot).Accelerators;
      for (std::int32_t First = 0; First + Shape.Accelerators <= All;
           First += Shape.Accelerators) {
        AcceleratorMask Group = firstAccelerators(Shape.Accelerators) << First;
        if ((Group & ~Left[Slot]) != 0)
          continue;
        Left[Slot] &= ~Group;
        if (place(Index + 1))
          return true;
        Left[Slot] |= Group;
      }
    }
    return false;
  }

  bool placeWorkers(const CellShape &Shape, std::size_t Index,
                    WorkerSlot FirstSlot, std::vector<WorkerSlot> Chosen) {
    if (std::cmp_equal(Chosen.size(), Shape.Workers))
      return placeChosen(Index, Chosen);
    for (WorkerSlot Slot = FirstSlot; Slot < Left.size(); ++Slot) {
      const WorkerCell &Cell = Cells.cell(Slot);
      if (!Cell.Present || !Shape.matches(kindOf(Slot)) ||
          Left[Slot] != Cell.allAccelerators())
        continue;
      if (!Chosen.empty()) {
        const WorkerCell &First = Cells.cell(Chosen.front());
        if (First.Rack != Cell.Rack || First.Kind != Cell.Kind)
          continue;
      }
      Chosen.push_back(Slot);
      if (placeWorkers(Shape, Index, Slot + 1, Chosen))
        return true;
      Chosen.pop_back();
    }
    return false;
  }

  bool placeChosen(std::size_t Index, const std::vector<WorkerSlot> &Chosen) {
    for (WorkerSlot Slot : Chosen)
      Left[Slot] = 0;
    if (place(Index + 1))
      return true;
    for (WorkerSlot Slot : Chosen)
      Left[Slot] = Cells.cell(Slot).allAccelerators();
    return false;
  }

  const CellTree &Cells;
  Masks Left;
  std::vector<CellShape> RequiredShapes;
};

} // namespace

bool packsExhaustively(const CellTree &Cells, Masks Left,
                       const std::vector<CellShape> &RequiredShapes) {
  return Search(Cells, std::move(Left), RequiredShapes).place(0);
}

std::vector<CellShape> unboundCells(const GuaranteeLedger &Ledger) {
  std::vector<CellShape> Result;
  for (std::size_t Shape = 0; Shape < Ledger.shapes().size(); ++Shape)
    Result.insert(Result.end(), Ledger.unboundCells()[Shape],
                  Ledger.shapes()[Shape]);
  return Result;
}

Masks unboundMasks(const CellTree &Cells, const GuaranteeLedger &Ledger,
                   const std::vector<WorkspaceId> &Workspaces, bool &Disjoint) {
  Masks Result;
  for (const WorkerCell &Cell : Cells.cells())
    Result.push_back(Cell.Present ? Cell.allAccelerators() : 0);
  Disjoint = true;
  for (const WorkspaceId &Workspace : Workspaces) {
    for (BoundCellId Id : Ledger.boundCellIds(Workspace)) {
      for (const BoundPart &Part : Ledger.boundCell(Id).Parts) {
        if (Cells.cell(Part.Slot).Serial != Part.Serial)
          continue;
        if ((Part.Accelerators & ~Result[Part.Slot]) != 0)
          Disjoint = false;
        Result[Part.Slot] &= ~Part.Accelerators;
      }
    }
  }
  return Result;
}

} // namespace banyanworks::test
