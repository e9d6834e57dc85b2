/// \file
/// Defines PoolSpan, the measured intervals in the life of a task.
#ifndef BANYANWORKS_POOL_POOLSPAN_H
#define BANYANWORKS_POOL_POOLSPAN_H

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace banyanworks::pool {

enum class PoolSpan : std::uint8_t {
  /// From the time a group could first start to its placement.
  Queued,
  /// From the first start order for a task to the worker's confirmation.
  Started,
  /// From the owner's receipt of a run's end to its commit to the store.
  Recorded,
  /// From the first start order for a run to the time at which the owner knows
  /// that the run was lost with its worker.
  Lost,
};

constexpr std::string_view spanName(PoolSpan Span) {
  switch (Span) {
  case PoolSpan::Queued:
    return "queued";
  case PoolSpan::Started:
    return "started";
  case PoolSpan::Recorded:
    return "recorded";
  case PoolSpan::Lost:
    return "lost";
  }
  return "unknown";
}

/// Called with each measured interval; must not block.
using SpanObserver = std::function<void(PoolSpan, Duration)>;

} // namespace banyanworks::pool

#endif
