/// \file
/// Implements EndpointHealth.
#include "requests/EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace banyanworks {

namespace {

/// Weight of a new sample in the moving average of the latency.
constexpr double SampleWeight = 0.25;
/// Factor by which a busy refusal reduces the adaptive limit (multiplicative
/// decrease).
constexpr double LimitDecreaseFactor = 0.8;
/// Slow start ends, with all slots usable, when its limit reaches this many
/// concurrent attempts.
constexpr double SlowStartEnd = 64;
constexpr std::uint32_t MaxDoublings = 10;

} // namespace

void EndpointHealth::onSuccess(const HealthOptions &Options,
                               double AttemptLatency) {
  ConsecutiveFailures = 0;
  ++Samples;
  RelativeLatency += SampleWeight * (AttemptLatency - RelativeLatency);
  ConsecutiveSlow =
      AttemptLatency > Options.SlowFactor ? ConsecutiveSlow + 1 : 0;
  if (AdaptiveLimit < 1e9)
    AdaptiveLimit += 1.0 / std::max(AdaptiveLimit, 1.0);
  if (!InSlowStart || ConsecutiveSlow > 0)
    return;
  SlowStartLimit *= 1.5;
  if (SlowStartLimit < SlowStartEnd)
    return;
  InSlowStart = false;
  Ejections = 0;
}

void EndpointHealth::onFailure() { ++ConsecutiveFailures; }

void EndpointHealth::onBusy(std::uint32_t InFlight) {
  AdaptiveLimit = std::max(1.0, std::min(AdaptiveLimit, double(InFlight)) *
                                    LimitDecreaseFactor);
}

bool EndpointHealth::shouldEject(const HealthOptions &Options,
                                 double MedianLatency) const {
  // During slow start the first failure ejects the endpoint again.
  std::uint32_t Allowed = InSlowStart ? 1 : Options.ConsecutiveFailures;
  if (ConsecutiveFailures >= Allowed)
    return true;
  if (InSlowStart && ConsecutiveSlow > 0)
    return true;
  return ConsecutiveSlow >= Options.SlowSamples ||
         (Samples >= 2 * Options.SlowSamples &&
          RelativeLatency > Options.SlowFactor * std::max(MedianLatency, 0.1));
}

void EndpointHealth::eject(TimePoint Now, const HealthOptions &Options) {
  Duration EjectionTime = Options.BaseEjectionTime * (1 << Ejections);
  EjectedUntil = Now + std::min(EjectionTime, Options.MaxEjectionTime);
  Ejections = std::min(Ejections + 1, MaxDoublings);
  InSlowStart = true;
  SlowStartLimit = 1.0;
  ConsecutiveFailures = 0;
  ConsecutiveSlow = 0;
  Samples = 0;
  RelativeLatency = 1.0;
}

std::uint32_t EndpointHealth::maxInFlight(TimePoint Now,
                                          std::uint32_t Slots) const {
  if (isEjected(Now))
    return 0;
  double Allowed = std::min(double(Slots), std::floor(AdaptiveLimit));
  if (InSlowStart)
    Allowed = std::min(Allowed, std::floor(SlowStartLimit));
  return static_cast<std::uint32_t>(std::max(Allowed, 1.0));
}

} // namespace banyanworks
