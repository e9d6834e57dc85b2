/// \file
/// Registers the placement policy "cell-fit": each member gets the smallest
/// free group of accelerators that holds it, to limit fragmentation, and tasks
/// without accelerators avoid the cores and memory that free accelerators need.
#include "jobs/CellTree.h"
#include "jobs/GangFiller.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/GuaranteedPlacement.h"
#include "jobs/Placement.h"
#include "jobs/RackRanges.h"
#include "kernel/Registry.h"

namespace banyanworks {

namespace {

bool fillAnywhere(const CellTree &Cells, const JobSpec &Spec,
                  GangFiller &Filler) {
  int MinLevel = groupLevel(Spec.PerMember.Accelerators);
  for (int Level = MinLevel; Level < GroupLevels; ++Level) {
    if (Cells.freeGroups().visit(Level, [&](WorkerSlot Slot) {
          return Filler.fillGroups(Slot, Level);
        }))
      return true;
  }
  // A worker with a number of accelerators that is no power of two can hold a
  // member on all of them, although it has no group of the rounded-up size.
  return MinLevel > 0 &&
         Cells.freeGroups().visit(MinLevel - 1, [&](WorkerSlot Slot) {
           return Filler.fillGroups(Slot, GroupLevels - 1);
         });
}

bool fillCpuOnly(const CellTree &Cells, const JobSpec &Spec,
                 GangFiller &Filler) {
  const Resources &MemberResources = Spec.PerMember;
  if (Cells.cpuOnlyWorkers().visit(MemberResources, [&](WorkerSlot Slot) {
        return Filler.fillResources(Slot);
      }))
    return true;
  if (Cells.spareResourceIndex().visit(MemberResources, [&](WorkerSlot Slot) {
        return Filler.fillSpareResources(Slot);
      }))
    return true;
  // Only a task too large for every CPU-only worker may use the cores and
  // memory of free accelerators.
  if (MemberResources.fitsIn(Cells.largestCpuOnlyCapacity()))
    return false;
  for (int Level = 0; Level < GroupLevels; ++Level) {
    if (Cells.freeGroups().visit(
            Level, [&](WorkerSlot Slot) { return Filler.fillResources(Slot); }))
      return true;
  }
  return false;
}

bool fillWorkers(const std::vector<WorkerSlot> &Workers, const JobSpec &Spec,
                 GangFiller &Filler) {
  if (Spec.PerMember.Accelerators == 0) {
    for (WorkerSlot Slot : Workers)
      if (Filler.fillSpareResources(Slot))
        return true;
    for (WorkerSlot Slot : Workers)
      if (Filler.fillResources(Slot))
        return true;
    return false;
  }
  int MinLevel = groupLevel(Spec.PerMember.Accelerators);
  for (int Level = MinLevel; Level < GroupLevels; ++Level) {
    for (WorkerSlot Slot : Workers)
      if (Filler.fillGroups(Slot, Level))
        return true;
  }
  return false;
}

bool fillOneWorker(const CellTree &Cells, const JobSpec &Spec,
                   GangFiller &Filler) {
  auto TryWorker = [&](WorkerSlot Slot) {
    Filler.clear();
    return Spec.PerMember.Accelerators == 0
               ? Filler.fillResources(Slot)
               : Filler.fillGroups(Slot, GroupLevels - 1);
  };
  auto Members = static_cast<std::int32_t>(Spec.Members);
  Resources Total = Spec.PerMember * Members;
  if (Total.Accelerators == 0)
    return Cells.cpuOnlyWorkers().visit(Total, TryWorker) ||
           Cells.spareResourceIndex().visit(Total, TryWorker);
  for (int Level = groupLevel(Total.Accelerators); Level < GroupLevels; ++Level)
    if (Cells.freeGroups().visit(Level, TryWorker))
      return true;
  for (int Level = 0; Level < GroupLevels; ++Level)
    if (Cells.freeGroups().visit(Level, TryWorker))
      return true;
  return false;
}

bool fillRackRange(const CellTree &Cells, const JobSpec &Spec,
                   RackRangeSelection Lengths, GangFiller &Filler) {
  for (const RackRange &Run : findRackRanges(Cells, Spec, Lengths)) {
    Filler.clear();
    if (fillWorkers(workersOf(Cells, Run), Spec, Filler) &&
        inConsecutiveRacks(Cells, Filler.members()))
      return true;
  }
  return false;
}

bool fillAdjacent(const CellTree &Cells, const JobSpec &Spec,
                  Adjacency MemberAdjacency, GangFiller &Filler) {
  Filler.clear();
  if (MemberAdjacency == Adjacency::SameWorker)
    return fillOneWorker(Cells, Spec, Filler);
  if (MemberAdjacency == Adjacency::None)
    return Spec.PerMember.Accelerators == 0 ? fillCpuOnly(Cells, Spec, Filler)
                                            : fillAnywhere(Cells, Spec, Filler);
  if (MemberAdjacency == Adjacency::SameRack)
    return fillRackRange(Cells, Spec, RackRangeSelection::SingleRack, Filler);
  // Ranges are estimated by accelerators alone; if cores or memory are short, a
  // longer range may still fit.
  return fillRackRange(Cells, Spec, RackRangeSelection::Shortest, Filler) ||
         fillRackRange(Cells, Spec, RackRangeSelection::All, Filler);
}

/// Returns the next weaker adjacency.
Adjacency relaxedAdjacency(Adjacency MemberAdjacency) {
  return static_cast<Adjacency>(static_cast<int>(MemberAdjacency) - 1);
}

PlacementResult placeBorrowing(const CellTree &Cells,
                               const GangRequest &Request) {
  const JobSpec &Spec = *Request.Spec;
  GangFiller Filler(Cells, Request);
  Adjacency CurrentAdjacency = Spec.MemberAdjacency;
  while (!fillAdjacent(Cells, Spec, CurrentAdjacency, Filler)) {
    if (CurrentAdjacency == Adjacency::None)
      return {{}, Reason::WaitsForCapacity};
    if (Spec.AdjacencyRequired) {
      bool Fits = fillAdjacent(Cells, Spec, Adjacency::None, Filler);
      return {{}, Fits ? Reason::WaitsForAdjacency : Reason::WaitsForCapacity};
    }
    CurrentAdjacency = relaxedAdjacency(CurrentAdjacency);
  }
  return {Filler.takeMembers(), Reason::None};
}

PlacementResult cellFit(const CellTree &Cells, const GuaranteeLedger &Ledger,
                        const GangRequest &Request) {
  if (!Request.UnderGuarantee)
    return placeBorrowing(Cells, Request);
  return placeUnderGuarantee(Cells, Ledger, Request,
                             *freeCapacityCosts(Cells, Request))
      .Result;
}

const Registry<PlacementPolicy>::Registration Registered("cell-fit", [] {
  return std::make_unique<PlacementPolicy>(cellFit);
});

} // namespace

} // namespace banyanworks
