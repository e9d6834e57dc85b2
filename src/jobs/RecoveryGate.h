/// \file
/// Defines RecoveryGate, which tracks the reports that a new owner awaits
/// before it takes decisions.
#ifndef BANYANWORKS_JOBS_RECOVERYGATE_H
#define BANYANWORKS_JOBS_RECOVERYGATE_H

#include "jobs/JobEvents.h"
#include "jobs/SchedulerSettings.h"

#include <set>

namespace banyanworks {

/// Implements two waits of a new owner. First, nothing is placed until all
/// expected workers have reported or a short timeout has passed. Second, a
/// recorded job that no worker has reported is not run again until every worker
/// that might run it has reported or must have stopped it, because its session
/// was not renewed.
class RecoveryGate {
public:
  void beginRecovery(TimePoint Now, const OwnershipGained &Gained,
                     const SchedulerSettings &Settings);
  /// Marks a worker whose inventory arrived or whose session is known to have
  /// ended.
  void markReported(const WorkerId &Worker);

  /// Marks that the store returned the missing records.
  void markRecordsComplete() { RecordsComplete = true; }

  /// True once new jobs may be placed.
  bool mayPlace(TimePoint Now) const;
  /// True once no worker can be running a task that it has not reported.
  bool noUnreportedRuns(TimePoint Now) const;
  /// True if the store returned the records of all jobs.
  bool recordsComplete() const { return RecordsComplete; }
  /// The next time at which mayPlace or noUnreportedRuns changes without an
  /// event.
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
