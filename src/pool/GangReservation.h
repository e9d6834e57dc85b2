/// \file
/// Defines GangReservation, the reservation of workers for a large gang that
/// has to wait for running tasks to end.
#ifndef BANYANWORKS_POOL_GANGRESERVATION_H
#define BANYANWORKS_POOL_GANGRESERVATION_H

#include "base/Time.h"
#include "pool/TaskPlacer.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace banyanworks::pool {

/// A worker with the tasks it runs.
struct BusyWorker {
  PlacementTarget Target;
  std::vector<std::pair<Duration, Resources>> Releases;
};

/// A backfill reservation. Under a constant stream of small tasks, each takes
/// the resources that the previous one left, and a gang that needs many workers
/// at once would never start. The reservation keeps the resources that the gang
/// will need; tasks that are expected to end before the gang starts may still
/// use them.
class GangReservation {
public:
  /// Chooses the workers on which \p Request can start soonest, within one rack
  /// if the request asks for one and a rack is large enough. Of workers that
  /// are free at the same time, those of the preferred speed class come first.
  /// Nothing if the request fits nowhere.
  static std::optional<GangReservation> plan(const PlacementRequest &Request,
                                             std::vector<BusyWorker> Workers);

  /// Expected time from the plan to the start of the gang.
  Duration startsIn() const { return StartsIn; }
  /// Returns the part of \p Free that a task with the run time \p Estimate may
  /// use on a worker.
  Resources usableResources(const WorkerId &Id, const Resources &Free,
                            Duration Estimate) const;
  /// Accounts for a task with the run time \p Estimate that was placed on the
  /// worker.
  void recordPlacement(const WorkerId &Id, const Resources &Allocated,
                       Duration Estimate);

private:
  Duration StartsIn{};
  /// Resources left on the gang's workers once the gang has started.
  std::map<WorkerId, Resources> Spare;
};

} // namespace banyanworks::pool

#endif
