/// \file
/// Registers the baseline placement policy "first-fit": each member goes to the
/// first worker with enough free resources, on the lowest-numbered free
/// accelerators. Gangs under a guarantee use placeUnderGuarantee().
#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/GuaranteedPlacement.h"
#include "jobs/Placement.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <bit>

namespace banyanworks {

namespace {

using Slots = std::vector<WorkerSlot>;

AcceleratorMask lowestBits(AcceleratorMask Free, std::int32_t Count) {
  AcceleratorMask Allocated = 0;
  for (; Count > 0; --Count) {
    AcceleratorMask Lowest = Free & (~Free + 1);
    Allocated |= Lowest;
    Free &= ~Lowest;
  }
  return Allocated;
}

/// Places the members on the workers in the order given; empty if the gang does
/// not fit.
std::vector<MemberPlacement> placeMembers(const CellTree &Cells,
                                          const GangRequest &Request,
                                          const Slots &Candidates) {
  const JobSpec &Spec = *Request.Spec;
  std::vector<MemberPlacement> Members;
  for (WorkerSlot Slot : Candidates) {
    const WorkerCell &Cell = Cells.cell(Slot);
    if (std::ranges::find(Request.Excluded, Cell.Info.Id) !=
        Request.Excluded.end())
      continue;
    Resources Free = Cell.Free;
    AcceleratorMask Mask = Cell.FreeMask;
    while (Members.size() < Spec.Members && Spec.PerMember.fitsIn(Free)) {
      AcceleratorMask MemberMask =
          lowestBits(Mask, Spec.PerMember.Accelerators);
      Members.push_back({Cell.Info.Id, MemberMask});
      Mask &= ~MemberMask;
      Free -= Spec.PerMember;
    }
  }
  if (Members.size() < Spec.Members)
    Members.clear();
  return Members;
}

/// Returns the candidate sets of workers, in order. One set must hold the whole
/// gang.
std::vector<Slots> workerSets(const CellTree &Cells,
                              Adjacency MemberAdjacency) {
  std::vector<Slots> Result;
  if (MemberAdjacency == Adjacency::None) {
    Slots All;
    for (WorkerSlot Slot = 0; Slot < Cells.cells().size(); ++Slot)
      if (Cells.cell(Slot).Present)
        All.push_back(Slot);
    return {All};
  }
  const auto &Racks = Cells.racks();
  for (const auto &[Number, Workers] : Racks) {
    if (MemberAdjacency == Adjacency::SameWorker) {
      for (WorkerSlot Slot : Workers)
        Result.push_back({Slot});
      continue;
    }
    Slots Run = Workers;
    if (MemberAdjacency == Adjacency::NeighbouringRacks) {
      std::uint32_t Last = Number;
      for (auto Next = Racks.upper_bound(Number);
           Next != Racks.end() && Next->first == Last + 1; ++Next) {
        Run.insert(Run.end(), Next->second.begin(), Next->second.end());
        Last = Next->first;
      }
    }
    Result.push_back(std::move(Run));
  }
  return Result;
}

PlacementResult firstFit(const CellTree &Cells, const GuaranteeLedger &Ledger,
                         const GangRequest &Request) {
  const JobSpec &Spec = *Request.Spec;
  if (Request.UnderGuarantee) {
    return placeUnderGuarantee(Cells, Ledger, Request,
                               *freeCapacityCosts(Cells, Request))
        .Result;
  }
  Adjacency RequiredAdjacency =
      Spec.AdjacencyRequired ? Spec.MemberAdjacency : Adjacency::None;
  for (const Slots &Candidates : workerSets(Cells, RequiredAdjacency)) {
    std::vector<MemberPlacement> Members =
        placeMembers(Cells, Request, Candidates);
    if (!Members.empty())
      return {std::move(Members), Reason::None};
  }
  if (RequiredAdjacency == Adjacency::None)
    return {{}, Reason::WaitsForCapacity};
  for (const Slots &Candidates : workerSets(Cells, Adjacency::None)) {
    if (!placeMembers(Cells, Request, Candidates).empty())
      return {{}, Reason::WaitsForAdjacency};
  }
  return {{}, Reason::WaitsForCapacity};
}

const Registry<PlacementPolicy>::Registration Registered("first-fit", [] {
  return std::make_unique<PlacementPolicy>(firstFit);
});

} // namespace

} // namespace banyanworks
