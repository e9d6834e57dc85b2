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
  void refused(Reason Why);
  /// An attempt is made again.
  void retried(Reason Why);
  /// An answer left the API after \p Took.
  void answered(const std::string &Plane, int Status, Duration Took);
  /// A call to the store ended; \p Kind is the operation.
  void storeCalled(const std::string &Kind, bool Available, Duration Took);
  /// A task took \p Took for one span of its life.
  void spanObserved(const std::string &Span, Duration Took);
  /// An order went to a worker.
  void orderSent(const std::string &Kind);

  /// Sets a gauge; \p Label may be empty.
  void set(const std::string &Name, const std::string &Label, double Value);

  /// The text format that Prometheus reads.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
