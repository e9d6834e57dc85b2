/// \file
/// Defines SlowdownDetector, which detects workers that run their tasks slower
/// than before.
#ifndef BANYANWORKS_POOL_SLOWDOWNDETECTOR_H
#define BANYANWORKS_POOL_SLOWDOWNDETECTOR_H

#include "base/Time.h"

namespace banyanworks::pool {

/// Detects slow workers. Some workers slow down, or stop making progress, while
/// their leases are still renewed: gangs with a member there miss their
/// objective, and only the progress of the tasks shows the fault. Run time
/// estimates are far off, so a task's speed is compared with its own earlier
/// speed.
class SlowdownDetector {
public:
  /// Relative speed below which a worker counts as slow.
  static constexpr double SlowRatio = 0.5;
  /// Longest expected slowdown; slowdowns last some seconds. Older samples are
  /// ignored, and a task that stays is delayed by at most this time.
  static constexpr Duration MaxSlowdownTime = std::chrono::seconds(6);

  /// Takes one measurement: a task ran at \p Ratio of its earlier speed.
  void sample(double Ratio, TimePoint Now);

  bool isSlow(TimePoint Now) const {
    return Samples >= MinSamples && Now - LastSampleAt < MaxSlowdownTime &&
           RelativeSpeed < SlowRatio;
  }
  /// Whether to restart a task on another worker. \p Work is its run time at
  /// the earlier speed, \p DoneFraction the finished share, and
  /// \p RetainedFraction the share that a checkpoint saves.
  bool worthRestartingElsewhere(double DoneFraction, double RetainedFraction,
                                Duration Work) const;

private:
  static constexpr int MinSamples = 2;

  double RelativeSpeed = 1.0;
  int Samples = 0;
  TimePoint LastSampleAt;
};

} // namespace banyanworks::pool

#endif
