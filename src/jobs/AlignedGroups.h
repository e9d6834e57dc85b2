/// \file
/// Defines the buddy arithmetic on the accelerators of one worker. A group is
/// a power of two of neighbouring accelerators that starts at a multiple of
/// its size; groups split into halves and merge again by their bits alone.
#ifndef BANYANWORKS_JOBS_ALIGNEDGROUPS_H
#define BANYANWORKS_JOBS_ALIGNEDGROUPS_H

#include "model/Worker.h"

#include <array>
#include <cstdint>

namespace banyanworks {

/// Levels of groups: 1, 2, 4, ... accelerators up to those of one worker.
inline constexpr int GroupLevels = 6;

/// The mask of a worker's first \p Count accelerators.
AcceleratorMask firstAccelerators(std::int32_t Count);

/// The level of the smallest group that holds \p Count accelerators.
int groupLevel(std::int32_t Count);

/// One bit for each free group of exactly that level, at its first
/// accelerator, groups within larger free ones included.
AcceleratorMask groupStarts(AcceleratorMask Free, int Level);

/// How many separate groups of the level fit in the free accelerators.
int countGroups(AcceleratorMask Free, int Level);

/// How many free groups there are of each level once all buddies are merged.
std::array<std::uint8_t, GroupLevels> countMergedGroups(AcceleratorMask Free);

/// One bit for each level of which a merged free group exists.
std::uint8_t mergedLevelMask(AcceleratorMask Free);

/// Takes \p Count accelerators at the start of a free group, split from the
/// smallest merged group that is large enough, but from none above
/// \p LargestSplit; zero if there is none.
AcceleratorMask allocateFromGroup(AcceleratorMask Free, std::int32_t Count,
                                  int MaxLevel = GroupLevels - 1);

/// The group of that level around the accelerators of \p Inner, which must lie
/// in one.
AcceleratorMask enclosingGroup(AcceleratorMask Inner, int Level);

} // namespace banyanworks

#endif
