/// \file
/// Defines the naive check of guarantees: it tries every place for every cell.
/// Only for small clusters.
#ifndef BANYANWORKS_TEST_SUPPORT_EXHAUSTIVEPACKING_H
#define BANYANWORKS_TEST_SUPPORT_EXHAUSTIVEPACKING_H

#include "jobs/CellShape.h"
#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"

#include <vector>

namespace banyanworks::test {

/// What is left of each worker slot.
using Masks = std::vector<AcceleratorMask>;

/// True if the cells can be carved together from what is left.
bool packsExhaustively(const CellTree &Cells, Masks Left,
                       const std::vector<CellShape> &Wanted);

/// The ledger's unbound cells, one by one.
std::vector<CellShape> unboundCells(const GuaranteeLedger &Ledger);

/// What no bound cell of the workspaces covers, from the cells themselves; an
/// accelerator that two cells cover makes \p Disjoint false.
Masks unboundMasks(const CellTree &Cells, const GuaranteeLedger &Ledger,
                   const std::vector<WorkspaceId> &Workspaces, bool &Disjoint);

} // namespace banyanworks::test

#endif
