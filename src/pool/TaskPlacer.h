/// \file
/// Defines placeTasks(), which chooses workers for tasks that start together.
#ifndef BANYANWORKS_POOL_TASKPLACER_H
#define BANYANWORKS_POOL_TASKPLACER_H

#include "base/Units.h"
#include "pool/PoolWorker.h"
#include "pool/SpeedClass.h"

#include <cstdint>
#include <vector>

namespace banyanworks::pool {

/// A worker that may run the tasks, with its free resources.
struct PlacementTarget {
  const PoolWorker *Worker = nullptr;
  Resources Free;
  /// Tasks of the same step and occurrence that already run on the worker.
  std::uint32_t StepTasks = 0;
  /// Targets with a higher penalty are used only when all others are full.
  std::uint32_t Penalty = 0;
  SpeedClass Speed = SpeedClass::Common;
};

/// The speed class that tasks are placed on if it holds all of them. The other
/// classes follow in the order that the names state.
enum class SpeedPreference : std::uint8_t {
  /// Speeds are ignored.
  None,
  FastThenCommonThenSlow,
  CommonThenFastThenSlow,
  SlowThenCommonThenFast,
};

/// A number of identical tasks to place.
struct PlacementRequest {
  Resources PerTask;
  std::uint32_t Count = 1;
  /// Place all tasks or none.
  bool AllOrNothing = false;
  /// Prefer one rack; the tasks run slower when they span racks.
  bool SameRack = false;
  /// Whether tasks with SameRack may be placed on several racks.
  bool MaySpanRacks = true;
  /// Rack that holds the input data; empty if there is no preference.
  RackId DataRack;
  /// Limit of tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker = 0;
  SpeedPreference Speed = SpeedPreference::None;
};

/// Returns the rank of a class under \p Preference, from 0 for the first; 0 for
/// all classes if speeds are ignored.
std::size_t classRank(SpeedPreference Preference, SpeedClass Class);

/// Returns how many tasks of \p Request fit on \p Target, at most
/// Request.Count.
std::uint32_t fittingTasks(const PlacementRequest &Request,
                           const PlacementTarget &Target);

/// Chooses a target for each task and returns their indices into \p Targets:
/// fewer than requested if no more fit, and none if an all-or-nothing request
/// does not fit. Tasks that no speed class holds whole are placed on all
/// classes, the preferred ones first. Packs tasks onto workers with the least
/// free resources, so that whole workers and racks stay free for gangs.
std::vector<std::size_t>
placeTasks(const PlacementRequest &Request,
           const std::vector<PlacementTarget> &Targets);

} // namespace banyanworks::pool

#endif
