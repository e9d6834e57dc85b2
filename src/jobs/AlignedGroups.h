/// \file
/// Defines buddy-allocator arithmetic on the accelerators of one worker. A
/// group is an aligned block of 2^level accelerators. Splitting and merging
/// need no state other than the mask of free accelerators.
#ifndef BANYANWORKS_JOBS_ALIGNEDGROUPS_H
#define BANYANWORKS_JOBS_ALIGNEDGROUPS_H

#include "model/Worker.h"

#include <array>
#include <cstdint>

namespace banyanworks {

/// Number of group levels: level L holds 2^L accelerators, up to
/// MaxAcceleratorsPerWorker.
inline constexpr int GroupLevels = 6;

/// Returns the mask of a worker's first \p Count accelerators.
AcceleratorMask firstAccelerators(std::int32_t Count);

/// Returns the level of the smallest group that holds \p Count accelerators; \p
/// Count must be positive.
int groupLevel(std::int32_t Count);

/// Returns a mask with one bit for each free group of \p Level, at its first
/// accelerator. Groups inside larger free groups are included.
AcceleratorMask groupStarts(AcceleratorMask Free, int Level);

/// Returns the number of disjoint free groups of \p Level.
int countGroups(AcceleratorMask Free, int Level);

/// Returns the number of free groups of each level after all free buddies are
/// merged.
std::array<std::uint8_t, GroupLevels> countMergedGroups(AcceleratorMask Free);

/// Returns a mask with one bit for each level that has a merged free group.
std::uint8_t mergedLevelMask(AcceleratorMask Free);

/// Returns the mask of \p Count accelerators at the start of a free group,
/// split from the smallest merged group that is large enough. Groups above \p
/// MaxLevel are not split. Returns 0 if no group qualifies.
AcceleratorMask allocateFromGroup(AcceleratorMask Free, std::int32_t Count,
                                  int MaxLevel = GroupLevels - 1);

/// Returns the group of \p Level that contains the accelerators of \p Inner,
/// which must lie in a single group.
AcceleratorMask enclosingGroup(AcceleratorMask Inner, int Level);

} // namespace banyanworks

#endif
