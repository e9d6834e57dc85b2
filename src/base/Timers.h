/// \file
/// Defines Timers, the clocks and the delayed calls that the parts of a daemon
/// run on. Tests drive it in virtual time.
#ifndef BANYANWORKS_BASE_TIMERS_H
#define BANYANWORKS_BASE_TIMERS_H

#include "base/Time.h"
#include "base/WallTime.h"

#include <functional>

namespace banyanworks {

/// All calls come from one thread, one after the other.
class Timers {
public:
  virtual ~Timers() = default;

  /// A clock that never goes back and counts the time of a suspended machine.
  virtual TimePoint now() const = 0;
  /// The time of day, which may jump.
  virtual WallTime wallNow() const = 0;
  /// Runs \p Work once, \p Delay from now; at the next turn if it is zero.
  virtual void schedule(Duration Delay, std::function<void()> Work) = 0;
};

} // namespace banyanworks

#endif
