/// \file
/// Defines GuaranteeDraft, a charge of one gang that is tried out before it is
/// entered in the ledger.
#ifndef BANYANWORKS_JOBS_TENTATIVECHARGE_H
#define BANYANWORKS_JOBS_TENTATIVECHARGE_H

#include "jobs/CellPacking.h"
#include "jobs/GuaranteeLedger.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanworks {

/// One worker's accelerators that a draft binds or uses.
struct WorkerGroup {
  WorkerSlot Slot = 0;
  AcceleratorMask Accelerators = 0;
};

/// A workspace's bound cells, and those that a gang would bind in addition.
class TentativeCharge {
public:
  TentativeCharge(const CellTree &Cells, const GuaranteeLedger &Ledger,
                  const WorkspaceId &Workspace);

  /// Charges members at the places given, choosing the cells that leave the
  /// least unused; false if that is not possible.
  bool chargeMembers(const JobSpec &Spec,
                     const std::vector<MemberPlacement> &Members);

  /// Uses accelerators of a cell that is bound, here or in the ledger; false
  /// if none holds them unused.
  bool use(const WorkerGroup &Group);
  /// Binds a cell of that shape to accelerators that are not bound; false, and
  /// nothing changes, if some unused guarantee could then not be carved.
  bool bind(std::size_t Shape, const std::vector<WorkerGroup> &Places);

  /// Accelerators of a worker that are not bound, here or in the ledger.
  AcceleratorMask unboundMask(WorkerSlot Slot) const;
  /// Cells of a shape that the workspace has not bound.
  std::int32_t unboundCells(std::size_t Shape) const {
    return OwnUnbound[Shape];
  }

  /// Bound cells: first those of the ledger, by Ids, then the new ones.
  std::vector<BoundCell> Bound;
  std::vector<BoundCellId> Ids;
  /// Uses by index into Bound.
  std::vector<CellUse> Uses;

private:
  struct BindingOption {
    std::size_t Shape = 0;
    std::vector<WorkerGroup> Places;
    std::int32_t Covered = 0;
    std::int32_t Waste = 0;
  };

  /// The groups that the members occupy, by worker; empty if two overlap or
  /// one does not fit.
  std::vector<WorkerGroup>
  groupsOf(const JobSpec &Spec,
           const std::vector<MemberPlacement> &Members) const;
  /// Binds the best cell around a group that is not covered yet.
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
  /// Accelerators of members that no cell covers yet.
  std::map<WorkerSlot, AcceleratorMask> Uncovered;
};

} // namespace banyanworks

#endif
