/// \file
/// Defines the placement of a gang under its workspace's guarantee: the cells
/// of it that the gang uses, and where they are bound.
#ifndef BANYANWORKS_JOBS_GUARANTEEDPLACEMENT_H
#define BANYANWORKS_JOBS_GUARANTEEDPLACEMENT_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"

#include <limits>
#include <memory>

namespace banyanworks {

/// What can be had of the workers, and at what cost.
class PlacementCosts {
public:
  static constexpr double Unavailable = std::numeric_limits<double>::infinity();

  virtual ~PlacementCosts() = default;
  /// Accelerators that could be had, whatever they cost.
  virtual AcceleratorMask availableAccelerators(WorkerSlot Slot) const = 0;
  /// The cost of having these accelerators with \p Amount of the worker in
  /// addition to what was taken; Impossible if it cannot be had.
  virtual double allocationCost(WorkerSlot Slot, AcceleratorMask Accelerators,
                                const Resources &Amount) const = 0;
  /// Takes them; later costs count from there.
  virtual void allocate(WorkerSlot Slot, AcceleratorMask Accelerators,
                        const Resources &Amount) = 0;
  /// True if everything that can be had costs nothing, so that the first
  /// place found is as good as any.
  virtual bool isAlwaysZero() const = 0;
  virtual std::unique_ptr<PlacementCosts> clone() const = 0;
};

/// Free accelerators at no cost; nothing else can be had.
std::unique_ptr<PlacementCosts> freeCapacityCosts(const CellTree &Cells,
                                                  const GangRequest &Request);

/// A place for the gang and what it costs.
struct GuaranteedPlacement {
  PlacementResult Result;
  double Cost = 0;
  /// The costs after the gang was taken; null if it was not placed.
  std::unique_ptr<PlacementCosts> CostsAfter;
};

/// Finds a cheap place for the gang at which the ledger would charge it.
GuaranteedPlacement placeUnderGuarantee(const CellTree &Cells,
                                        const GuaranteeLedger &Ledger,
                                        const GangRequest &Request,
                                        const PlacementCosts &Costs);

} // namespace banyanworks

#endif
