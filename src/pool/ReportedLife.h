/// \file
/// Defines ReportedLife, which compares the incarnation that a worker has
/// reported with the one that the directory lists.
#ifndef BANYANWORKS_POOL_REPORTEDLIFE_H
#define BANYANWORKS_POOL_REPORTEDLIFE_H

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>

namespace banyanworks::pool {

/// An idle worker is not asked, so that the directory may show its restart
/// first. What starts there before the next report would count as started on
/// the earlier incarnation, and be blamed for its end.
class ReportedLife {
public:
  /// Handles the incarnation in the worker's entry; zero if it is not known.
  void listed(Incarnation Life, TimePoint Now);
  /// Handles a report that was requested at \p RequestedAt.
  void reported(Incarnation Life, TimePoint RequestedAt);
  /// Whether the directory shows no restart since the last report.
  bool isCurrent() const { return !RestartListedAt; }

private:
  Incarnation Listed;
  Incarnation Reported;
  /// When the directory first showed a restart that no report shows.
  std::optional<TimePoint> RestartListedAt;
};

} // namespace banyanworks::pool

#endif
