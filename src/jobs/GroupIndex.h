/// \file
/// Defines GroupIndex, which finds workers by the groups of accelerators that
/// are left on them, without a scan of all workers.
#ifndef BANYANWORKS_JOBS_GROUPINDEX_H
#define BANYANWORKS_JOBS_GROUPINDEX_H

#include "jobs/AlignedGroups.h"

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace banyanworks {

/// A worker's dense index within its CellTree; reused after it was removed.
using WorkerSlot = std::uint32_t;
/// The dense index of a rack and of a kind of worker within a CellTree.
using RackSlot = std::uint32_t;
using KindSlot = std::uint32_t;

/// Totals of one kind of worker: what is left, as a number of groups.
struct GroupTotals {
  /// Merged groups of each level over all workers.
  std::array<std::int32_t, GroupLevels> Merged{};
  /// How many racks have that many workers on which everything is left.
  std::vector<std::int32_t> RacksByWholeWorkers;

  /// Workers on which everything is left.
  std::int32_t wholeWorkers() const;
};

/// Workers that have accelerators, by what is left on them in one respect:
/// free of tasks, not bound to a guarantee, or both.
class GroupIndex {
public:
  /// Enters a worker of which everything is left.
  void add(WorkerSlot Slot, KindSlot Kind, RackSlot Rack, AcceleratorMask All);
  /// Changes what is left on a worker that was entered.
  void update(WorkerSlot Slot, AcceleratorMask Remaining);
  void remove(WorkerSlot Slot);

  const std::vector<GroupTotals> &totals() const { return Kinds; }
  std::int32_t wholeWorkers(RackSlot Rack, KindSlot Kind) const;
  /// Groups of a level that can be taken from the rack, of all kinds.
  std::int32_t groupsInRack(RackSlot Rack, int Level) const;

  /// Calls Visit(slot) for the workers with a merged group of just that level,
  /// those with little else left first, until it returns true. Of workers on
  /// which everything is left, those in racks with few such come first.
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

  /// The head of a bucket in the order of its racks' whole workers; empty if
  /// the bucket is not that of whole workers. Its length is bounded, so that
  /// the cost of a visit does not grow with the bucket.
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
