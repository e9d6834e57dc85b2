/// \file
/// Implements SlowdownDetector.
#include "pool/SlowdownDetector.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// Weight of the newest sample in the moving average.
constexpr double NewestSampleWeight = 0.5;
/// A task moves only if its remaining time here exceeds the time elsewhere by
/// this factor, since a move costs a stop, a start and free resources.
constexpr double MinGain = 1.2;
constexpr Duration RestartTime = std::chrono::milliseconds(500);

} // namespace

void SlowdownDetector::sample(double Ratio, TimePoint Now) {
  if (Now - LastSampleAt > MaxSlowdownTime) {
    RelativeSpeed = 1.0;
    Samples = 0;
  }
  RelativeSpeed +=
      NewestSampleWeight * (std::clamp(Ratio, 0.0, 1.0) - RelativeSpeed);
  ++Samples;
  LastSampleAt = Now;
}

bool SlowdownDetector::worthRestartingElsewhere(double DoneFraction,
                                                double RetainedFraction,
                                                Duration Work) const {
  double TotalSeconds = toSeconds(Work);
  double RemainingSeconds = (1.0 - DoneFraction) * TotalSeconds;
  double SecondsHere =
      std::min(RemainingSeconds / std::max(0.01, RelativeSpeed),
               RemainingSeconds + toSeconds(MaxSlowdownTime));
  double SecondsElsewhere =
      (1.0 - RetainedFraction) * TotalSeconds + toSeconds(RestartTime);
  return SecondsHere > MinGain * SecondsElsewhere;
}

} // namespace banyanworks::pool
