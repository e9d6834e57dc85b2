/// \file
/// Defines the choice of rack ranges for a gang whose members must be adjacent.
#ifndef BANYANWORKS_JOBS_RACKRANGES_H
#define BANYANWORKS_JOBS_RACKRANGES_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"

#include <vector>

namespace banyanworks {

/// A range of neighbouring racks with consecutive numbers.
struct RackRange {
  std::uint32_t FirstNumber = 0;
  std::uint32_t Length = 0;
  /// Members that the range could hold beyond those of the gang.
  std::int64_t SpareMembers = 0;
};

/// Selects which of the ranges that start at one rack are returned.
enum class RackRangeSelection : std::uint8_t {
  /// Single racks only.
  SingleRack,
  /// The shortest range that could hold the gang.
  Shortest,
  /// The shortest such range and all longer ones.
  All,
};

/// Returns the ranges whose free accelerators could hold the gang, ignoring
/// cores and memory, sorted by length and then by SpareMembers.
std::vector<RackRange> findRackRanges(const CellTree &Cells,
                                      const JobSpec &Spec,
                                      RackRangeSelection Lengths);

/// Returns true if the members' racks have consecutive numbers.
bool inConsecutiveRacks(const CellTree &Cells,
                        const std::vector<MemberPlacement> &Members);

/// Returns the workers of a range, those with the smallest free groups first.
std::vector<WorkerSlot> workersOf(const CellTree &Cells, const RackRange &Run);

} // namespace banyanworks

#endif
