/// \file
/// Defines Metrics, the daemon's counters, gauges and latency histograms on
/// prometheus-cpp.
#ifndef BANYANWORKS_EDGE_METRICS_H
#define BANYANWORKS_EDGE_METRICS_H

#include "base/Reason.h"
#include "base/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace banyanworks {

/// How a call to the store ended.
enum class StoreCallEnd : std::uint8_t {
  Answered,
  /// The connection or the call ended while the answer was arriving.
  Interrupted,
  /// No byte of an answer arrived.
  Unavailable,
};

/// The metrics served at /metrics; may be used from several threads.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts a refused request or submission.
  void recordRefusal(Reason Cause);
  /// Counts a repeated attempt.
  void recordRetry(Reason Cause);
  /// Counts an answer of the API and records the time it took.
  void recordAnswer(const std::string &Plane, int Status, Duration Elapsed);
  /// Counts a call to the store and records its duration; \p Kind is the
  /// operation.
  void recordStoreCall(const std::string &Kind, StoreCallEnd End,
                       Duration Elapsed);
  /// Counts the bytes of an answer of the store, whether it is complete or not.
  void recordStoreBytes(const std::string &Kind, std::uint64_t Bytes);
  /// Records the duration of one span of a task.
  void recordTaskSpan(const std::string &Span, Duration Elapsed);
  /// Counts an order sent to a worker.
  void recordWorkerOrder(const std::string &Kind);

  /// Sets a gauge; \p Label may be empty.
  void setGauge(const std::string &Name, const std::string &Label,
                double Value);

  /// All metrics in the text format of Prometheus.
  std::string serialize() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
