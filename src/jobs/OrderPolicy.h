/// \file
/// Defines OrderPolicy, the plug-in that decides the order of waiting jobs.
#ifndef BANYANWORKS_JOBS_ORDERPOLICY_H
#define BANYANWORKS_JOBS_ORDERPOLICY_H

#include "base/Time.h"
#include "model/Job.h"

namespace banyanworks {

/// How much of the failure domain a workspace uses beyond its guarantee,
/// relative to its fair share of what nobody is guaranteed or uses.
struct ShareUsage {
  /// One when the workspace uses exactly its share.
  double FairShareRatio = 0;
};

/// Orders waiting jobs. Ranks are fixed when a job is queued, so that the
/// queue is never sorted again.
class OrderPolicy {
public:
  virtual ~OrderPolicy() = default;

  /// The place of a job among those of its workspace: smaller comes first.
  /// It reads as the moment at which a job of no length would have had to be
  /// submitted to stand there.
  virtual TimePoint rank(const JobSpec &Spec, TimePoint SubmittedAt,
                         Duration ExpectedRunTime) const = 0;
  /// What is added to the ranks of a workspace's jobs for its standing.
  virtual Duration penalty(const ShareUsage &Standing) const = 0;
  /// True if a job may start before one that comes first but does not fit.
  virtual bool allowsBackfill() const = 0;
  /// True if urgent jobs come before all others.
  virtual bool ranksByUrgency() const = 0;
};

} // namespace banyanworks

#endif
