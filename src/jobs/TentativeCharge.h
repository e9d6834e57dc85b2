/// \file
/// Defines TentativeCharge, a charge of one gang that is computed before the
/// ledger commits it.
#ifndef BANYANWORKS_JOBS_TENTATIVECHARGE_H
#define BANYANWORKS_JOBS_TENTATIVECHARGE_H

#include "jobs/CellPacking.h"
#include "jobs/GuaranteeLedger.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanworks {

/// Accelerators of one worker that a charge binds or uses.
struct WorkerGroup {
  WorkerSlot Slot = 0;
  AcceleratorMask Accelerators = 0;
};

/// A workspace's bound cells and the cells that a gang would bind in addition.
class TentativeCharge {
public:
  TentativeCharge(const CellTree &Cells, const GuaranteeLedger &Ledger,
                  const WorkspaceId &Workspace);

  /// Charges the members at their placements, with the cells that leave the
  /// fewest accelerators unused; false if this is not possible.
  bool chargeMembers(const JobSpec &Spec,
                     const std::vector<MemberPlacement> &Members);

  /// Uses accelerators of a cell that is bound here or in the ledger; false if
  /// they are not an unused part of one cell.
  bool use(const WorkerGroup &Group);
  /// Binds a cell of the shape to unbound accelerators. Returns false without
  /// any change if the unused guarantees could then no longer be packed.
  bool bind(std::size_t Shape, const std::vector<WorkerGroup> &Groups);

  /// Accelerators of a worker that are bound neither here nor in the ledger.
  AcceleratorMask unboundMask(WorkerSlot Slot) const;
  /// Number of cells of a shape that the workspace has not bound.
  std::int32_t unboundCells(std::size_t Shape) const {
    return OwnUnbound[Shape];
  }

  /// Bound cells: those of the ledger in the order of Ids, then the new ones.
  std::vector<BoundCell> Bound;
  std::vector<BoundCellId> Ids;
  /// Used accelerators; CellUse::Cell is an index into Bound.
  std::vector<CellUse> Uses;

private:
  struct BindingOption {
    std::size_t Shape = 0;
    std::vector<WorkerGroup> Groups;
    std::int32_t Covered = 0;
    std::int32_t Waste = 0;
  };

  /// Returns the group that each member occupies; empty if two overlap or one
  /// does not fit.
  std::vector<WorkerGroup>
  groupsOf(const JobSpec &Spec,
           const std::vector<MemberPlacement> &Members) const;
  /// Binds the cell that encloses an uncovered group with the least waste.
  bool bindEnclosing(const WorkerGroup &Group);
  std::vector<BindingOption> bindingOptions(const WorkerGroup &Group) const;
  std::optional<std::vector<WorkerGroup>>
  enclosingPlaces(const CellShape &Shape, const WorkerGroup &Group) const;
  AcceleratorMask uncoveredMask(WorkerSlot Slot) const;

  const CellTree &Cells;
  const GuaranteeLedger &Ledger;
  WorkspaceId Workspace;
  CellPacking Packing;
  std::vector<std::int32_t> Demand;
  std::vector<std::int32_t> OwnUnbound;
  std::map<WorkerSlot, AcceleratorMask> NewlyBound;
  /// Accelerators of members that no cell covers yet, by worker.
  std::map<WorkerSlot, AcceleratorMask> Uncovered;
};

} // namespace banyanworks

#endif
