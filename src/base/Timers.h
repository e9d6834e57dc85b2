/// \file
/// Defines Timers, the interface to the clocks and to delayed calls. Tests
/// implement it in virtual time.
#ifndef BANYANWORKS_BASE_TIMERS_H
#define BANYANWORKS_BASE_TIMERS_H

#include "base/Time.h"
#include "base/WallTime.h"

#include <functional>

namespace banyanworks {

/// Provides the time and runs delayed calls, all on one thread.
class Timers {
public:
  virtual ~Timers() = default;

  /// Returns the monotonic time, including time while the machine is suspended.
  virtual TimePoint now() const = 0;
  /// Returns the time of day, which may jump.
  virtual WallTime wallNow() const = 0;
  /// Runs \p Work once after \p Delay; a zero delay runs it in the next
  /// iteration of the event loop.
  virtual void schedule(Duration Delay, std::function<void()> Work) = 0;
};

} // namespace banyanworks

#endif
