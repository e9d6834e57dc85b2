/// \file
/// Defines ReclaimHolds, the resources of one worker that are kept for urgent
/// jobs while runs there are stopped or end.
#ifndef BANYANWORKS_POOL_RECLAIMHOLDS_H
#define BANYANWORKS_POOL_RECLAIMHOLDS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"

#include <vector>

namespace banyanworks::pool {

/// Holds only what a job needs, so that the rest of the worker stays usable and
/// two urgent jobs of a burst can share the resources that one stop frees.
class ReclaimHolds {
public:
  struct Hold {
    JobId Job;
    /// What is kept in total, and what each task of the job needs.
    Resources Held;
    Resources PerTask;
    TimePoint Until;

    /// Whether the job of \p Other may start on these resources and leave its
    /// own to this job: tasks of the same size, and this hold is no older.
    bool isInterchangeable(const Hold &Other) const {
      return Other.PerTask == PerTask && Other.Until <= Until;
    }
  };

  bool empty() const { return Holds.empty(); }
  const std::vector<Hold> &holds() const { return Holds; }
  void add(const Hold &Added) { Holds.push_back(Added); }
  /// Resources that are kept for jobs other than \p Job. Holds that are
  /// interchangeable with \p Own do not count, if it is not null.
  Resources heldForOthers(JobId Job, TimePoint Now, const Hold *Own) const;
  /// Reduces the hold of \p Job by the resources of a task placed here.
  void recordPlacement(JobId Job, const Resources &Allocated);
  void release(JobId Job);
  /// Leaves what is kept for \p Job to the job of \p Next, for as long.
  void transfer(JobId Job, const Hold &Next);
  /// Keeps what is kept for \p Job until \p Until.
  void extend(JobId Job, TimePoint Until);
  /// Returns whether any had expired.
  bool dropExpired(TimePoint Now);

private:
  std::vector<Hold> Holds;
};

} // namespace banyanworks::pool

#endif
