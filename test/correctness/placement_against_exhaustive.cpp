/// \file
/// On small clusters "cell-fit" places a gang if and only if an exhaustive
/// search does, for each adjacency, and the placements are free.
#include "support/Clusters.h"

#include "base/Random.h"
#include "jobs/AlignedGroups.h"
#include "jobs/GuaranteeLedger.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <bit>
#include <set>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

/// Tries every worker for each member in turn.
class Exhaustive {
public:
  Exhaustive(const CellTree &Cells, const JobSpec &Spec)
      : Cells(Cells), Spec(Spec) {
    for (const WorkerCell &Cell : Cells.cells()) {
      Masks.push_back(Cell.FreeMask);
      Rooms.push_back(Cell.Free);
    }
  }

  bool fits(Adjacency MemberAdjacency) {
    return place(0, 0, MemberAdjacency, {});
  }

private:
  bool satisfiesAdjacency(const std::set<WorkerSlot> &Used,
                          Adjacency MemberAdjacency) const {
    std::set<std::uint32_t> Racks;
    for (WorkerSlot Slot : Used)
      Racks.insert(Cells.cell(Slot).Info.RackNumber);
    switch (MemberAdjacency) {
    case Adjacency::SameWorker:
      return Used.size() <= 1;
    case Adjacency::SameRack:
      return Racks.size() <= 1;
    case Adjacency::NeighbouringRacks:
    case Adjacency::None:
      return true;
    }
    return true;
  }

  bool inConsecutiveRacks(const std::set<WorkerSlot> &Used) const {
    std::set<std::uint32_t> Racks;
    for (WorkerSlot Slot : Used)
      Racks.insert(Cells.cell(Slot).Info.RackNumber);
    return *Racks.rbegin() - *Racks.begin() + 1 == Racks.size();
  }

  bool place(std::uint32_t Member, WorkerSlot FirstSlot,
             Adjacency MemberAdjacency, const std::set<WorkerSlot> &Used) {
    if (Member == Spec.Members)
      return MemberAdjacency != Adjacency::NeighbouringRacks ||
             inConsecutiveRacks(Used);
    for (WorkerSlot Slot = FirstSlot; Slot < Masks.size(); ++Slot) {
      AcceleratorMask Group = firstGroup(Slot);
      if (Group == 0 || !Spec.PerMember.fitsIn(Rooms[Slot]))
        continue;
      std::set<WorkerSlot> Next = Used;
      Next.insert(Slot);
      if (!satisfiesAdjacency(Next, MemberAdjacency))
        continue;
      Masks[Slot] &= ~Group;
      Rooms[Slot] -= Spec.PerMember;
      if (place(Member + 1, Slot, MemberAdjacency, Next))
        return true;
      Masks[Slot] |= Group;
      Rooms[Slot] += Spec.PerMember;
    }
    return false;
  }

  /// All members are equal, so the choice among free groups of one size does
  /// not change how many more fit.
  AcceleratorMask firstGroup(WorkerSlot Slot) const {
    int Level = groupLevel(Spec.PerMember.Accelerators);
    AcceleratorMask Starts = groupStarts(Masks[Slot], Level);
    if (Starts == 0)
      return 0;
    return firstAccelerators(std::int32_t(1) << Level)
           << std::countr_zero(Starts);
  }

  const CellTree &Cells;
  const JobSpec &Spec;
  std::vector<AcceleratorMask> Masks;
  std::vector<Resources> Rooms;
};

/// Occupies single accelerators and cores at random.
void occupyRandomly(CellTree &Cells, Random &Rng) {
  std::uint64_t Job = 1000;
  double Share = Rng.uniform();
  for (WorkerSlot Slot = 0; Slot < Cells.cells().size(); ++Slot) {
    const WorkerCell &Cell = Cells.cell(Slot);
    for (std::int32_t Bit = 0; Bit < Cell.Info.Capacity.Accelerators; ++Bit) {
      if (Rng.withProbability(Share))
        Cells.allocate({JobId(++Job), 0, 0}, Cell.Info.Id, {3000, 1024, 1},
                       AcceleratorMask(1) << Bit);
    }
    if (Rng.withProbability(0.3))
      Cells.allocate({JobId(++Job), 0, 0}, Cell.Info.Id, {6000, 1024, 0}, 0);
  }
}

} // namespace

Test(placement, equals_exhaustive_search_on_small_clusters) {
  Random Rng(11);
  auto PlaceGang = Registry<PlacementPolicy>::instance().make("cell-fit");
  int Placed = 0;
  int Refused = 0;
  for (int Try = 0; Try < 4000; ++Try) {
    CellTree Cells;
    GuaranteeLedger Ledger(Cells);
    addRacks(Cells, 3, 2, 4);
    occupyRandomly(Cells, Rng);
    auto Spec = makeJob(1, "p", 1 + Rng.below(5),
                        1 + static_cast<std::int32_t>(Rng.below(4)));
    Spec->MemberAdjacency = static_cast<Adjacency>(Rng.below(4));
    Spec->AdjacencyRequired = true;
    PlacementResult Result = (*PlaceGang)(Cells, Ledger, {Spec, false, {}});
    bool Fits = Exhaustive(Cells, *Spec).fits(Spec->MemberAdjacency);
    cr_assert_eq(Result.placed(), Fits, "case %d", Try);
    (Fits ? Placed : Refused) += 1;
    if (Fits) {
      cr_assert(allocateGang(Cells, *Spec, Result.Members));
      continue;
    }
    bool FitsApart = Exhaustive(Cells, *Spec).fits(Adjacency::None);
    cr_assert_eq(Result.FailureReason, FitsApart ? Reason::WaitsForAdjacency
                                                 : Reason::WaitsForCapacity);
  }
  cr_assert(Placed > 400 && Refused > 400, "both outcomes must occur");
}

Test(placement, keeps_excluded_workers_out) {
  CellTree Cells;
  GuaranteeLedger Ledger(Cells);
  addRacks(Cells, 1, 2, 4);
  for (const std::string &Name :
       Registry<PlacementPolicy>::instance().names()) {
    auto PlaceGang = Registry<PlacementPolicy>::instance().make(Name);
    auto Spec = makeJob(1, "p", 1, 4);
    PlacementResult Result =
        (*PlaceGang)(Cells, Ledger, {Spec, false, {WorkerId("r0w0")}});
    cr_assert(Result.placed());
    cr_assert(Result.Members[0].Worker == WorkerId("r0w1"));
  }
}
