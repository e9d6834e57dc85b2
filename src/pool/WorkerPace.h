/// \file
/// Defines WorkerPace, whether a worker gets on with its tasks as it did
/// before.
#ifndef BANYANWORKS_POOL_WORKERPACE_H
#define BANYANWORKS_POOL_WORKERPACE_H

#include "base/Time.h"

namespace banyanworks::pool {

/// Answers a load in which some workers turn slow, or let all tasks stand
/// still, while their leases are renewed as ever: gangs that touch one of them
/// miss their objective, and nothing but the tasks' progress tells. Estimates
/// are far off, so that a task's progress is compared with its own before.
class WorkerPace {
public:
  /// Below half its earlier pace a worker counts as slow.
  static constexpr double SlowRatio = 0.5;
  /// Spells of slowness last some seconds; what was seen so long ago says
  /// nothing any more, and work that waits a spell out ends so much later.
  static constexpr Duration MaxSlowdownTime = std::chrono::seconds(6);

  /// A task got on at \p Ratio of its earlier pace.
  void sample(double Ratio, TimePoint Now);

  bool slow(TimePoint Now) const {
    return Samples >= MinSamples && Now - LastSampleAt < MaxSlowdownTime &&
           RelativeSpeed < SlowRatio;
  }
  /// Whether a task is better started again elsewhere. \p Work is its duration
  /// at the earlier pace, \p Done the share of it that is done, and \p Kept the
  /// share that a checkpoint saves.
  bool worthMoving(double Done, double Kept, Duration Work) const;

private:
  static constexpr int MinSamples = 2;

  double RelativeSpeed = 1.0;
  int Samples = 0;
  TimePoint LastSampleAt;
};

} // namespace banyanworks::pool

#endif
