/// \file
/// Defines QueueTerms, the conditions under which a queue's jobs run.
#ifndef BANYANWORKS_POOL_QUEUETERMS_H
#define BANYANWORKS_POOL_QUEUETERMS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace banyanworks::pool {

/// Expected response time of the adviser of a queue.
struct AdviceTerms {
  /// The base time of a response, and the additional time for each worker in
  /// the request.
  Duration ResponseTime{};
  Duration ResponseTimePerWorker{};

  bool operator==(const AdviceTerms &) const = default;
};

struct QueueTerms {
  /// The service whose workers run the queue's tasks.
  ServiceId Service;
  /// 0 is the highest priority and may preempt work of other priorities.
  std::uint32_t Priority = 0;
  /// Number of failed runs of one task after which its job fails.
  std::uint32_t MaxAttempts = 1;
  /// A job's objective is this multiple of its critical path, plus Slack.
  double Stretch = 1.0;
  Duration Slack{};
  /// Set if steps may run only on workers that an adviser allows.
  std::optional<AdviceTerms> Advice;

  bool operator==(const QueueTerms &) const = default;
};

} // namespace banyanworks::pool

#endif
