/// \file
/// Defines DeliveryEstimate, how long attempts take and how long a request
/// would wait.
#ifndef BANYANWORKS_REQUESTS_LATENCYESTIMATOR_H
#define BANYANWORKS_REQUESTS_LATENCYESTIMATOR_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>

namespace banyanworks {

/// Learns from whole answers; knows nothing, and refuses nothing, before the
/// first one.
class LatencyEstimator {
public:
  void observe(const MethodId &Method, Duration Latency);

  /// The usual time of an attempt; zero if unknown.
  Duration meanLatency(const MethodId &Method) const;
  /// The usual time over all methods, as they occur.
  Duration overallMeanLatency() const { return OverallMean; }
  /// A time that most attempts of the method keep to; zero if unknown.
  Duration latencyBound(const MethodId &Method) const;
  /// The least of these times over all methods.
  Duration minLatencyBound() const;

  /// How long a request waits behind \p Ahead others on \p Slots slots.
  Duration queueWait(std::size_t Ahead, std::uint32_t Slots) const;

private:
  struct Statistics {
    Duration Mean{};
    /// The mean distance from the mean.
    Duration Deviation{};
  };

  static Duration latencyBound(const Statistics &Known);

  std::map<MethodId, Statistics> ByMethod;
  Duration OverallMean{};
};

} // namespace banyanworks

#endif
