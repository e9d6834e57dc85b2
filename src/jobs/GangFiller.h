/// \file
/// Defines GangFiller, which places the members of one gang tentatively,
/// without changing the cell tree.
#ifndef BANYANWORKS_JOBS_GANGFILLER_H
#define BANYANWORKS_JOBS_GANGFILLER_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"

#include <unordered_map>
#include <vector>

namespace banyanworks {

/// Places the members of a gang worker by worker and tracks the remaining
/// resources of each worker.
class GangFiller {
public:
  GangFiller(const CellTree &Cells, const GangRequest &Request);

  /// Places as many members on the worker as fit without splitting a free group
  /// above level \p MaxLevel. Returns true once the gang is complete.
  bool fillGroups(WorkerSlot Slot, int MaxLevel);
  /// Places as many members without accelerators on the worker as fit. Returns
  /// true once the gang is complete.
  bool fillResources(WorkerSlot Slot);
  /// Like fillResources, but leaves each free accelerator its share of cores
  /// and memory.
  bool fillSpareResources(WorkerSlot Slot);

  bool complete() const { return Members.size() == Spec.Members; }
  /// Discards all tentative placements.
  void clear();
  const std::vector<MemberPlacement> &members() const { return Members; }
  std::vector<MemberPlacement> takeMembers() { return std::move(Members); }

private:
  struct Remainder {
    Resources Free;
    AcceleratorMask Accelerators = 0;
  };

  /// The remaining resources of a worker; null if the worker is excluded.
  Remainder *remainderOn(WorkerSlot Slot);
  bool fillWithin(WorkerSlot Slot, const Resources &Usable);

  const CellTree &Cells;
  const JobSpec &Spec;
  std::vector<WorkerSlot> Excluded;
  std::unordered_map<WorkerSlot, Remainder> Remainders;
  std::vector<MemberPlacement> Members;
};

/// Allocates accelerators for one member: part of an aligned group, or
/// accelerators of an entirely free worker on which no group is large enough.
/// Returns zero if none fit.
AcceleratorMask allocateAccelerators(const WorkerCell &Cell,
                                     AcceleratorMask Free, std::int32_t Count,
                                     int MaxLevel);

} // namespace banyanworks

#endif
