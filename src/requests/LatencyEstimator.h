/// \file
/// Defines LatencyEstimator, which estimates the latency of attempts and the
/// queueing delay of requests.
#ifndef BANYANWORKS_REQUESTS_LATENCYESTIMATOR_H
#define BANYANWORKS_REQUESTS_LATENCYESTIMATOR_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>

namespace banyanworks {

/// Estimates latency from complete answers. All estimates are zero before the
/// first answer, so that no request is refused without evidence.
class LatencyEstimator {
public:
  void observe(const MethodId &Method, Duration Latency);

  /// Mean latency of attempts of \p Method; zero if unknown.
  Duration meanLatency(const MethodId &Method) const;
  /// Mean latency over the attempts of all methods.
  Duration overallMeanLatency() const { return OverallMean; }
  /// Mean latency plus two mean deviations, which most attempts stay below;
  /// zero if unknown.
  Duration latencyBound(const MethodId &Method) const;
  /// The smallest latency bound of all methods; zero if none is known.
  Duration minLatencyBound() const;

  /// Expected time in the queue behind \p Ahead requests, with \p Slots slots.
  Duration queueWait(std::size_t Ahead, std::uint32_t Slots) const;

private:
  struct Statistics {
    Duration Mean{};
    /// Mean absolute deviation.
    Duration Deviation{};
  };

  static Duration latencyBound(const Statistics &MethodStatistics);

  std::map<MethodId, Statistics> ByMethod;
  Duration OverallMean{};
};

} // namespace banyanworks

#endif
