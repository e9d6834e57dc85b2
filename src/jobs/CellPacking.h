/// \file
/// Defines CellPacking, which checks that a multiset of guaranteed cells can be
/// packed onto workers simultaneously.
#ifndef BANYANWORKS_JOBS_CELLPACKING_H
#define BANYANWORKS_JOBS_CELLPACKING_H

#include "jobs/CellShape.h"
#include "jobs/CellTree.h"

#include <vector>

namespace banyanworks {

/// The capacity that is not bound to guarantees, and the shapes to pack into
/// it. The check works on totals per worker kind, so its cost does not grow
/// with the number of workers.
class CellPacking {
public:
  /// Starts from the unbound capacity of the tree. \p Shapes must be in packing
  /// order (packsBefore).
  CellPacking(const CellTree &Cells, const std::vector<CellShape> &Shapes);

  /// Binds accelerators of one worker. \p MaskBefore and \p MaskAfter are its
  /// unbound accelerators before and after.
  void bind(WorkerSlot Slot, AcceleratorMask MaskBefore,
            AcceleratorMask MaskAfter);

  /// Returns true only if Demand[i] cells of each shape i can be packed
  /// together. False negatives are possible where cells of several whole
  /// workers share racks, since these are packed by best fit, and where cells
  /// of any model compete for workers of unequal size.
  bool canPack(const std::vector<std::int32_t> &Demand) const;

private:
  struct WholeWorkerChange {
    RackSlot Rack;
    KindSlot Kind;
    std::int32_t Change;
  };

  const CellTree *Cells;
  const std::vector<CellShape> *Shapes;
  std::vector<GroupTotals> Totals;
  std::vector<WholeWorkerChange> WholeWorkerChanges;
};

} // namespace banyanworks

#endif
