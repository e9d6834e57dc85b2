/// \file
/// Defines the placement of a gang under its workspace's guarantee: the
/// guaranteed cells that it uses and the accelerators to which they are bound.
#ifndef BANYANWORKS_JOBS_GUARANTEEDPLACEMENT_H
#define BANYANWORKS_JOBS_GUARANTEEDPLACEMENT_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"

#include <limits>
#include <memory>

namespace banyanworks {

/// Available capacity of the workers and the cost of its allocation.
class PlacementCosts {
public:
  static constexpr double Unavailable = std::numeric_limits<double>::infinity();

  virtual ~PlacementCosts() = default;
  /// Returns the available accelerators, at any cost.
  virtual AcceleratorMask availableAccelerators(WorkerSlot Slot) const = 0;
  /// Returns the cost of allocating these accelerators with \p Amount of the
  /// worker's resources in addition to prior allocations; Unavailable if this
  /// is not possible.
  virtual double allocationCost(WorkerSlot Slot, AcceleratorMask Accelerators,
                                const Resources &Amount) const = 0;
  /// Allocates the resources; later costs take this allocation into account.
  virtual void allocate(WorkerSlot Slot, AcceleratorMask Accelerators,
                        const Resources &Amount) = 0;
  /// Returns true if all available capacity costs nothing, so that a search can
  /// stop at the first placement.
  virtual bool isAlwaysZero() const = 0;
  virtual std::unique_ptr<PlacementCosts> clone() const = 0;
};

/// Returns costs that make free capacity available at no cost and nothing else.
std::unique_ptr<PlacementCosts> freeCapacityCosts(const CellTree &Cells,
                                                  const GangRequest &Request);

/// The placement of a gang and its cost.
struct GuaranteedPlacement {
  PlacementResult Result;
  double Cost = 0;
  /// The costs after the gang's allocation; null if it was not placed.
  std::unique_ptr<PlacementCosts> CostsAfter;
};

/// Finds a low-cost placement of the gang that the ledger can charge. On
/// failure, CostsAfter is null and Result.FailureReason is set.
GuaranteedPlacement placeUnderGuarantee(const CellTree &Cells,
                                        const GuaranteeLedger &Ledger,
                                        const GangRequest &Request,
                                        const PlacementCosts &Costs);

} // namespace banyanworks

#endif
