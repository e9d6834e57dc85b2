/// \file
/// Defines steadyNow(), which converts the monotonic clock to a TimePoint.
#ifndef BANYANWORKS_EDGE_STEADYCLOCK_H
#define BANYANWORKS_EDGE_STEADYCLOCK_H

#include "base/Time.h"

namespace banyanworks {

/// The current time of a clock that is never set back.
inline TimePoint steadyNow() {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(SinceBoot));
}

} // namespace banyanworks

#endif
