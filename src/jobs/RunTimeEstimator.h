/// \file
/// Defines RunTimeEstimator, which corrects declared run times by observed
/// ones.
#ifndef BANYANWORKS_JOBS_RUNTIMEESTIMATOR_H
#define BANYANWORKS_JOBS_RUNTIMEESTIMATOR_H

#include "base/Ids.h"
#include "base/Time.h"
#include "model/Job.h"

#include <map>
#include <tuple>

namespace banyanworks {

/// Learns, per workspace, service and kind of job, the factor between actual
/// and declared run times. Factors are averaged on a logarithmic scale, since
/// declarations are off by up to ten times in either direction.
class RunTimeEstimator {
public:
  /// Records the total run time of a job that succeeded, over all its runs.
  void recordRunTime(const JobSpec &Spec, Duration RunTime);
  /// Returns the expected total run time of a job.
  Duration estimate(const JobSpec &Spec) const;
  /// Returns the expected remaining run time of a job that has run for \p
  /// Elapsed.
  Duration remaining(const JobSpec &Spec, Duration Elapsed) const;
  void clear() { Factors.clear(); }

private:
  using Key = std::tuple<WorkspaceId, ServiceId, JobKindId>;
  struct Factor {
    double MeanLog = 0;
    double Count = 0;
  };

  std::map<Key, Factor> Factors;
};

} // namespace banyanworks

#endif
