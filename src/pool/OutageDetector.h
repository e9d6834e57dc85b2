/// \file
/// Defines OutageDetector, which recognizes that many workers are lost at the
/// same moment, as when a rack loses power.
#ifndef BANYANWORKS_POOL_OUTAGEDETECTOR_H
#define BANYANWORKS_POOL_OUTAGEDETECTOR_H

#include "base/Time.h"

#include <cstddef>
#include <deque>

namespace banyanworks::pool {

/// In an outage, tasks that have just started are lost by chance. It shows by
/// workers that fall silent while they hold work, none of which has just
/// started there, and by those that are gone before a start order.
class OutageDetector {
public:
  /// Span within which the losses of one outage become known: a worker without
  /// power is noticed when a call to it times out.
  static constexpr Duration Window = std::chrono::seconds(1);
  /// Share of all workers that have to be lost in an outage, one at least.
  static constexpr double MinShare = 0.01;

  /// Records that a worker fell silent on which nothing had just started.
  void workerSilent(TimePoint At);
  /// Whether an outage was under way at \p At; \p Workers is the number of all
  /// workers.
  bool isOutage(TimePoint At, std::size_t Workers) const;

private:
  /// Times kept: the longest lease and some seconds.
  static constexpr Duration Memory = std::chrono::seconds(30);

  std::deque<TimePoint> SilentAt;
};

} // namespace banyanworks::pool

#endif
