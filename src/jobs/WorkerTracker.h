/// \file
/// Defines WorkerTracker, which tracks the known workers of a failure domain,
/// present or absent.
#ifndef BANYANWORKS_JOBS_WORKERTRACKER_H
#define BANYANWORKS_JOBS_WORKERTRACKER_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace banyanworks {

/// Remembers absent workers for some minutes, so that a short outage does not
/// cause jobs to be refused, and detects the loss of several workers of one
/// rack as one event.
class WorkerTracker {
public:
  /// Adds an expected worker whose capacity is not known yet.
  void expect(const WorkerId &Worker, TimePoint Now);
  void markJoined(const WorkerId &Worker);
  /// Marks a worker of \p Rack as lost; losses within \p Window count as one
  /// event.
  void markDeparted(const WorkerId &Worker, std::uint32_t Rack, TimePoint Now,
                    Duration Window);
  void clear();

  /// True once the capacity of each expected worker is known.
  bool capacitiesKnown() const { return UnknownCapacityUntil.empty(); }
  /// Removes and returns the workers whose absence exceeded the timeout.
  std::vector<WorkerId> takeExpired(TimePoint Now);
  /// True while the loss window of the rack is open, in which further workers
  /// of it may be lost.
  bool lossInProgress(std::uint32_t Rack, TimePoint Now) const;
  /// Racks whose loss window is open.
  std::vector<std::uint32_t> racksWithLossInProgress(TimePoint Now) const;
  /// Number of loss events; each counts once regardless of the number of
  /// workers lost.
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
