/// \file
/// Defines GuaranteeSearch, which chooses the guaranteed cells for a gang and
/// the places at which they are bound.
#ifndef BANYANWORKS_JOBS_GUARANTEESEARCH_H
#define BANYANWORKS_JOBS_GUARANTEESEARCH_H

#include "jobs/GuaranteedPlacement.h"
#include "jobs/TentativeCharge.h"

#include <functional>
#include <memory>
#include <vector>

namespace banyanworks {

/// One search. Cells that are bound already are filled first, then unbound
/// ones: the largest that the remaining members fill, else the smallest that
/// holds them.
class GuaranteeSearch {
public:
  /// Searches among the workers given, or all if there are none.
  GuaranteeSearch(const CellTree &Cells, const GuaranteeLedger &Ledger,
                  const JobSpec &Spec, const PlacementCosts &Costs,
                  std::vector<WorkerSlot> Among);

  /// True if the whole gang has places at which the ledger would charge it.
  bool run();
  double cost() const { return Cost; }
  /// What was found; only after run() returned true.
  GuaranteedPlacement takeResult();

private:
  /// Places for one unbound cell, with the members that it is bound for.
  struct Candidate {
    std::vector<WorkerGroup> Places;
    double Cost = 0;
  };
  using Visitor = std::function<bool(Candidate)>;

  std::uint32_t remaining() const {
    return Spec.Members - static_cast<std::uint32_t>(Members.size());
  }
  bool isAllowed(WorkerSlot Slot) const;
  int memberLevel(WorkerSlot Slot) const;
  /// The accelerators that a member occupies of the group that covers it.
  AcceleratorMask memberMask(AcceleratorMask Group) const;

  void useBoundCells();
  /// Binds one more cell of the best shape; false if none can be bound.
  bool bindNextCell();
  bool bindCellOfShape(std::size_t Shape);
  /// Puts members on unused accelerators of a part, the cheapest first.
  void placeMembers(WorkerSlot Slot, AcceleratorMask Unused);

  /// Cells of a shape around which Visit is called until it returns true.
  bool visitCandidates(const CellShape &Shape, const Visitor &Visit) const;
  bool visitWorkers(int Level,
                    const std::function<bool(WorkerSlot)> &Visit) const;
  bool visitOnWorker(const CellShape &Shape, WorkerSlot Slot,
                     const Visitor &Visit) const;
  bool visitRacks(const CellShape &Shape, const Visitor &Visit) const;
  Candidate rackCandidate(const CellShape &Shape,
                          const std::vector<WorkerSlot> &Whole) const;
  /// Members that the accelerators hold if all can be had.
  std::uint32_t maxMembersWithin(WorkerSlot Slot, AcceleratorMask Within) const;
  /// The cost of as many members as are wanted, which are then subtracted from
  /// those; Impossible if none fits.
  double memberCost(WorkerSlot Slot, AcceleratorMask Within,
                    std::uint32_t &Wanted) const;

  const CellTree &Cells;
  const GuaranteeLedger &Ledger;
  const JobSpec &Spec;
  std::unique_ptr<PlacementCosts> Costs;
  std::vector<WorkerSlot> AllowedWorkers;
  TentativeCharge Charge;
  std::vector<MemberPlacement> Members;
  double Cost = 0;
};

} // namespace banyanworks

#endif
