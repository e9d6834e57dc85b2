/// \file
/// Defines WorkerSpeeds, the speeds of workers as learned from the progress of
/// their tasks.
#ifndef BANYANWORKS_POOL_WORKERSPEEDS_H
#define BANYANWORKS_POOL_WORKERSPEEDS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/SpeedClass.h"
#include "pool/TaskKey.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace banyanworks::pool {

/// Learns which workers are faster or slower than most. On a full day a quarter
/// of the workers was 2.2 times as fast as the rest, and urgent gangs missed
/// their objective on the others. Estimates of run times are too far off to
/// compare workers by, so a run is compared with the other runs of its step;
/// the lengths of these differ by a factor of about exp(0.3), and three in a
/// hundred are seven times as long.
class WorkerSpeeds {
public:
  /// Progress, in percent, over which the rate of a run is measured. Progress
  /// is reported in whole percents.
  static constexpr std::uint32_t MeasuredPercent = 15;
  /// Interval at which refresh() computes the classes.
  static constexpr Duration RefreshInterval = std::chrono::milliseconds(250);

  /// Takes the rate of one run of a step without a gang, in percent per second.
  /// Each run gives one rate. A rate that is not positive is ignored.
  void addRate(const StepKey &Step, const WorkerId &Worker, double Rate,
               TimePoint Now);
  /// Discards what is known of a worker: it has left, or a new incarnation
  /// starts.
  void forget(const WorkerId &Worker);
  /// Computes the classes if they are due. Returns whether one has changed.
  bool refresh(TimePoint Now);

  SpeedClass classOf(const WorkerId &Worker) const;
  /// Whether not all workers are common.
  bool isUneven() const { return Uneven; }
  /// Typical speed of the workers of a class, relative to the common ones.
  double relativeSpeed(SpeedClass Class) const {
    return RelativeSpeeds[static_cast<std::size_t>(Class)];
  }

private:
  static constexpr std::size_t MaxSamples = 16;

  /// The newest samples of a worker: logarithms of its speed relative to the
  /// other workers of a step.
  struct SampleSet {
    std::array<float, MaxSamples> Samples{};
    /// Trimmed mean of the samples, and the same shrunk toward 0.
    float Mean = 0.0F;
    float Speed = 0.0F;
    float StandardError = 0.0F;
    std::uint8_t Count = 0;
    /// Index of the sample that is replaced next.
    std::uint8_t Next = 0;
    SpeedClass Class = SpeedClass::Common;

    void add(double Sample);
    void estimate();
  };
  static_assert(sizeof(SampleSet) <= 100);

  struct Rate {
    WorkerId Worker;
    float Logarithm = 0.0F;
  };
  /// The rates of one step; the last ones are not compared yet.
  struct StepRates {
    std::vector<Rate> Rates;
    std::size_t Compared = 0;
    /// When the first of the rates that are not compared arrived.
    TimePoint WaitingSince;
    TimePoint ChangedAt;
  };

  double speedOf(const WorkerId &Worker) const;
  /// Turns the rates of the step that are not compared yet into samples.
  void compare(StepRates &Step);
  bool classify();

  std::map<WorkerId, SampleSet> Workers;
  std::map<StepKey, StepRates> Steps;
  /// Median of the speeds of the measured workers, to which the speeds relate.
  double MedianSpeed = 0.0;
  std::array<double, SpeedClasses> RelativeSpeeds{1.0, 1.0, 1.0};
  bool Uneven = false;
  TimePoint RefreshedAt;
};

} // namespace banyanworks::pool

#endif
