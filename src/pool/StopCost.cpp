/// \file
/// Implements StopCost.
#include "pool/StopCost.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// Largest relative error of a caller's estimate of the run time.
constexpr double EstimateError = 0.9;

} // namespace

Duration StopCost::lostTime(bool Checkpoints, Duration Elapsed) const {
  if (!Checkpoints)
    return Elapsed;
  return std::min(Elapsed, Terms.CheckpointInterval) + Terms.RestoreTime;
}

double StopCost::factor(std::optional<TimePoint> LastStop, bool Worthless,
                        TimePoint Now) {
  double Result = Worthless ? WorthlessFactor : 1.0;
  if (LastStop && Now - *LastStop < RepeatWindow)
    Result *= RepeatFactor;
  return Result;
}

double StopCost::endProbability(const RunForecast &Run, Duration Time) {
  // The total run time is taken as uniform within the error, given that the run
  // has not ended yet.
  Duration Base = Run.Measured ? Run.Elapsed : Duration();
  Duration Uncertain =
      Run.Measured ? Run.Remaining : Run.Elapsed + Run.Remaining;
  double Error = Run.Measured ? MeasuredError : EstimateError;
  Duration Shortest =
      std::max(Run.Elapsed, Base + scaled(Uncertain, 1.0 - Error));
  Duration Longest = Base + scaled(Uncertain, 1.0 + Error);
  Duration Until = Run.Elapsed + Time;
  if (Until >= Longest)
    return 1.0;
  return std::max(0.0,
                  toSeconds(Until - Shortest) / toSeconds(Longest - Shortest));
}

} // namespace banyanworks::pool
