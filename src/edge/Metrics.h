/// \file
/// Defines Metrics, the daemon's counters, gauges and latencies on
/// prometheus-cpp.
#ifndef BANYANWORKS_EDGE_METRICS_H
#define BANYANWORKS_EDGE_METRICS_H

#include "base/Reason.h"
#include "base/Time.h"

#include <memory>
#include <string>

namespace banyanworks {

/// Everything that /metrics shows; may be used from several threads.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// A request or submission was refused.
  void recordRefusal(Reason Cause);
  /// An attempt is made again.
  void recordRetry(Reason Cause);
  /// An answer left the API after \p Took.
  void recordAnswer(const std::string &Plane, int Status, Duration Elapsed);
  /// A call to the store ended; \p Kind is the operation.
  void recordStoreCall(const std::string &Kind, bool Available,
                       Duration Elapsed);
  /// A task took \p Took for one span of its life.
  void recordTaskSpan(const std::string &Span, Duration Elapsed);
  /// An order went to a worker.
  void recordWorkerOrder(const std::string &Kind);

  /// Sets a gauge; \p Label may be empty.
  void setGauge(const std::string &Name, const std::string &Label,
                double Value);

  /// The text format that Prometheus reads.
  std::string serialize() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
