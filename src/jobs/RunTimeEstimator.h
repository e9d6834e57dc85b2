/// \file
/// Defines RunTimeEstimator, what is learned about declared run times.
#ifndef BANYANWORKS_JOBS_RUNTIMEESTIMATOR_H
#define BANYANWORKS_JOBS_RUNTIMEESTIMATOR_H

#include "base/Ids.h"
#include "base/Time.h"
#include "model/Job.h"

#include <map>
#include <tuple>

namespace banyanworks {

/// Learns, for each workspace and kind of job, by what factor run times differ
/// from their declaration. Factors are averaged on a logarithmic scale, since
/// declarations are off by ten times either way.
class RunTimeEstimator {
public:
  /// A job ran to its end in \p RunTime, all its runs together.
  void learn(const JobSpec &Spec, Duration RunTime);
  /// The expected run time of the whole job.
  Duration estimate(const JobSpec &Spec) const;
  /// What remains of a job that has run for \p Elapsed.
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
