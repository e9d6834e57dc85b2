/// \file
/// Registers the placement policy "cell-fit": a member goes to the smallest
/// free group of accelerators that holds it, so that large groups stay whole,
/// and tasks without accelerators go where they strand none.
#include "jobs/CellTree.h"
#include "jobs/GangFiller.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/GuaranteePlanner.h"
#include "jobs/Placement.h"
#include "jobs/RackRuns.h"
#include "kernel/Registry.h"

namespace banyanworks {

namespace {

bool fillAnywhere(const CellTree &Cells, const JobSpec &Spec,
                  GangFiller &Filler) {
  int Least = levelOf(Spec.PerMember.Accelerators);
  for (int Level = Least; Level < GroupLevels; ++Level) {
    if (Cells.freeGroups().visit(Level, [&](WorkerSlot Slot) {
          return Filler.fillGroups(Slot, Level);
        }))
      return true;
  }
  // A worker whose number of accelerators is no power of two is whole without
  // a group of the size that the member would be rounded up to.
  return Least > 0 && Cells.freeGroups().visit(Least - 1, [&](WorkerSlot Slot) {
    return Filler.fillGroups(Slot, GroupLevels - 1);
  });
}

bool fillPlain(const CellTree &Cells, const JobSpec &Spec, GangFiller &Filler) {
  const Resources &Need = Spec.PerMember;
  if (Cells.plainRoom().visit(
          Need, [&](WorkerSlot Slot) { return Filler.fillResources(Slot); }))
    return true;
  if (Cells.spareRoom().visit(Need, [&](WorkerSlot Slot) {
        return Filler.fillSpareResources(Slot);
      }))
    return true;
  // Accelerators are stranded only by tasks that could run nowhere else.
  if (Need.fitsIn(Cells.largestPlainWorker()))
    return false;
  for (int Level = 0; Level < GroupLevels; ++Level) {
    if (Cells.freeGroups().visit(
            Level, [&](WorkerSlot Slot) { return Filler.fillResources(Slot); }))
      return true;
  }
  return false;
}

bool fillAmong(const std::vector<WorkerSlot> &Workers, const JobSpec &Spec,
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
  int Least = levelOf(Spec.PerMember.Accelerators);
  for (int Level = Least; Level < GroupLevels; ++Level) {
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
  Resources All = Spec.PerMember * Members;
  if (All.Accelerators == 0)
    return Cells.plainRoom().visit(All, TryWorker) ||
           Cells.spareRoom().visit(All, TryWorker);
  for (int Level = levelOf(All.Accelerators); Level < GroupLevels; ++Level)
    if (Cells.freeGroups().visit(Level, TryWorker))
      return true;
  for (int Level = 0; Level < GroupLevels; ++Level)
    if (Cells.freeGroups().visit(Level, TryWorker))
      return true;
  return false;
}

bool fillRun(const CellTree &Cells, const JobSpec &Spec, RunLengths Lengths,
             GangFiller &Filler) {
  for (const RackRun &Run : rackRuns(Cells, Spec, Lengths)) {
    Filler.clear();
    if (fillAmong(workersOf(Cells, Run), Spec, Filler) &&
        inConsecutiveRacks(Cells, Filler.members()))
      return true;
  }
  return false;
}

bool fillNear(const CellTree &Cells, const JobSpec &Spec, Adjacency Near,
              GangFiller &Filler) {
  Filler.clear();
  if (Near == Adjacency::SameWorker)
    return fillOneWorker(Cells, Spec, Filler);
  if (Near == Adjacency::None)
    return Spec.PerMember.Accelerators == 0 ? fillPlain(Cells, Spec, Filler)
                                            : fillAnywhere(Cells, Spec, Filler);
  if (Near == Adjacency::SameRack)
    return fillRun(Cells, Spec, RunLengths::One, Filler);
  // Runs are estimated by accelerators alone: where cores or memory are short,
  // a longer one may do.
  return fillRun(Cells, Spec, RunLengths::Shortest, Filler) ||
         fillRun(Cells, Spec, RunLengths::All, Filler);
}

/// The distance one step further than \p Near.
Adjacency looser(Adjacency Near) {
  return static_cast<Adjacency>(static_cast<int>(Near) - 1);
}

PlacementResult placeLoan(const CellTree &Cells, const GangRequest &Request) {
  const JobSpec &Spec = *Request.Spec;
  GangFiller Filler(Cells, Request);
  Adjacency Near = Spec.Near;
  while (!fillNear(Cells, Spec, Near, Filler)) {
    if (Near == Adjacency::None)
      return {{}, Reason::WaitsForCapacity};
    if (Spec.NearRequired) {
      bool Fits = fillNear(Cells, Spec, Adjacency::None, Filler);
      return {{}, Fits ? Reason::WaitsForAdjacency : Reason::WaitsForCapacity};
    }
    Near = looser(Near);
  }
  return {Filler.takeMembers(), Reason::None};
}

PlacementResult cellFit(const CellTree &Cells, const GuaranteeLedger &Ledger,
                        const GangRequest &Request) {
  if (!Request.UnderGuarantee)
    return placeLoan(Cells, Request);
  return placeUnderGuarantee(Cells, Ledger, Request,
                             *freePositions(Cells, Request))
      .Result;
}

const Registry<PlacementPolicy>::Registration Registered("cell-fit", [] {
  return std::make_unique<PlacementPolicy>(cellFit);
});

} // namespace

} // namespace banyanworks
