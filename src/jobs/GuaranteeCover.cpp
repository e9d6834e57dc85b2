/// \file
/// Implements the check that an unused guarantee covers a gang.
#include "jobs/GuaranteeCover.h"

#include "jobs/GuaranteeLedger.h"

#include <algorithm>
#include <limits>
#include <map>

namespace banyanworks {

namespace {

/// Returns the number of members that the accelerators \p UnusedMask of one
/// worker hold.
std::int64_t memberCapacity(const WorkerCell &Cell, AcceleratorMask UnusedMask,
                            const Resources &PerMember) {
  std::int32_t Count = Cell.acceleratorsToCover(PerMember);
  if (UnusedMask == Cell.allAccelerators() &&
      Cell.Info.Capacity.Accelerators >> groupLevel(Count) == 0)
    return Count <= Cell.Info.Capacity.Accelerators ? 1 : 0;
  return countGroups(UnusedMask, groupLevel(Count));
}

/// Returns the number of members that fit in the unused parts of bound cells,
/// by the worker or rack that must hold the gang.
std::map<std::uint64_t, std::int64_t>
unusedBoundCapacity(const CellTree &Cells, const GuaranteeLedger &Ledger,
                    const JobSpec &Spec, Adjacency MemberAdjacency) {
  std::map<std::uint64_t, std::int64_t> Result;
  for (BoundCellId Id : Ledger.boundCellIds(Spec.Workspace)) {
    for (const BoundPart &Part : Ledger.boundCell(Id).Parts) {
      const WorkerCell &Cell = Cells.cell(Part.Slot);
      if (Cell.Serial != Part.Serial)
        continue;
      std::uint64_t Location = 0;
      if (MemberAdjacency == Adjacency::SameWorker)
        Location = Part.Slot;
      else if (MemberAdjacency != Adjacency::None)
        Location = Cell.Rack;
      Result[Location] +=
          memberCapacity(Cell, Part.Accelerators & ~Part.Used, Spec.PerMember);
    }
  }
  return Result;
}

} // namespace

std::int64_t membersPerCell(const CellTree &Cells, const CellShape &Shape,
                            const Resources &PerMember, bool OneWorkerOnly) {
  std::int64_t Fewest = std::numeric_limits<std::int64_t>::max();
  for (KindSlot Kind = 0; Kind < Cells.kinds().size(); ++Kind) {
    const WorkerKind &Worker = Cells.kinds()[Kind];
    if (!Shape.matches(Worker) || Cells.minCapacity(Kind).Accelerators == 0)
      continue;
    WorkerCell MinCell;
    MinCell.Info.Capacity = Cells.minCapacity(Kind);
    AcceleratorMask CellMask = Shape.Level == CellLevel::Group
                                   ? firstAccelerators(Shape.Accelerators)
                                   : MinCell.allAccelerators();
    std::int64_t Members = memberCapacity(MinCell, CellMask, PerMember);
    if (Shape.Level != CellLevel::Group && !OneWorkerOnly)
      Members *= Shape.Workers;
    Fewest = std::min(Fewest, Members);
  }
  return Fewest == std::numeric_limits<std::int64_t>::max() ? 0 : Fewest;
}

bool guaranteeCovers(const CellTree &Cells, const GuaranteeLedger &Ledger,
                     const JobSpec &Spec) {
  if (Spec.PerMember.Accelerators == 0)
    return false;
  Adjacency MemberAdjacency =
      Spec.AdjacencyRequired ? Spec.MemberAdjacency : Adjacency::None;
  std::int64_t Total = 0;
  for (const auto &[Location, Members] :
       unusedBoundCapacity(Cells, Ledger, Spec, MemberAdjacency)) {
    if (Members >= Spec.Members)
      return true;
    Total += Members;
  }
  std::vector<std::int32_t> Unbound = Ledger.unboundCellsOf(Spec.Workspace);
  for (std::size_t Shape = 0; Shape < Unbound.size(); ++Shape) {
    if (Unbound[Shape] == 0)
      continue;
    std::int64_t OneCell =
        membersPerCell(Cells, Ledger.shapes()[Shape], Spec.PerMember,
                       MemberAdjacency == Adjacency::SameWorker);
    if (OneCell >= Spec.Members)
      return true;
    Total += OneCell * Unbound[Shape];
  }
  return MemberAdjacency == Adjacency::None && Total >= Spec.Members;
}

} // namespace banyanworks
