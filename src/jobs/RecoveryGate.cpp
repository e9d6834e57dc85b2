/// \file
/// Implements the waits of a new owner.
#include "jobs/RecoveryGate.h"

namespace banyanworks {

void RecoveryGate::beginRecovery(TimePoint Now, const OwnershipGained &Gained,
                                 const SchedulerSettings &Settings) {
  Unreported = {Gained.ExpectedWorkers.begin(), Gained.ExpectedWorkers.end()};
  RecordsComplete = Gained.RecordsComplete;
  // Without a list of workers only a domain that never had a job is known to
  // be silent.
  WorkersKnown =
      !Unreported.empty() || (RecordsComplete && Gained.Jobs.empty());
  PlacementTime = Now + Settings.RecoveryTimeout;
  SessionsExpiry = Now + Settings.SessionLease + Settings.AnswerTimeout;
}

void RecoveryGate::markReported(const WorkerId &Worker) {
  Unreported.erase(Worker);
}

bool RecoveryGate::mayPlace(TimePoint Now) const {
  return allReported() || Now >= PlacementTime;
}

bool RecoveryGate::noUnreportedRuns(TimePoint Now) const {
  return allReported() || Now >= SessionsExpiry;
}

TimePoint RecoveryGate::deadline(TimePoint Now) const {
  if (!mayPlace(Now))
    return PlacementTime;
  return noUnreportedRuns(Now) ? TimePoint::max() : SessionsExpiry;
}

} // namespace banyanworks
