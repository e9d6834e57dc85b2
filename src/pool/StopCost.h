/// \file
/// Defines StopCost, the work that is lost when runs are stopped.
#ifndef BANYANWORKS_POOL_STOPCOST_H
#define BANYANWORKS_POOL_STOPCOST_H

#include "base/Time.h"
#include "base/Units.h"

#include <optional>

namespace banyanworks::pool {

/// When a run is expected to end.
struct RunForecast {
  /// Time since the start was ordered.
  Duration Elapsed{};
  Duration Remaining{};
  /// Whether the forecast is based on the measured speed of the run; otherwise
  /// only the caller's estimate is known.
  bool Measured = false;
};

/// Parameters of StopCost.
struct StopTerms {
  /// Longest time that a worker takes to stop a run, and a round trip.
  Duration StopTime{};
  /// Time between two checkpoints of a task.
  Duration CheckpointInterval{};
  /// Time that a task takes to resume from a checkpoint.
  Duration RestoreTime{};
};

/// Prices stops. Urgent gangs of five tasks arrive in bursts at a pool that is
/// full of gangs of 13 tasks and single tasks of 8 to 11 s: on the heaviest day
/// 2,000 of 11,000 runs were stopped, some of them again and again or shortly
/// before their end.
class StopCost {
public:
  /// A group that was stopped within this time costs RepeatFactor as much, so
  /// that the same work is not stopped twice in one burst.
  static constexpr Duration RepeatWindow = std::chrono::seconds(10);
  static constexpr double RepeatFactor = 10.0;
  /// Factor for work that can no longer be of value to its caller.
  static constexpr double WorthlessFactor = 0.1;
  /// Probability from which a run is left to run.
  static constexpr double LikelyEnd = 0.5;

  /// Relative error of a remaining time from measured progress.
  static constexpr double MeasuredError = 0.1;

  explicit StopCost(const StopTerms &Terms) : Terms(Terms) {}

  /// Time of work that a stop of one run loses, with the restore time.
  Duration lostTime(bool Checkpoints, Duration Elapsed) const;
  /// Factor on the lost work of a group. \p LastStop is the time of its last
  /// stop, nothing if there was none or it is not known.
  static double factor(std::optional<TimePoint> LastStop, bool Worthless,
                       TimePoint Now);
  /// Whether the run is expected to end before a stop would take effect.
  bool endsBeforeStop(const RunForecast &Run) const {
    return Run.Measured &&
           scaled(Run.Remaining, 1.0 + MeasuredError) <= Terms.StopTime;
  }
  /// Probability that the run ends within \p Time, from 0 to 1.
  static double endProbability(const RunForecast &Run, Duration Time);

private:
  StopTerms Terms;
};

/// Weight of an accelerator, in cores, when work is compared.
inline constexpr double CoresPerAccelerator = 8.0;

/// Work of \p Time on the resources, in core seconds.
inline double coreSeconds(const Resources &Held, Duration Time) {
  return (static_cast<double>(Held.MilliCores) / 1000.0 +
          CoresPerAccelerator * Held.Accelerators) *
         toSeconds(Time);
}

} // namespace banyanworks::pool

#endif
