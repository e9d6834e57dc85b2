/// \file
/// Defines RoomIndex, which finds workers by their spare cores and memory for
/// tasks that ask for no accelerator.
#ifndef BANYANWORKS_JOBS_RESOURCEINDEX_H
#define BANYANWORKS_JOBS_RESOURCEINDEX_H

#include "base/Units.h"
#include "jobs/GroupIndex.h"

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace banyanworks {

/// Workers in a grid of spare cores by spare memory, both on a scale of
/// classes that grow by a quarter of an octave each.
class ResourceIndex {
public:
  /// Enters a worker, or moves it to where its new room belongs.
  void update(WorkerSlot Slot, const Resources &Room);
  void remove(WorkerSlot Slot);

  /// Calls Visit(slot) for each worker whose class does not rule out \p Need,
  /// those with the fewest spare cores first, until it returns true.
  template <typename Function>
  bool visit(const Resources &Need, const Function &Visit) const {
    unsigned LowMemory = sizeClass(Need.MemoryMiB);
    for (unsigned Cores = sizeClass(Need.MilliCores); Cores < ClassCount;
         ++Cores) {
      std::uint64_t Filled = OccupiedByCores[Cores] >> LowMemory << LowMemory;
      for (; Filled != 0; Filled &= Filled - 1) {
        for (WorkerSlot Slot : Grid[Cores][std::countr_zero(Filled)])
          if (Visit(Slot))
            return true;
      }
    }
    return false;
  }

private:
  static constexpr unsigned ClassCount = 64;
  struct Entry {
    bool Present = false;
    std::uint8_t Cores = 0;
    std::uint8_t Memory = 0;
    std::uint32_t Position = 0;
  };

  /// Grows with the amount; amounts below zero count as zero.
  static unsigned sizeClass(std::int64_t Amount);

  std::vector<Entry> Entries;
  std::array<std::array<std::vector<WorkerSlot>, ClassCount>, ClassCount> Grid;
  std::array<std::uint64_t, ClassCount> OccupiedByCores{};
};

} // namespace banyanworks

#endif
