/// \file
/// Defines PassPace, which limits the share of an owner's time that goes into
/// the placement of tasks.
#ifndef BANYANWORKS_POOL_PASSPACE_H
#define BANYANWORKS_POOL_PASSPACE_H

#include "base/Time.h"

namespace banyanworks::pool {

/// Decides when the next pass may place tasks. An expensive pass is followed by
/// a pause in proportion to its cost, in which the owner reads answers, sends
/// orders and renews leases. The pause after a cheap pass is shorter than the
/// time between two events.
class PassPace {
public:
  /// Length of the pause, relative to the pass before it.
  static constexpr int PausePerPass = 2;

  /// No pause is longer than \p MaxPause, since urgent work waits meanwhile.
  explicit PassPace(Duration MaxPause) : MaxPause(MaxPause) {}

  /// Records a pass that placed tasks.
  void passed(TimePoint Start, TimePoint End);
  /// Earliest start of the next pass that places tasks.
  TimePoint nextStart() const { return NextStart; }
  bool mayStartAt(TimePoint Now) const { return Now >= NextStart; }

private:
  Duration MaxPause;
  TimePoint NextStart;
};

} // namespace banyanworks::pool

#endif
