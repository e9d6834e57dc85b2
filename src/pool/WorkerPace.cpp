/// \file
/// Implements WorkerPace.
#include "pool/WorkerPace.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// The weight of the newest sample.
constexpr double Newest = 0.5;
/// A move has to gain this much: it takes a stop, a start, and room.
constexpr double Gain = 1.2;
constexpr Duration MoveTime = std::chrono::milliseconds(500);

} // namespace

void WorkerPace::sample(double Ratio, TimePoint Now) {
  if (Now - LastSampleAt > MaxSlowdownTime) {
    RelativeSpeed = 1.0;
    Samples = 0;
  }
  RelativeSpeed += Newest * (std::clamp(Ratio, 0.0, 1.0) - RelativeSpeed);
  ++Samples;
  LastSampleAt = Now;
}

bool WorkerPace::worthMoving(double Done, double Kept, Duration Work) const {
  double Whole = toSeconds(Work);
  double Left = (1.0 - Done) * Whole;
  double Here = std::min(Left / std::max(0.01, RelativeSpeed),
                         Left + toSeconds(MaxSlowdownTime));
  double Elsewhere = (1.0 - Kept) * Whole + toSeconds(MoveTime);
  return Here > Gain * Elsewhere;
}

} // namespace banyanworks::pool
