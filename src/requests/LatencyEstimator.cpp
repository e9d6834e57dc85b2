/// \file
/// Implements LatencyEstimator with exponentially weighted moving averages.
#include "requests/LatencyEstimator.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// A new sample has a weight of 1 / SmoothingDivisor.
constexpr int SmoothingDivisor = 32;
/// The latency bound is the mean plus this many mean deviations.
constexpr int BoundDeviations = 2;

void updateMean(Duration &Mean, Duration Sample) {
  Mean = Mean == Duration::zero() ? Sample
                                  : Mean + (Sample - Mean) / SmoothingDivisor;
}

} // namespace

void LatencyEstimator::observe(const MethodId &Method, Duration Latency) {
  Statistics &MethodStatistics = ByMethod[Method];
  updateMean(MethodStatistics.Mean, Latency);
  updateMean(MethodStatistics.Deviation,
             std::chrono::abs(Latency - MethodStatistics.Mean));
  updateMean(OverallMean, Latency);
}

Duration LatencyEstimator::meanLatency(const MethodId &Method) const {
  auto Found = ByMethod.find(Method);
  return Found == ByMethod.end() ? Duration::zero() : Found->second.Mean;
}

Duration LatencyEstimator::latencyBound(const Statistics &MethodStatistics) {
  return MethodStatistics.Mean + MethodStatistics.Deviation * BoundDeviations;
}

Duration LatencyEstimator::latencyBound(const MethodId &Method) const {
  auto Found = ByMethod.find(Method);
  return Found == ByMethod.end() ? Duration::zero()
                                 : latencyBound(Found->second);
}

Duration LatencyEstimator::minLatencyBound() const {
  if (ByMethod.empty())
    return Duration::zero();
  Duration Result = Duration::max();
  for (const auto &[Method, MethodStatistics] : ByMethod)
    Result = std::min(Result, latencyBound(MethodStatistics));
  return Result;
}

Duration LatencyEstimator::queueWait(std::size_t Ahead,
                                     std::uint32_t Slots) const {
  return OverallMean * static_cast<Duration::rep>(Ahead) / std::max(Slots, 1U);
}

} // namespace banyanworks
