/// \file
/// Defines ReclaimMemory, which decides when a reclaim is planned again.
#ifndef BANYANWORKS_POOL_RECLAIMMEMORY_H
#define BANYANWORKS_POOL_RECLAIMMEMORY_H

#include "base/Time.h"
#include "pool/FailedRequest.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyanworks::pool {

/// Limits of a ReclaimMemory.
struct ReclaimMemoryLimits {
  /// Reclaims planned in one pass. A plan looks at all workers and their runs;
  /// in a flood of urgent jobs, a plan for each made a pass take 0.4 s, in
  /// which gangs waited for their last members.
  std::size_t MaxPlans = 4;
  /// Time for which a failed plan is not repeated although room was freed. In a
  /// flood, room is freed at every pass. Far below the 3.4 s for which an
  /// urgent job within a guarantee may wait.
  Duration Retry = std::chrono::milliseconds(100);
  /// Time after which a failed plan is repeated in any case, since forecasts of
  /// ends change with the time alone: half the time of a stop, so that a run is
  /// seen to end before its stop would.
  Duration Recheck = std::chrono::milliseconds(450);
};

/// Remembers for which requests no resources could be reclaimed. A plan may use
/// what is free and what preemptible runs hold, so that it can succeed later
/// only if other room was freed, or if its guarantee allows it to take more.
class ReclaimMemory {
public:
  explicit ReclaimMemory(const ReclaimMemoryLimits &Limits) : Limits(Limits) {}

  /// Forgets the failures that may be planned again.
  void startPass(TimePoint Now);
  /// Handles the end of a run that could not be preempted, the end of a hold,
  /// or a worker that accepts tasks again.
  void roomFreed() { ++Room; }
  /// Handles a change of the demand of urgent work, on which depends what a
  /// request within its guarantee may take from other urgent work.
  void demandChanged() { ++Demand; }
  bool isKnownToFail(const FailedRequest &Asked) const;
  /// Counts a plan; false if no more may be made in this pass.
  bool beginPlan();
  void add(const FailedRequest &Failed, TimePoint Now);
  /// Number of plans so far.
  std::uint64_t plans() const { return Plans; }

private:
  struct Failure {
    FailedRequest Request;
    TimePoint FailedAt;
    /// changes() of the request when it failed.
    std::uint64_t Changes = 0;
  };

  /// Number of changes so far that could let the request succeed.
  std::uint64_t changes(const FailedRequest &Request) const {
    return Room + (Request.Guaranteed ? Demand : 0);
  }

  ReclaimMemoryLimits Limits;
  std::vector<Failure> Failures;
  std::uint64_t Room = 0;
  std::uint64_t Demand = 0;
  std::uint64_t Plans = 0;
  std::size_t PlansInPass = 0;
};

} // namespace banyanworks::pool

#endif
