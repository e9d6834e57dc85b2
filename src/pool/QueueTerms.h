/// \file
/// Defines QueueTerms, the terms under which a queue's jobs run.
#ifndef BANYANWORKS_POOL_QUEUETERMS_H
#define BANYANWORKS_POOL_QUEUETERMS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace banyanworks::pool {

/// How the adviser of a queue answers.
struct AdviceTerms {
  /// The time of an answer, and so much more for each worker it is about.
  Duration ResponseTime{};
  Duration ResponseTimePerWorker{};

  bool operator==(const AdviceTerms &) const = default;
};

struct QueueTerms {
  /// Whose workers run the queue's tasks.
  ServiceId Service;
  /// 0 comes first and may preempt others.
  std::uint32_t Priority = 0;
  /// Failed runs of a task after which its job has failed.
  std::uint32_t MaxAttempts = 1;
  /// The objective is this many times the job's longest chain of work, plus
  /// Slack.
  double Stretch = 1.0;
  Duration Slack{};
  /// Set if a step may run only on workers that an adviser allows.
  std::optional<AdviceTerms> Advice;

  bool operator==(const QueueTerms &) const = default;
};

} // namespace banyanworks::pool

#endif
