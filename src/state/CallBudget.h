/// \file
/// Defines CallBudget, a token bucket that holds a daemon's calls to the store
/// to a rate.
#ifndef BANYANWORKS_STATE_CALLBUDGET_H
#define BANYANWORKS_STATE_CALLBUDGET_H

#include "base/Time.h"

#include <algorithm>

namespace banyanworks {

/// Allows a rate of calls with bursts up to a limit.
class CallBudget {
public:
  CallBudget(double CallsPerSecond, double Burst)
      : CallsPerSecond(CallsPerSecond), Burst(Burst), Tokens(Burst) {}

  /// Takes one call if the budget has it.
  bool tryAcquire(TimePoint Now) {
    refill(Now);
    if (Tokens < 1.0)
      return false;
    Tokens -= 1.0;
    return true;
  }
  /// Takes one call in any case; later calls wait until it is paid back.
  void forceAcquire(TimePoint Now) {
    refill(Now);
    Tokens = std::max(Tokens - 1.0, -Burst);
  }
  /// When the next call can be had.
  TimePoint nextTokenTime(TimePoint Now) const {
    double Missing = std::max(0.0, 1.0 - Tokens);
    auto Wait = std::chrono::duration<double>(Missing / CallsPerSecond);
    return Now + std::chrono::ceil<Duration>(Wait);
  }

private:
  void refill(TimePoint Now) {
    if (Now > LastRefill)
      Tokens = std::min(Burst,
                        Tokens + toSeconds(Now - LastRefill) * CallsPerSecond);
    LastRefill = std::max(LastRefill, Now);
  }

  double CallsPerSecond;
  double Burst;
  double Tokens;
  TimePoint LastRefill;
};

} // namespace banyanworks

#endif
