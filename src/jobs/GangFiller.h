/// \file
/// Defines GangFiller, which tries places for the members of one gang without
/// changing the tree.
#ifndef BANYANWORKS_JOBS_GANGFILLER_H
#define BANYANWORKS_JOBS_GANGFILLER_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"

#include <unordered_map>
#include <vector>

namespace banyanworks {

/// Collects the members of a gang worker by worker and remembers what they
/// leave of each.
class GangFiller {
public:
  GangFiller(const CellTree &Cells, const GangRequest &Request);

  /// Puts as many members on the worker as fit without splitting a free group
  /// above \p LargestSplit; true once the gang is complete.
  bool fillGroups(WorkerSlot Slot, int MaxLevel);
  /// Puts as many members without accelerators on the worker as fit.
  bool fillResources(WorkerSlot Slot);
  /// As fillRoom, but keeps for each free accelerator its share of the room.
  bool fillSpareResources(WorkerSlot Slot);

  bool complete() const { return Members.size() == Spec.Members; }
  /// Forgets the members placed so far.
  void clear();
  const std::vector<MemberPlacement> &members() const { return Members; }
  std::vector<MemberPlacement> takeMembers() { return std::move(Members); }

private:
  struct Remainder {
    Resources Free;
    AcceleratorMask Accelerators = 0;
  };

  /// What is left of a worker; null if it must not be used.
  Remainder *remainderOn(WorkerSlot Slot);
  bool fillWithin(WorkerSlot Slot, const Resources &Usable);

  const CellTree &Cells;
  const JobSpec &Spec;
  std::vector<WorkerSlot> Excluded;
  std::unordered_map<WorkerSlot, Remainder> Remainders;
  std::vector<MemberPlacement> Members;
};

/// Takes accelerators for one member: a part of an aligned group, or the whole
/// of a worker on which no group is large enough; zero if there are none.
AcceleratorMask allocateAccelerators(const WorkerCell &Cell,
                                     AcceleratorMask Free, std::int32_t Count,
                                     int MaxLevel);

} // namespace banyanworks

#endif
