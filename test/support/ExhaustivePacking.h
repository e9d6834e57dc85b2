/// \file
/// Defines an exhaustive check of guarantees that tries every position of every
/// cell. Suitable for small clusters only.
#ifndef BANYANWORKS_TEST_SUPPORT_EXHAUSTIVEPACKING_H
#define BANYANWORKS_TEST_SUPPORT_EXHAUSTIVEPACKING_H

#include "jobs/CellShape.h"
#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"

#include <vector>

namespace banyanworks::test {

/// Remaining accelerators by worker slot.
using Masks = std::vector<AcceleratorMask>;

/// Returns true if the cells can be packed together into the remaining
/// accelerators.
bool packsExhaustively(const CellTree &Cells, Masks Left,
                       const std::vector<CellShape> &RequiredShapes);

/// Returns the ledger's unbound cells, one entry per cell.
std::vector<CellShape> unboundCells(const GuaranteeLedger &Ledger);

/// Returns the accelerators that no bound cell of the workspaces covers,
/// recomputed from the cells. Sets \p Disjoint to false if two cells cover the
/// same accelerator.
Masks unboundMasks(const CellTree &Cells, const GuaranteeLedger &Ledger,
                   const std::vector<WorkspaceId> &Workspaces, bool &Disjoint);

} // namespace banyanworks::test

#endif
