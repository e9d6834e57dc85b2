/// \file
/// Implements the placement of a gang under its workspace's guarantee.
#include "jobs/GuaranteedPlacement.h"

#include "jobs/GuaranteeCover.h"
#include "jobs/GuaranteeSearch.h"
#include "jobs/TentativeCharge.h"

#include <algorithm>
#include <unordered_map>

namespace banyanworks {

namespace {

class FreeCapacityCosts : public PlacementCosts {
public:
  FreeCapacityCosts(const CellTree &Cells, const GangRequest &Request)
      : Cells(Cells) {
    for (const WorkerId &Id : Request.Excluded)
      if (auto Slot = Cells.slotOf(Id))
        Allocated[*Slot] = {~AcceleratorMask(0), Cells.cell(*Slot).Free};
  }

  AcceleratorMask availableAccelerators(WorkerSlot Slot) const override {
    auto Found = Allocated.find(Slot);
    AcceleratorMask AllocatedMask =
        Found == Allocated.end() ? 0 : Found->second.Mask;
    return Cells.cell(Slot).FreeMask & ~AllocatedMask;
  }

  double allocationCost(WorkerSlot Slot, AcceleratorMask Accelerators,
                        const Resources &Amount) const override {
    if ((Accelerators & ~availableAccelerators(Slot)) != 0)
      return Unavailable;
    Resources Available = Cells.cell(Slot).Free;
    if (auto Found = Allocated.find(Slot); Found != Allocated.end())
      Available -= Found->second.Amount;
    return Amount.fitsIn(Available) ? 0 : Unavailable;
  }

  void allocate(WorkerSlot Slot, AcceleratorMask Accelerators,
                const Resources &Amount) override {
    Allocation &SlotAllocation = Allocated[Slot];
    SlotAllocation.Mask |= Accelerators;
    SlotAllocation.Amount += Amount;
  }

  bool isAlwaysZero() const override { return true; }

  std::unique_ptr<PlacementCosts> clone() const override {
    return std::make_unique<FreeCapacityCosts>(*this);
  }

private:
  struct Allocation {
    AcceleratorMask Mask = 0;
    Resources Amount;
  };

  const CellTree &Cells;
  std::unordered_map<WorkerSlot, Allocation> Allocated;
};

/// Returns the candidate sets of workers. One set must hold the whole gang.
std::vector<std::vector<WorkerSlot>> workerSets(const CellTree &Cells,
                                                Adjacency MemberAdjacency) {
  std::vector<std::vector<WorkerSlot>> Result;
  if (MemberAdjacency == Adjacency::SameWorker) {
    for (const auto &[Number, Workers] : Cells.racks()) {
      for (WorkerSlot Slot : Workers)
        if (Cells.cell(Slot).allAccelerators() != 0)
          Result.push_back({Slot});
    }
    return Result;
  }
  for (const auto &[Number, Workers] : Cells.racks())
    Result.push_back(Workers);
  if (MemberAdjacency == Adjacency::SameRack)
    return Result;
  for (auto First = Cells.racks().begin(); First != Cells.racks().end();
       ++First) {
    std::vector<WorkerSlot> Run = First->second;
    std::uint32_t Last = First->first;
    for (auto Next = std::next(First);
         Next != Cells.racks().end() && Next->first == Last + 1; ++Next) {
      Run.insert(Run.end(), Next->second.begin(), Next->second.end());
      Last = Next->first;
      Result.push_back(Run);
    }
  }
  return Result;
}

/// True if the workers have enough available accelerators, at any cost.
bool hasEnoughAccelerators(const std::vector<WorkerSlot> &Workers,
                           const PlacementCosts &Costs, const JobSpec &Spec) {
  std::int64_t Available = 0;
  for (WorkerSlot Slot : Workers)
    Available += std::popcount(Costs.availableAccelerators(Slot));
  return Available >= std::int64_t(Spec.Members) * Spec.PerMember.Accelerators;
}

/// Returns the cheapest placement within a single candidate set.
GuaranteedPlacement placeAdjacent(const CellTree &Cells,
                                  const GuaranteeLedger &Ledger,
                                  const JobSpec &Spec,
                                  const PlacementCosts &Costs,
                                  Adjacency MemberAdjacency) {
  GuaranteedPlacement Best;
  Best.Cost = PlacementCosts::Unavailable;
  for (const auto &Workers : workerSets(Cells, MemberAdjacency)) {
    if (!hasEnoughAccelerators(Workers, Costs, Spec))
      continue;
    GuaranteeSearch Search(Cells, Ledger, Spec, Costs, Workers);
    if (!Search.run() || Search.cost() >= Best.Cost)
      continue;
    Best = Search.takeResult();
    if (Best.Cost <= 0)
      break;
  }
  return Best;
}

} // namespace

std::unique_ptr<PlacementCosts> freeCapacityCosts(const CellTree &Cells,
                                                  const GangRequest &Request) {
  return std::make_unique<FreeCapacityCosts>(Cells, Request);
}

GuaranteedPlacement placeUnderGuarantee(const CellTree &Cells,
                                        const GuaranteeLedger &Ledger,
                                        const GangRequest &Request,
                                        const PlacementCosts &Costs) {
  const JobSpec &Spec = *Request.Spec;
  GuaranteedPlacement None;
  None.Result.FailureReason = Reason::WaitsForGuarantee;
  if (!Ledger.coversGang(Spec))
    return None;
  // Preferred adjacency is tried only where all available capacity is free of
  // cost, so that it never causes additional gangs to be reclaimed.
  bool CheckAdjacency = Spec.AdjacencyRequired || Costs.isAlwaysZero();
  if (Spec.MemberAdjacency != Adjacency::None && CheckAdjacency) {
    GuaranteedPlacement AdjacentPlacement =
        placeAdjacent(Cells, Ledger, Spec, Costs, Spec.MemberAdjacency);
    if (AdjacentPlacement.CostsAfter)
      return AdjacentPlacement;
  }
  GuaranteeSearch Search(Cells, Ledger, Spec, Costs, {});
  bool Fits = Search.run();
  if (Fits &&
      !(Spec.AdjacencyRequired && Spec.MemberAdjacency != Adjacency::None))
    return Search.takeResult();
  None.Result.FailureReason =
      Fits ? Reason::WaitsForAdjacency : Reason::WaitsForCapacity;
  return None;
}

} // namespace banyanworks
