/// \file
/// Defines RecoveryGate, what a new owner must have heard before it decides.
#ifndef BANYANWORKS_JOBS_RECOVERYGATE_H
#define BANYANWORKS_JOBS_RECOVERYGATE_H

#include "jobs/JobEvents.h"
#include "jobs/SchedulerSettings.h"

#include <set>

namespace banyanworks {

/// Two waits of a new owner. Nothing is placed until the expected workers
/// were heard or a short time passed. A job of the records that no worker has
/// reported is not run again until every worker that might run it was heard or
/// must have let go, since its session was not renewed.
class RecoveryGate {
public:
  void beginRecovery(TimePoint Now, const OwnershipGained &Gained,
                     const SchedulerSettings &Settings);
  /// The worker's inventory came, or its session is known to have ended.
  void markReported(const WorkerId &Worker);

  /// The store gave the records that were missing.
  void markRecordsComplete() { RecordsComplete = true; }

  /// True once new work may be placed.
  bool mayPlace(TimePoint Now) const;
  /// True once no worker can run anything that was not reported.
  bool noUnreportedRuns(TimePoint Now) const;
  /// True if the store gave all records of jobs.
  bool recordsComplete() const { return RecordsComplete; }
  /// The next time at which an answer above changes by itself.
  TimePoint deadline(TimePoint Now) const;

private:
  bool allReported() const { return WorkersKnown && Unreported.empty(); }

  std::set<WorkerId> Unreported;
  bool WorkersKnown = true;
  bool RecordsComplete = true;
  TimePoint PlacementTime;
  TimePoint SessionsExpiry;
};

} // namespace banyanworks

#endif
