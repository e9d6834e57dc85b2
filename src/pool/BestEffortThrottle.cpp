/// \file
/// Implements FillPace.
#include "pool/BestEffortThrottle.h"

#include <algorithm>

namespace banyanworks::pool {

void BestEffortThrottle::setPercent(std::uint32_t NewPercent, TimePoint Now) {
  Percent = NewPercent;
  ChangedAt = Now;
}

void BestEffortThrottle::observe(double TailRatio, TimePoint Now) {
  if (!Observed) {
    Observed = true;
    setPercent(InitialPercent, Now);
  }
  if (TailRatio > 1.0) {
    if (Percent == 0)
      return;
    // The next try stays well below what was too much.
    Ceiling = Percent * 2 / 3;
    CeilingUntil = Now + CeilingLifetime;
    setPercent(0, Now);
    return;
  }
  if (Now - ChangedAt < SettleTime)
    return;
  if (TailRatio > SlowDownRatio) {
    Ceiling = Percent;
    CeilingUntil = Now + CeilingLifetime;
    setPercent(Percent * 2 / 3, Now);
    return;
  }
  std::uint32_t MaxPercent = Now < CeilingUntil ? Ceiling : 100U;
  if (TailRatio < SpeedUpRatio && Percent < MaxPercent)
    setPercent(std::min(MaxPercent, Percent + StepPercent), Now);
}

} // namespace banyanworks::pool
