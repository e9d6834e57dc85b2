/// \file
/// Defines GangHold, which keeps room for a large gang while the work that is
/// in its way ends.
#ifndef BANYANWORKS_POOL_GANGHOLD_H
#define BANYANWORKS_POOL_GANGHOLD_H

#include "base/Time.h"
#include "pool/TaskPlacer.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace banyanworks::pool {

/// A worker with what it runs and when that is expected to end.
struct BusyWorker {
  PlacementTarget Room;
  std::vector<std::pair<Duration, Resources>> Ends;
};

/// Answers a load in which small tasks come all the time: each of them fits
/// into what the last one left, and a gang that needs many workers at once
/// would never start. The room that the gang will need is kept for it; tasks
/// that are expected to end before it starts may still use it.
class GangHold {
public:
  /// Chooses the workers on which \p Request fits soonest, in one rack if it
  /// wants one and a rack can take it. Nothing if it fits nowhere.
  static std::optional<GangHold> plan(const PlacementRequest &Request,
                                      std::vector<BusyWorker> Workers);

  /// When the gang is expected to start, from the plan on.
  Duration startsIn() const { return StartsIn; }
  /// What a task that takes \p Estimate may use of \p Free on a worker.
  Resources usable(const WorkerId &Id, const Resources &Free,
                   Duration Estimate) const;
  /// A task that takes \p Estimate was placed on the worker.
  void recordPlacement(const WorkerId &Id, const Resources &Allocated,
                       Duration Estimate);

private:
  Duration StartsIn{};
  /// What the gang leaves over on its workers when it starts.
  std::map<WorkerId, Resources> Spare;
};

} // namespace banyanworks::pool

#endif
