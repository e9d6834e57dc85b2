/// \file
/// Defines GuaranteeSearch, which chooses the guaranteed cells for a gang and
/// the accelerators to which they are bound.
#ifndef BANYANWORKS_JOBS_GUARANTEESEARCH_H
#define BANYANWORKS_JOBS_GUARANTEESEARCH_H

#include "jobs/GuaranteedPlacement.h"
#include "jobs/TentativeCharge.h"

#include <functional>
#include <memory>
#include <vector>

namespace banyanworks {

/// A greedy search for the placement of one gang. Cells that are already bound
/// are filled first, then unbound ones: the largest that the remaining members
/// fill, otherwise the smallest that holds them.
class GuaranteeSearch {
public:
  /// Searches the workers in \p AllowedWorkers, or all workers if it is empty.
  GuaranteeSearch(const CellTree &Cells, const GuaranteeLedger &Ledger,
                  const JobSpec &Spec, const PlacementCosts &Costs,
                  std::vector<WorkerSlot> AllowedWorkers);

  /// Returns true if the whole gang was placed and the ledger can charge it.
  bool run();
  double cost() const { return Cost; }
  /// Moves the result out. Requires that run() returned true.
  GuaranteedPlacement takeResult();

private:
  /// Accelerators for one unbound cell, and the cost of the members in it.
  struct Candidate {
    std::vector<WorkerGroup> Groups;
    double Cost = 0;
  };
  using Visitor = std::function<bool(Candidate)>;

  std::uint32_t remaining() const {
    return Spec.Members - static_cast<std::uint32_t>(Members.size());
  }
  bool isAllowed(WorkerSlot Slot) const;
  int memberLevel(WorkerSlot Slot) const;
  /// Returns the accelerators that a member occupies within its group.
  AcceleratorMask memberMask(AcceleratorMask Group) const;

  void useBoundCells();
  /// Binds one more cell, trying the shapes in the order of sortForGang();
  /// false if none can be bound.
  bool bindNextCell();
  bool bindCellOfShape(std::size_t Shape);
  /// Places members on the unused accelerators of one worker, cheapest first.
  void placeMembers(WorkerSlot Slot, AcceleratorMask Unused);

  /// Calls Visit for candidates of the shape until it returns true.
  bool visitCandidates(const CellShape &Shape, const Visitor &Visit) const;
  bool visitWorkers(int Level,
                    const std::function<bool(WorkerSlot)> &Visit) const;
  bool visitOnWorker(const CellShape &Shape, WorkerSlot Slot,
                     const Visitor &Visit) const;
  bool visitRacks(const CellShape &Shape, const Visitor &Visit) const;
  Candidate rackCandidate(const CellShape &Shape,
                          const std::vector<WorkerSlot> &FreeWorkers) const;
  /// Returns the number of members that the accelerators hold if all are
  /// available.
  std::uint32_t maxMembersWithin(WorkerSlot Slot,
                                 AcceleratorMask AllowedMask) const;
  /// Returns the cost of up to \p MembersLeft members and subtracts their
  /// number from \p MembersLeft; Unavailable if none fits.
  double memberCost(WorkerSlot Slot, AcceleratorMask AllowedMask,
                    std::uint32_t &MembersLeft) const;

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
