/// \file
/// Defines EndpointHealth, the outlier detection for one endpoint: ejection on
/// failures or high latency, and slow start afterwards.
#ifndef BANYANWORKS_REQUESTS_ENDPOINTHEALTH_H
#define BANYANWORKS_REQUESTS_ENDPOINTHEALTH_H

#include "base/Time.h"
#include "requests/RouterSettings.h"

#include <cstdint>

namespace banyanworks {

/// The health of one endpoint, judged by this daemon's own attempts.
class EndpointHealth {
public:
  /// Records a successful attempt. \p AttemptLatency is its latency divided by
  /// the mean latency of its method.
  void onSuccess(const HealthOptions &Options, double AttemptLatency);
  /// Records an attempt that the endpoint failed.
  void onFailure();
  /// Records a refusal for lack of capacity with \p InFlight attempts running;
  /// reduces the adaptive limit, as the endpoint serves fewer attempts than its
  /// declared slots.
  void onBusy(std::uint32_t InFlight);

  /// True if failures or latency justify ejecting the endpoint.
  /// \p MedianLatency is the median relative latency of all endpoints.
  bool shouldEject(const HealthOptions &Options, double MedianLatency) const;
  /// Ejects the endpoint for a time that doubles with each ejection, up to a
  /// limit.
  void eject(TimePoint Now, const HealthOptions &Options);
  bool isEjected(TimePoint Now) const { return Now < EjectedUntil; }
  TimePoint ejectedUntil() const { return EjectedUntil; }

  /// The number of attempts that may run at the endpoint now; at most \p Slots.
  std::uint32_t maxInFlight(TimePoint Now, std::uint32_t Slots) const;
  /// Moving average of the latency, relative to the mean of each method.
  double relativeLatency() const { return RelativeLatency; }

private:
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t Samples = 0;
  std::uint32_t ConsecutiveSlow = 0;
  double RelativeLatency = 1.0;
  /// Ejections since the last completed slow start.
  std::uint32_t Ejections = 0;
  TimePoint EjectedUntil;
  /// True from ejection until slow start is complete. SlowStartLimit is the
  /// number of concurrent attempts allowed meanwhile.
  bool InSlowStart = false;
  double SlowStartLimit = 1.0;
  /// Limit of concurrent attempts: increased by successes, decreased by busy
  /// refusals (AIMD). 1e9 means no limit.
  double AdaptiveLimit = 1e9;
};

} // namespace banyanworks

#endif
