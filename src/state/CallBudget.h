/// \file
/// Defines CallBudget, a token bucket that limits the rate of a daemon's calls
/// to the store.
#ifndef BANYANWORKS_STATE_CALLBUDGET_H
#define BANYANWORKS_STATE_CALLBUDGET_H

#include "base/Time.h"

#include <algorithm>

namespace banyanworks {

/// Allows \p CallsPerSecond calls on average and bursts of up to \p Burst
/// calls.
class CallBudget {
public:
  CallBudget(double CallsPerSecond, double Burst)
      : CallsPerSecond(CallsPerSecond), Burst(Burst), Tokens(Burst) {}

  /// Takes one token; returns false if none is available.
  bool tryAcquire(TimePoint Now) {
    refill(Now);
    if (Tokens < 1.0)
      return false;
    Tokens -= 1.0;
    return true;
  }
  /// Takes one token even if none is available. The balance then becomes
  /// negative, down to -Burst, and tryAcquire() fails until a token is
  /// available again.
  void forceAcquire(TimePoint Now) {
    refill(Now);
    Tokens = std::max(Tokens - 1.0, -Burst);
  }
  /// The earliest time at which a token is available.
  TimePoint nextTokenTime(TimePoint Now) const {
    double MissingTokens = std::max(0.0, 1.0 - Tokens);
    auto Wait = std::chrono::duration<double>(MissingTokens / CallsPerSecond);
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
