/// \file
/// Defines the choice of racks for a gang whose members must be near each
/// other.
#ifndef BANYANWORKS_JOBS_RACKRANGES_H
#define BANYANWORKS_JOBS_RACKRANGES_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"

#include <vector>

namespace banyanworks {

/// Racks with consecutive numbers, each the neighbour of the next.
struct RackRange {
  std::uint32_t FirstNumber = 0;
  std::uint32_t Length = 0;
  /// Members beyond the gang that the run could hold.
  std::int64_t SpareMembers = 0;
};

/// Which runs to return of those that start at one rack.
enum class RackRangeSelection : std::uint8_t {
  /// Single racks only.
  SingleRack,
  /// The shortest run that could hold the gang.
  Shortest,
  /// That and all longer ones.
  All,
};

/// The runs that could hold the gang by their free accelerators alone, best
/// first: the shortest, then those that the gang fills most.
std::vector<RackRange> findRackRanges(const CellTree &Cells,
                                      const JobSpec &Spec,
                                      RackRangeSelection Lengths);

/// True if the racks of the members are consecutive.
bool inConsecutiveRacks(const CellTree &Cells,
                        const std::vector<MemberPlacement> &Members);

/// The workers of a run, those with the smallest free groups first.
std::vector<WorkerSlot> workersOf(const CellTree &Cells, const RackRange &Run);

} // namespace banyanworks

#endif
