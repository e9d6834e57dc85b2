/// \file
/// Defines WorkerRoster, which workers a failure domain is known to have,
/// present or not.
#ifndef BANYANWORKS_JOBS_WORKERTRACKER_H
#define BANYANWORKS_JOBS_WORKERTRACKER_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace banyanworks {

/// Keeps absent workers for a while, so that an outage of minutes refuses no
/// job, and recognises the loss of several workers of one rack as one event.
class WorkerTracker {
public:
  /// The worker is expected, though nothing is known of its size yet.
  void expect(const WorkerId &Worker, TimePoint Now);
  void markJoined(const WorkerId &Worker);
  /// The worker of \p Rack was lost; \p Window is the span of one event.
  void markDeparted(const WorkerId &Worker, std::uint32_t Rack, TimePoint Now,
                    Duration Window);
  void clear();

  /// True once the size of each expected worker is known.
  bool capacitiesKnown() const { return UnknownCapacityUntil.empty(); }
  /// Removes and returns the workers that were absent for too long.
  std::vector<WorkerId> takeExpired(TimePoint Now);
  /// True while a loss in that rack is not over: another worker of it may be
  /// lost in the same event.
  bool lossInProgress(std::uint32_t Rack, TimePoint Now) const;
  /// Racks with a loss in progress.
  std::vector<std::uint32_t> racksWithLossInProgress(TimePoint Now) const;
  /// Events of loss so far, each counted once however many workers it took.
  std::uint64_t lossEvents() const { return LossEventCount; }
  TimePoint deadline() const;

private:
  std::map<WorkerId, TimePoint> AbsentUntil;
  std::map<WorkerId, TimePoint> UnknownCapacityUntil;
  std::map<std::uint32_t, TimePoint> LossWindowEnds;
  std::uint64_t LossEventCount = 0;
};

} // namespace banyanworks

#endif
