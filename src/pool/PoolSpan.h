/// \file
/// Defines PoolSpan, the spans of a task's life that are measured.
#ifndef BANYANWORKS_POOL_POOLSPAN_H
#define BANYANWORKS_POOL_POOLSPAN_H

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace banyanworks::pool {

enum class PoolSpan : std::uint8_t {
  /// From when a group could start for the first time to its placement.
  Queued,
  /// From the first order to start a task to the worker's confirmation.
  Started,
  /// From when the owner took in an end to its record.
  Recorded,
};

constexpr std::string_view spanName(PoolSpan Span) {
  switch (Span) {
  case PoolSpan::Queued:
    return "queued";
  case PoolSpan::Started:
    return "started";
  case PoolSpan::Recorded:
    return "recorded";
  }
  return "unknown";
}

/// Called with each measured span; must not block.
using SpanObserver = std::function<void(PoolSpan, Duration)>;

} // namespace banyanworks::pool

#endif
