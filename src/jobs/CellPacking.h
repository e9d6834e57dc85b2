/// \file
/// Defines CarveState, the check that a multiset of guaranteed cells can be
/// carved from workers, all at once.
#ifndef BANYANWORKS_JOBS_CELLPACKING_H
#define BANYANWORKS_JOBS_CELLPACKING_H

#include "jobs/CellShape.h"
#include "jobs/CellTree.h"

#include <vector>

namespace banyanworks {

/// What is not bound to guarantees, and the shapes that must still be carved
/// from it. Works on totals: its cost depends on the kinds of workers and of
/// shapes, not on how many there are.
class CellPacking {
public:
  /// Takes what is unbound in the tree. \p Shapes must be in carve order.
  CellPacking(const CellTree &Cells, const std::vector<CellShape> &Shapes);

  /// Takes accelerators of one worker out of what is unbound, where \p Before
  /// and \p After are unbound before and after.
  void bind(WorkerSlot Slot, AcceleratorMask Before, AcceleratorMask After);

  /// True if Demand[i] cells of each shape i can be carved together. A yes is
  /// always right. A no can be wrong where racks are shared by cells of
  /// several whole workers, which are packed by best fit, and where cells of
  /// any model compete for workers of unequal size.
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
