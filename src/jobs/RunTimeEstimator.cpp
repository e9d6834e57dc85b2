/// \file
/// Implements the estimation of run times.
#include "jobs/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace banyanworks {

namespace {

/// Weight of the declared run time, in past runs.
constexpr double DeclarationWeight = 2.0;

/// Upper bound of the sample count; beyond it older runs are discounted
/// exponentially.
constexpr double MaxSamples = 20.0;

/// Logarithmic factors are clamped to this magnitude, a factor of about 100;
/// larger ones are outliers, such as a job that ended immediately.
constexpr double MaxLogFactor = 4.6;

double seconds(Duration Span) {
  return std::max(1e-3, std::chrono::duration<double>(Span).count());
}

} // namespace

void RunTimeEstimator::recordRunTime(const JobSpec &Spec, Duration RunTime) {
  Factor &Correction = Factors[{Spec.Workspace, Spec.Service, Spec.Kind}];
  double Log = std::log(seconds(RunTime) / seconds(Spec.ExpectedRunTime));
  Log = std::clamp(Log, -MaxLogFactor, MaxLogFactor);
  Correction.Count = std::min(Correction.Count + 1, MaxSamples);
  Correction.MeanLog += (Log - Correction.MeanLog) / Correction.Count;
}

Duration RunTimeEstimator::estimate(const JobSpec &Spec) const {
  auto Found = Factors.find({Spec.Workspace, Spec.Service, Spec.Kind});
  if (Found == Factors.end())
    return Spec.ExpectedRunTime;
  const Factor &Correction = Found->second;
  double Log = Correction.MeanLog * Correction.Count /
               (Correction.Count + DeclarationWeight);
  std::chrono::duration<double> Result(seconds(Spec.ExpectedRunTime) *
                                       std::exp(Log));
  return std::chrono::duration_cast<Duration>(Result);
}

Duration RunTimeEstimator::remaining(const JobSpec &Spec,
                                     Duration Elapsed) const {
  // Run times are heavy-tailed: a job past its estimate is expected to run for
  // another half of its elapsed time.
  Duration Expected = estimate(Spec) - Elapsed;
  return std::max(Expected, Elapsed / 2);
}

} // namespace banyanworks
