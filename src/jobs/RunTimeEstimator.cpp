/// \file
/// Implements the estimates of run times.
#include "jobs/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace banyanworks {

namespace {

/// The declaration weighs as much as this many past runs.
constexpr double DeclarationWeight = 2.0;

/// Older runs count less, as if only so many were remembered.
constexpr double Memory = 20.0;

/// Factors beyond this are outliers, as of a job that failed at once.
constexpr double MaxLogFactor = 4.6;

double seconds(Duration Span) {
  return std::max(1e-3, std::chrono::duration<double>(Span).count());
}

} // namespace

void RunTimeEstimator::learn(const JobSpec &Spec, Duration RunTime) {
  Factor &Known = Factors[{Spec.Workspace, Spec.Service, Spec.Kind}];
  double Log = std::log(seconds(RunTime) / seconds(Spec.ExpectedRunTime));
  Log = std::clamp(Log, -MaxLogFactor, MaxLogFactor);
  Known.Count = std::min(Known.Count + 1, Memory);
  Known.MeanLog += (Log - Known.MeanLog) / Known.Count;
}

Duration RunTimeEstimator::estimate(const JobSpec &Spec) const {
  auto Found = Factors.find({Spec.Workspace, Spec.Service, Spec.Kind});
  if (Found == Factors.end())
    return Spec.ExpectedRunTime;
  const Factor &Known = Found->second;
  double Log = Known.MeanLog * Known.Count / (Known.Count + DeclarationWeight);
  std::chrono::duration<double> Result(seconds(Spec.ExpectedRunTime) *
                                       std::exp(Log));
  return std::chrono::duration_cast<Duration>(Result);
}

Duration RunTimeEstimator::remaining(const JobSpec &Spec,
                                     Duration Elapsed) const {
  // With heavy tails, what has run long will run as long again.
  Duration Expected = estimate(Spec) - Elapsed;
  return std::max(Expected, Elapsed / 2);
}

} // namespace banyanworks
