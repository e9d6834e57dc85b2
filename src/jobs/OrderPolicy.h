/// \file
/// Defines OrderPolicy, the plug-in interface for the order of waiting jobs.
#ifndef BANYANWORKS_JOBS_ORDERPOLICY_H
#define BANYANWORKS_JOBS_ORDERPOLICY_H

#include "base/Time.h"
#include "model/Job.h"

namespace banyanworks {

/// A workspace's use beyond its guarantee, relative to its fair share of the
/// capacity that is not guaranteed or not used.
struct ShareUsage {
  /// 1.0 when the workspace uses exactly its fair share.
  double FairShareRatio = 0;
};

/// Orders waiting jobs. The rank of a job is fixed when it is queued, so that
/// the queue is never re-sorted.
class OrderPolicy {
public:
  virtual ~OrderPolicy() = default;

  /// Rank of a job within its workspace; smaller ranks come first. The rank is
  /// the submission time at which a job with zero run time would have the same
  /// position.
  virtual TimePoint rank(const JobSpec &Spec, TimePoint SubmittedAt,
                         Duration ExpectedRunTime) const = 0;
  /// Delay added to the ranks of all jobs of a workspace, based on its usage.
  virtual Duration penalty(const ShareUsage &Usage) const = 0;
  /// True if a job may start before an earlier one that does not fit.
  virtual bool allowsBackfill() const = 0;
  /// True if urgent jobs come before all others.
  virtual bool ranksByUrgency() const = 0;
};

} // namespace banyanworks

#endif
