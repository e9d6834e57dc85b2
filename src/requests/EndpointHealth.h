/// \file
/// Defines EndpointHealth, the evidence that one endpoint fails or is slow, and
/// its gradual return after it was set aside.
#ifndef BANYANWORKS_REQUESTS_ENDPOINTHEALTH_H
#define BANYANWORKS_REQUESTS_ENDPOINTHEALTH_H

#include "base/Time.h"
#include "requests/RouterSettings.h"

#include <cstdint>

namespace banyanworks {

/// What this daemon's own attempts say about one endpoint.
class EndpointHealth {
public:
  /// An attempt ended well, \p Relative times slower than the usual attempt
  /// of its method.
  void onSuccess(const HealthOptions &Options, double AttemptLatency);
  /// An attempt failed by the endpoint's fault.
  void onFailure();
  /// The endpoint refused since it was full: it delivers less than it has
  /// slots.
  void onBusy(std::uint32_t InFlight);

  /// True if the evidence suffices to set the endpoint aside; \p Usual is the
  /// usual relative latency of endpoints.
  bool shouldEject(const HealthOptions &Options, double MedianLatency) const;
  /// Sets the endpoint aside, longer each time.
  void eject(TimePoint Now, const HealthOptions &Options);
  bool isEjected(TimePoint Now) const { return Now < EjectedUntil; }
  TimePoint ejectedUntil() const { return EjectedUntil; }

  /// The most attempts that may run there now, out of \p Slots.
  std::uint32_t maxInFlight(TimePoint Now, std::uint32_t Slots) const;
  /// Smoothed latency, relative to the usual attempt of each method.
  double relativeLatency() const { return RelativeLatency; }

private:
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t Samples = 0;
  std::uint32_t ConsecutiveSlow = 0;
  double RelativeLatency = 1.0;
  /// Grows with each time that the endpoint is set aside again.
  std::uint32_t Ejections = 0;
  TimePoint EjectedUntil;
  /// While the endpoint returns: the attempts that may run at once.
  bool InSlowStart = false;
  double SlowStartLimit = 1.0;
  /// The adaptive limit; grows by successes, shrinks by refusals.
  double AdaptiveLimit = 1e9;
};

} // namespace banyanworks

#endif
