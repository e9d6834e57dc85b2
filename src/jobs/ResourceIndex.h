/// \file
/// Defines ResourceIndex, which finds workers by available cores and memory for
/// tasks without accelerators.
#ifndef BANYANWORKS_JOBS_RESOURCEINDEX_H
#define BANYANWORKS_JOBS_RESOURCEINDEX_H

#include "base/Units.h"
#include "jobs/GroupIndex.h"

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace banyanworks {

/// Workers in a grid of available cores by available memory. Both axes use
/// logarithmic size classes, four per power of two.
class ResourceIndex {
public:
  /// Adds a worker, or moves it to the classes of its new resources.
  void update(WorkerSlot Slot, const Resources &Available);
  void remove(WorkerSlot Slot);

  /// Calls Visit(slot) for each worker whose size classes may hold \p Need,
  /// those with the fewest cores first, until it returns true.
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

  /// Returns the size class of an amount; class 0 includes negative amounts.
  static unsigned sizeClass(std::int64_t Amount);

  std::vector<Entry> Entries;
  std::array<std::array<std::vector<WorkerSlot>, ClassCount>, ClassCount> Grid;
  std::array<std::uint64_t, ClassCount> OccupiedByCores{};
};

} // namespace banyanworks

#endif
