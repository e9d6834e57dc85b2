/// \file
/// Defines ReclaimWaits, the urgent jobs that have waited in vain for runs to
/// end.
#ifndef BANYANWORKS_POOL_RECLAIMWAITS_H
#define BANYANWORKS_POOL_RECLAIMWAITS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <vector>

namespace banyanworks::pool {

/// A reclaim may wait for runs that are forecast to end instead of stopping
/// others. If they do not end in time, the next plan of the job relies on stops
/// alone: each further wait could be in vain too.
class ReclaimWaits {
public:
  /// Handles a plan of the job, whose resources are kept until \p Until. Also a
  /// plan of stops alone may have to wait for runs, since a job that shares its
  /// resources may start on them and leave its own.
  void planned(JobId Job, TimePoint Until);
  /// Returns the jobs whose waits have ended in vain since the last call. What
  /// is kept for them stays kept until they are planned again.
  std::vector<JobId> takeEnded(TimePoint Now);
  /// Whether the job has yet to be planned again.
  bool isDue(JobId Job) const;
  /// Whether the next plan of the job relies on stops alone.
  bool needsStops(JobId Job) const;
  /// Handles a job that has started or ended, or that may not start.
  void drop(JobId Job) { Waits.erase(Job); }

private:
  struct Wait {
    TimePoint Until;
    /// The runs did not end in time.
    bool InVain = false;
    bool Due = false;
  };

  std::map<JobId, Wait> Waits;
};

} // namespace banyanworks::pool

#endif
