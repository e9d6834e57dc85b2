/// \file
/// Defines placeTasks(), which chooses workers for tasks that start together.
#ifndef BANYANWORKS_POOL_TASKPLACER_H
#define BANYANWORKS_POOL_TASKPLACER_H

#include "base/Units.h"
#include "pool/PoolWorker.h"

#include <cstdint>
#include <vector>

namespace banyanworks::pool {

/// What is free on a worker that may run the tasks.
struct PlacementTarget {
  const PoolWorker *Worker = nullptr;
  Resources Free;
  /// Tasks of the same step and occurrence that it holds already.
  std::uint32_t StepTasks = 0;
  /// Workers with a higher penalty are taken only when others are full.
  std::uint32_t Penalty = 0;
};

/// Tasks that are alike.
struct PlacementRequest {
  Resources PerTask;
  std::uint32_t Count = 1;
  /// All tasks must be placed, or none.
  bool Whole = false;
  /// The tasks are slowed down when they span racks.
  bool SameRack = false;
  /// Whether tasks that want one rack may be placed on several.
  bool MaySpanRacks = true;
  /// The rack that holds the data; empty if it does not matter.
  RackId DataRack;
  /// Zero for no limit.
  std::uint32_t MaxPerWorker = 0;
};

/// How many tasks of \p Request the room takes.
std::uint32_t fittingTasks(const PlacementRequest &Request,
                           const PlacementTarget &Target);

/// The index into \p Rooms for each task; fewer than asked for if no more fit,
/// none if the request is for all or none. Packs tasks onto workers that are
/// in use already, so that whole workers and racks stay free for gangs.
std::vector<std::size_t>
placeTasks(const PlacementRequest &Request,
           const std::vector<PlacementTarget> &Targets);

} // namespace banyanworks::pool

#endif
