/// \file
/// Implements the check that guaranteed cells can be packed together.
#include "jobs/CellPacking.h"

#include <algorithm>

namespace banyanworks {

namespace {

using Kinds = std::vector<WorkerKind>;

/// Subtracts groups from the totals, splitting larger groups where needed;
/// false if there are too few.
bool takeGroups(GroupTotals &Kind, int Level, std::int32_t Count) {
  if (Count == 0)
    return true;
  if (Level >= GroupLevels)
    return false;
  std::int32_t &MergedGroups = Kind.Merged[Level];
  std::int32_t Missing = std::max(Count - MergedGroups, 0);
  std::int32_t Split = (Missing + 1) / 2;
  if (!takeGroups(Kind, Level + 1, Split))
    return false;
  MergedGroups += 2 * Split - Count;
  return true;
}

std::int32_t groupsAt(const GroupTotals &Kind, int Level) {
  std::int32_t Result = 0;
  for (int Above = Level; Above < GroupLevels; ++Above)
    Result += Kind.Merged[Above] << (Above - Level);
  return Result;
}

/// Subtracts \p Count unbound workers of one rack, which has \p InRack of them.
void takeWhole(GroupTotals &Kind, const WorkerKind &Worker, std::size_t InRack,
               std::int32_t Count) {
  --Kind.RacksByWholeWorkers[InRack];
  ++Kind.RacksByWholeWorkers[InRack - Count];
  auto Groups = countMergedGroups(firstAccelerators(Worker.Accelerators));
  for (int Level = 0; Level < GroupLevels; ++Level)
    Kind.Merged[Level] -= Count * Groups[Level];
}

/// Subtracts one cell of whole workers, from the smallest matching worker kind
/// and by best fit over its racks.
bool takeRackCell(std::vector<GroupTotals> &Totals, const Kinds &Workers,
                  const CellShape &Shape) {
  std::size_t BestKind = Totals.size();
  std::size_t BestCount = 0;
  for (std::size_t Kind = 0; Kind < Totals.size(); ++Kind) {
    if (!Shape.matches(Workers[Kind]))
      continue;
    const auto &Racks = Totals[Kind].RacksByWholeWorkers;
    auto Count = static_cast<std::size_t>(Shape.Workers);
    while (Count < Racks.size() && Racks[Count] == 0)
      ++Count;
    if (Count >= Racks.size())
      continue;
    bool Better = BestKind == Totals.size() ||
                  Workers[Kind].Accelerators < Workers[BestKind].Accelerators;
    if (!Better)
      continue;
    BestKind = Kind;
    BestCount = Count;
  }
  if (BestKind == Totals.size())
    return false;
  takeWhole(Totals[BestKind], Workers[BestKind], BestCount, Shape.Workers);
  return true;
}

bool takeGroupCells(std::vector<GroupTotals> &Totals, const Kinds &Workers,
                    const CellShape &Shape, std::int32_t Count) {
  int Level = groupLevel(Shape.Accelerators);
  for (std::size_t Kind = 0; Kind < Totals.size() && Count > 0; ++Kind) {
    if (Level >= GroupLevels || !Shape.matches(Workers[Kind]))
      continue;
    std::int32_t Allocated = std::min(Count, groupsAt(Totals[Kind], Level));
    takeGroups(Totals[Kind], Level, Allocated);
    Count -= Allocated;
  }
  return Count == 0;
}

} // namespace

CellPacking::CellPacking(const CellTree &Cells,
                         const std::vector<CellShape> &Shapes)
    : Cells(&Cells), Shapes(&Shapes), Totals(Cells.unboundGroups().totals()) {}

void CellPacking::bind(WorkerSlot Slot, AcceleratorMask MaskBefore,
                       AcceleratorMask MaskAfter) {
  const WorkerCell &Cell = Cells->cell(Slot);
  GroupTotals &Kind = Totals[Cell.Kind];
  auto OldCounts = countMergedGroups(MaskBefore);
  auto NewCounts = countMergedGroups(MaskAfter);
  for (int Level = 0; Level < GroupLevels; ++Level)
    Kind.Merged[Level] += NewCounts[Level] - OldCounts[Level];
  if (MaskBefore != Cell.allAccelerators() || MaskAfter == MaskBefore)
    return;
  std::int32_t InRack =
      Cells->unboundGroups().wholeWorkers(Cell.Rack, Cell.Kind);
  for (const WholeWorkerChange &Earlier : WholeWorkerChanges)
    if (Earlier.Rack == Cell.Rack && Earlier.Kind == Cell.Kind)
      InRack += Earlier.Change;
  --Kind.RacksByWholeWorkers[InRack];
  ++Kind.RacksByWholeWorkers[InRack - 1];
  WholeWorkerChanges.push_back({Cell.Rack, Cell.Kind, -1});
}

bool CellPacking::canPack(const std::vector<std::int32_t> &Demand) const {
  std::vector<GroupTotals> Remaining = Totals;
  for (std::size_t Index = 0; Index < Shapes->size(); ++Index) {
    const CellShape &Shape = (*Shapes)[Index];
    if (Shape.Level == CellLevel::Group) {
      if (!takeGroupCells(Remaining, Cells->kinds(), Shape, Demand[Index]))
        return false;
      continue;
    }
    for (std::int32_t Count = 0; Count < Demand[Index]; ++Count)
      if (!takeRackCell(Remaining, Cells->kinds(), Shape))
        return false;
  }
  return true;
}

} // namespace banyanworks
