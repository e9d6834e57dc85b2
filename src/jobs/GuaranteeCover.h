/// \file
/// Defines the check that a workspace's unused guarantee covers a gang,
/// independent of where its unbound cells will be bound.
#ifndef BANYANWORKS_JOBS_GUARANTEECOVER_H
#define BANYANWORKS_JOBS_GUARANTEECOVER_H

#include "model/Job.h"

#include <cstdint>

namespace banyanworks {

class CellTree;
class GuaranteeLedger;
struct CellShape;
struct WorkerKind;

/// Returns true if the unused cells hold all members. A gang that requires
/// adjacency must fit within one cell, or within cells bound to one worker or
/// rack.
bool guaranteeCovers(const CellTree &Cells, const GuaranteeLedger &Ledger,
                     const JobSpec &Spec);

/// Returns the minimum number of members that one cell of the shape holds, over
/// all matching worker kinds; counts one worker of the cell if \p
/// OneWorkerOnly.
std::int64_t membersPerCell(const CellTree &Cells, const CellShape &Shape,
                            const Resources &PerMember, bool OneWorkerOnly);

} // namespace banyanworks

#endif
