/// \file
/// Implements FillPace.
#include "pool/FillPace.h"

#include <algorithm>

namespace banyanworks::pool {

void FillPace::change(std::uint32_t Next, TimePoint Now) {
  Percent = Next;
  ChangedAt = Now;
}

void FillPace::observe(double TailShare, TimePoint Now) {
  if (!Observed) {
    Observed = true;
    change(FirstPercent, Now);
  }
  if (TailShare > 1.0) {
    if (Percent == 0)
      return;
    // The next try stays well below what was too much.
    Bound = Percent * 2 / 3;
    BoundUntil = Now + BoundLasts;
    change(0, Now);
    return;
  }
  if (Now - ChangedAt < Settle)
    return;
  if (TailShare > TooNear) {
    Bound = Percent;
    BoundUntil = Now + BoundLasts;
    change(Percent * 2 / 3, Now);
    return;
  }
  std::uint32_t Most = Now < BoundUntil ? Bound : 100U;
  if (TailShare < Comfortable && Percent < Most)
    change(std::min(Most, Percent + Step), Now);
}

} // namespace banyanworks::pool
