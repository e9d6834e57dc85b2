/// \file
/// Defines ReclaimCosts, the cost of capacity that borrowing gangs occupy.
#ifndef BANYANWORKS_JOBS_RECLAIMCOSTS_H
#define BANYANWORKS_JOBS_RECLAIMCOSTS_H

#include "jobs/GuaranteedPlacement.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace banyanworks {

/// Free capacity costs nothing. Capacity of a borrowing gang costs as much as
/// stopping the whole gang, counted once per gang.
class ReclaimCosts : public PlacementCosts {
public:
  ReclaimCosts(const CellTree &Cells, const GuaranteeLedger &Ledger,
               const GangRequest &Request,
               const std::vector<RunningGang> &Running, TimePoint Now);

  AcceleratorMask availableAccelerators(WorkerSlot Slot) const override;
  double allocationCost(WorkerSlot Slot, AcceleratorMask Accelerators,
                        const Resources &Amount) const override;
  void allocate(WorkerSlot Slot, AcceleratorMask Accelerators,
                const Resources &Amount) override;
  bool isAlwaysZero() const override { return false; }
  std::unique_ptr<PlacementCosts> clone() const override {
    return std::make_unique<ReclaimCosts>(*this);
  }

  /// Returns a minimal set of gangs to reclaim for the allocations so far:
  /// without any one of them the allocations would not fit.
  std::vector<JobId> victims() const;

private:
  using GangIndex = std::uint32_t;
  /// Resources that one gang holds on one worker.
  struct Holding {
    GangIndex Gang = 0;
    AcceleratorMask Accelerators = 0;
    Resources Amount;
  };
  struct BorrowingGang {
    JobId Job;
    double Cost = 0;
  };
  /// The state at construction, shared by all copies.
  struct Snapshot {
    std::vector<BorrowingGang> Gangs;
    /// By worker slot; cheapest gang first.
    std::vector<std::vector<Holding>> Holdings;
    std::vector<AcceleratorMask> Available;
  };
  struct Allocation {
    AcceleratorMask Accelerators = 0;
    Resources Amount;
  };

  static std::shared_ptr<const Snapshot>
  takeSnapshot(const CellTree &Cells, const GuaranteeLedger &Ledger,
               const GangRequest &Request,
               const std::vector<RunningGang> &Running, TimePoint Now);
  bool isCandidate(GangIndex Gang) const;
  const Allocation &allocationOn(WorkerSlot Slot) const;
  /// Calls Visit(gang) for the gangs to reclaim in addition to the current
  /// candidates; false if reclaiming all of them does not free enough.
  template <typename Function>
  bool visitRequiredVictims(WorkerSlot Slot, AcceleratorMask Accelerators,
                            const Resources &Amount,
                            const Function &Visit) const;
  bool fitsAfterStopping(const std::vector<GangIndex> &Stopped) const;

  const CellTree &Cells;
  std::shared_ptr<const Snapshot> Initial;
  std::vector<GangIndex> Candidates;
  std::unordered_map<WorkerSlot, Allocation> AllocationBySlot;
};

/// Returns the cost of stopping a gang in accelerator seconds: the work lost
/// plus a constant, multiplied if the gang was moved recently.
double reclaimCost(const RunningGang &Gang, TimePoint Now);

} // namespace banyanworks

#endif
