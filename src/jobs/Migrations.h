/// \file
/// Defines the planning of checkpoint migrations that reduce fragmentation.
#ifndef BANYANWORKS_JOBS_MIGRATIONS_H
#define BANYANWORKS_JOBS_MIGRATIONS_H

#include "jobs/Placement.h"

#include <vector>

namespace banyanworks {

/// A gang to checkpoint and restart at new placements.
struct Migration {
  JobId Job;
  std::vector<MemberPlacement> NewPlacements;
};

/// Limits of one plan.
struct MigrationLimits {
  /// Maximum number of gangs moved in one plan.
  std::uint32_t Gangs = 4;
  /// Maximum work lost, in accelerator seconds, for each accelerator that
  /// becomes part of a larger free group.
  double CostPerAccelerator = 120;
  /// A gang that was moved within this time is not moved again.
  Duration SettlingTime = std::chrono::minutes(10);
};

/// Chooses borrowing gangs that can checkpoint and fit into smaller groups
/// elsewhere, so that larger groups become free. Gangs move one at a time or
/// together with all gangs of a worker. A new placement is free once all
/// earlier gangs of the plan and the gangs of the same set have stopped.
std::vector<Migration> planMigrations(const CellTree &Cells,
                                      const GuaranteeLedger &Ledger,
                                      const std::vector<RunningGang> &Running,
                                      TimePoint Now,
                                      const MigrationLimits &Limits = {});

} // namespace banyanworks

#endif
