/// \file
/// Implements DeliveryEstimate by exponentially weighted means.
#include "requests/LatencyEstimator.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// One part in this many of a mean is a new sample.
constexpr int Memory = 32;
/// Mean deviations above the mean that most attempts stay below.
constexpr int Deviations = 2;

void blend(Duration &Mean, Duration Sample) {
  Mean = Mean == Duration::zero() ? Sample : Mean + (Sample - Mean) / Memory;
}

} // namespace

void LatencyEstimator::observe(const MethodId &Method, Duration Latency) {
  Statistics &Known = ByMethod[Method];
  blend(Known.Mean, Latency);
  blend(Known.Deviation, std::chrono::abs(Latency - Known.Mean));
  blend(OverallMean, Latency);
}

Duration LatencyEstimator::meanLatency(const MethodId &Method) const {
  auto Found = ByMethod.find(Method);
  return Found == ByMethod.end() ? Duration::zero() : Found->second.Mean;
}

Duration LatencyEstimator::latencyBound(const Statistics &Known) {
  return Known.Mean + Known.Deviation * Deviations;
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
  for (const auto &[Method, Known] : ByMethod)
    Result = std::min(Result, latencyBound(Known));
  return Result;
}

Duration LatencyEstimator::queueWait(std::size_t Ahead,
                                     std::uint32_t Slots) const {
  return OverallMean * static_cast<Duration::rep>(Ahead) / std::max(Slots, 1U);
}

} // namespace banyanworks
