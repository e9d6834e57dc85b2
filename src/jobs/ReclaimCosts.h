/// \file
/// Defines LoanCosts, what it costs to have accelerators that gangs on lent
/// capacity occupy.
#ifndef BANYANWORKS_JOBS_RECLAIMCOSTS_H
#define BANYANWORKS_JOBS_RECLAIMCOSTS_H

#include "jobs/GuaranteedPlacement.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace banyanworks {

/// Free accelerators cost nothing; those of a loan cost the whole gang, once.
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

  /// The gangs that have to go for what was taken; none of them could stay.
  std::vector<JobId> victims() const;

private:
  using GangIndex = std::uint32_t;
  /// What one gang holds on one worker.
  struct Holding {
    GangIndex Gang = 0;
    AcceleratorMask Accelerators = 0;
    Resources Amount;
  };
  struct BorrowingGang {
    JobId Job;
    double Cost = 0;
  };
  /// What was found at the start; shared by all copies.
  struct Snapshot {
    std::vector<BorrowingGang> Gangs;
    /// By worker slot, the cheapest gang first.
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
  /// Calls Visit(gang) for those that must go in addition to the chosen ones;
  /// false if even all of them do not make the room.
  template <typename Function>
  bool visitRequiredVictims(WorkerSlot Slot, AcceleratorMask Accelerators,
                            const Resources &Amount,
                            const Function &Visit) const;
  bool fitsAfterStopping(const std::vector<GangIndex> &Gone) const;

  const CellTree &Cells;
  std::shared_ptr<const Snapshot> Initial;
  std::vector<GangIndex> Candidates;
  std::unordered_map<WorkerSlot, Allocation> AllocationBySlot;
};

/// The cost of stopping a gang: the work lost in accelerator seconds, a
/// constant for each gang hit, and more for one that was moved lately.
double reclaimCost(const RunningGang &Gang, TimePoint Now);

} // namespace banyanworks

#endif
