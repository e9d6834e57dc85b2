/// \file
/// Defines planReclaim(), which chooses the groups to stop so that an urgent
/// step fits.
#ifndef BANYANWORKS_POOL_RECLAIMPLAN_H
#define BANYANWORKS_POOL_RECLAIMPLAN_H

#include "base/Units.h"
#include "pool/TaskPlacer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace banyanworks::pool {

/// A worker that may run the step.
struct ReclaimWorker {
  const PoolWorker *Worker = nullptr;
  /// Resources that are free, or will be without another stop.
  Resources Free;
  /// Indices of the groups with runs here that may be stopped.
  std::vector<std::size_t> Victims;
};

/// A group that may be stopped; all its members stop together.
struct ReclaimVictim {
  /// Cost of the stop of all members, in core seconds.
  double Cost = 0.0;
  /// Resources that the stop frees, by index of the worker. Members on workers
  /// that may not run the step are omitted.
  std::vector<std::pair<std::size_t, Resources>> Freed;
};

/// The groups to stop and the workers that the step will use.
struct ReclaimPlan {
  std::vector<std::size_t> Victims;
  /// Number of tasks by index of the worker.
  std::map<std::size_t, std::uint32_t> Tasks;
  double Cost = 0.0;
};

/// Chooses groups such that Request.Count tasks fit, within one rack unless the
/// request may span racks; nothing if they cannot fit. A group counts once with
/// its full cost, whichever of its members are in the way, and with what all
/// its members free: one gang is stopped rather than parts of several.
std::optional<ReclaimPlan>
planReclaim(const PlacementRequest &Request,
            const std::vector<ReclaimWorker> &Workers,
            const std::vector<ReclaimVictim> &Victims);

} // namespace banyanworks::pool

#endif
