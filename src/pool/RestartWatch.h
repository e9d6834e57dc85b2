/// \file
/// Defines RestartWatch, the workers that have restarted under their id and may
/// still receive an order that was sent before.
#ifndef BANYANWORKS_POOL_RESTARTWATCH_H
#define BANYANWORKS_POOL_RESTARTWATCH_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/WorkerLink.h"

#include <optional>
#include <unordered_map>

namespace banyanworks::pool {

/// A restarted worker does not know what ended on it before, so that it carries
/// out a late duplicate of an order, and an order of an earlier owner. It is
/// asked for a report until no such order can arrive any more, even if it
/// should hold no runs.
class RestartWatch {
public:
  /// Longest time for which an order is on the way.
  static constexpr Duration LongestDelay = LongestOrderDelay;
  /// Interval between the reports that a watched worker is asked for: what it
  /// started in between has to be stopped within a few seconds.
  static constexpr Duration AskInterval = std::chrono::seconds(1);

  /// Handles an incarnation of a worker that the directory or a report names;
  /// zero if it is not known.
  void seen(const WorkerId &Id, Incarnation Life, TimePoint Now);
  /// Handles a worker that the directory no longer lists. It may come back as
  /// another incarnation.
  void unlisted(const WorkerId &Id, TimePoint Now);
  /// Handles a report that was requested at \p RequestedAt.
  void reported(const WorkerId &Id, Incarnation Life, TimePoint RequestedAt,
                TimePoint Now);
  /// Handles a request for a report.
  void asked(const WorkerId &Id, TimePoint Now);
  /// Whether the worker is to be asked for a report.
  bool isDue(const WorkerId &Id, TimePoint Now) const;

private:
  struct Known {
    Incarnation Life;
    /// When the directory ceased to list the worker; nothing while it is
    /// listed.
    std::optional<TimePoint> UnlistedAt;
  };
  struct Watched {
    /// From then on, no order to an earlier incarnation arrives.
    TimePoint Until;
    TimePoint NextAskAt;
  };

  std::unordered_map<WorkerId, Known> Lives;
  std::unordered_map<WorkerId, Watched> Restarted;
};

} // namespace banyanworks::pool

#endif
