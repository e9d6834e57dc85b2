/// \file
/// Defines GroupIndex, which finds workers by their remaining groups of
/// accelerators without scanning all workers.
#ifndef BANYANWORKS_JOBS_GROUPINDEX_H
#define BANYANWORKS_JOBS_GROUPINDEX_H

#include "jobs/AlignedGroups.h"

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace banyanworks {

/// A worker's dense index within its CellTree; reused after the worker was
/// removed.
using WorkerSlot = std::uint32_t;
/// Dense indexes of a rack and of a worker kind within a CellTree.
using RackSlot = std::uint32_t;
using KindSlot = std::uint32_t;

/// Remaining groups over all workers of one kind.
struct GroupTotals {
  /// Number of merged groups of each level.
  std::array<std::int32_t, GroupLevels> Merged{};
  /// Histogram: the number of racks by their number of whole workers.
  std::vector<std::int32_t> RacksByWholeWorkers;

  /// Returns the number of workers on which all accelerators remain.
  std::int32_t wholeWorkers() const;
};

/// Workers with accelerators, indexed by the remaining accelerators. The owner
/// defines remaining: free of tasks, not bound to a guarantee, or both.
class GroupIndex {
public:
  /// Adds a worker on which all accelerators remain.
  void add(WorkerSlot Slot, KindSlot Kind, RackSlot Rack, AcceleratorMask All);
  /// Sets the remaining accelerators of a worker that was added.
  void update(WorkerSlot Slot, AcceleratorMask Remaining);
  void remove(WorkerSlot Slot);

  const std::vector<GroupTotals> &totals() const { return Kinds; }
  std::int32_t wholeWorkers(RackSlot Rack, KindSlot Kind) const;
  /// Returns the number of groups of \p Level in the rack, over all worker
  /// kinds.
  std::int32_t groupsInRack(RackSlot Rack, int Level) const;

  /// Calls Visit(slot) for the workers with a merged group of exactly \p Level
  /// until it returns true. Workers without larger merged groups come first;
  /// among whole workers, those in racks with the fewest whole workers.
  template <typename Function>
  bool visit(int Level, const Function &Visit) const {
    for (const auto &Buckets : BucketsByKind) {
      for (unsigned Levels = 1U << Level; Levels < Buckets.size(); ++Levels) {
        if ((Levels >> Level & 1U) == 0 || Buckets[Levels].empty())
          continue;
        const std::vector<WorkerSlot> &Bucket = Buckets[Levels];
        std::vector<WorkerSlot> First = scarceRacksFirst(Bucket);
        for (WorkerSlot Slot : First)
          if (Visit(Slot))
            return true;
        for (std::size_t Index = First.size(); Index < Bucket.size(); ++Index)
          if (Visit(Bucket[Index]))
            return true;
      }
    }
    return false;
  }

private:
  struct Entry {
    KindSlot Kind = 0;
    RackSlot Rack = 0;
    AcceleratorMask All = 0;
    AcceleratorMask Remaining = 0;
    std::uint32_t Position = 0;
  };
  struct RackTotals {
    std::array<std::int32_t, GroupLevels> Merged{};
    std::vector<std::int32_t> WholeWorkers;
  };
  using Buckets = std::array<std::vector<WorkerSlot>, 1U << GroupLevels>;

  /// Returns the first workers of a bucket, sorted by the number of whole
  /// workers in their rack; empty if its workers are not whole. The length is
  /// bounded so that the cost of a visit does not grow with the bucket.
  std::vector<WorkerSlot>
  scarceRacksFirst(const std::vector<WorkerSlot> &Bucket) const;
  void updateTotals(const Entry &Worker, std::int32_t Sign);
  void updateWholeWorkers(const Entry &Worker, std::int32_t Sign);
  void addToBucket(WorkerSlot Slot);
  void removeFromBucket(WorkerSlot Slot);

  std::vector<Entry> Entries;
  std::vector<Buckets> BucketsByKind;
  std::vector<GroupTotals> Kinds;
  std::vector<RackTotals> Racks;
};

} // namespace banyanworks

#endif
