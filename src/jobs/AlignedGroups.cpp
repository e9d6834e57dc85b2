/// \file
/// Implements the buddy arithmetic on masks of accelerators.
#include "jobs/AlignedGroups.h"

#include "base/Check.h"

#include <bit>

namespace banyanworks {

namespace {

/// Bits at multiples of the group size of each level.
constexpr std::array<AcceleratorMask, GroupLevels> Starts = {
    0xFFFFFFFF, 0x55555555, 0x11111111, 0x01010101, 0x00010001, 0x00000001};

} // namespace

AcceleratorMask firstAccelerators(std::int32_t Count) {
  if (Count >= MaxAcceleratorsPerWorker)
    return ~AcceleratorMask(0);
  return (AcceleratorMask(1) << Count) - 1;
}

int groupLevel(std::int32_t Count) {
  BANYANWORKS_CHECK(Count > 0, "a group holds accelerators");
  return static_cast<int>(
      std::bit_width(static_cast<std::uint32_t>(Count) - 1));
}

AcceleratorMask groupStarts(AcceleratorMask Free, int Level) {
  AcceleratorMask Result = Free;
  for (int Step = 0; Step < Level; ++Step)
    Result &= Result >> (1U << Step);
  return Result & Starts[Level];
}

int countGroups(AcceleratorMask Free, int Level) {
  return Level >= GroupLevels ? 0 : std::popcount(groupStarts(Free, Level));
}

std::array<std::uint8_t, GroupLevels> countMergedGroups(AcceleratorMask Free) {
  std::array<std::uint8_t, GroupLevels> Result{};
  int GroupsAbove = 0;
  for (int Level = GroupLevels - 1; Level >= 0; --Level) {
    int GroupsAtLevel = countGroups(Free, Level);
    Result[Level] = static_cast<std::uint8_t>(GroupsAtLevel - 2 * GroupsAbove);
    GroupsAbove = GroupsAtLevel;
  }
  return Result;
}

std::uint8_t mergedLevelMask(AcceleratorMask Free) {
  auto Groups = countMergedGroups(Free);
  std::uint8_t Result = 0;
  for (int Level = 0; Level < GroupLevels; ++Level)
    if (Groups[Level] > 0)
      Result |= static_cast<std::uint8_t>(1U << Level);
  return Result;
}

AcceleratorMask allocateFromGroup(AcceleratorMask Free, std::int32_t Count,
                                  int MaxLevel) {
  for (int Level = groupLevel(Count); Level <= MaxLevel; ++Level) {
    AcceleratorMask GroupsAtLevel = groupStarts(Free, Level);
    AcceleratorMask Merged = GroupsAtLevel;
    if (Level + 1 < GroupLevels) {
      AcceleratorMask Above = groupStarts(Free, Level + 1);
      Merged &= ~(Above | (Above << (1U << Level)));
    }
    if (Merged != 0)
      return firstAccelerators(Count) << std::countr_zero(Merged);
  }
  return 0;
}

AcceleratorMask enclosingGroup(AcceleratorMask Inner, int Level) {
  unsigned Size = 1U << Level;
  unsigned First = std::countr_zero(Inner) / Size * Size;
  return firstAccelerators(static_cast<std::int32_t>(Size)) << First;
}

} // namespace banyanworks
