/// \file
/// Defines BestEffortThrottle, which limits the speed of best-effort tasks on a
/// worker that also runs latency-sensitive tasks.
#ifndef BANYANWORKS_POOL_BESTEFFORTTHROTTLE_H
#define BANYANWORKS_POOL_BESTEFFORTTHROTTLE_H

#include "base/Time.h"

#include <cstdint>

namespace banyanworks::pool {

/// Controls the pace of best-effort tasks (steps with FillsIdle) by the
/// response times of the serving tasks on the same worker. The interference is
/// not declared by any task and changes within seconds. Best-effort tasks stop
/// at once when a response time exceeds its target, and resume in steps below
/// the pace that was too high.
class BestEffortThrottle {
public:
  /// Takes one measurement.
  ///
  /// \p TailRatio is the worst tail response time of the worker's serving tasks
  /// divided by its target. Not called while the worker runs no serving task.
  void observe(double TailRatio, TimePoint Now);
  /// Restores full pace, for a worker without serving tasks.
  void reset() { *this = BestEffortThrottle(); }

  /// Pace of best-effort tasks, in percent of full speed.
  std::uint32_t percent() const { return Percent; }

private:
  /// Above this ratio best-effort tasks slow down, and above 1 they stop. The
  /// ratio leaves a margin because a measurement is half a second old.
  static constexpr double SlowDownRatio = 0.85;
  /// Below this ratio best-effort tasks may speed up.
  static constexpr double SpeedUpRatio = 0.7;
  /// Time until a new pace shows in the measurements: 0.1 s to take effect, and
  /// the half second that a measurement covers.
  static constexpr Duration SettleTime = std::chrono::milliseconds(700);
  /// Time for which a pace that was too high limits later ones; interference
  /// changes within seconds.
  static constexpr Duration CeilingLifetime = std::chrono::seconds(8);
  /// Pace beside a serving task that was not measured yet.
  static constexpr std::uint32_t InitialPercent = 40;
  static constexpr std::uint32_t StepPercent = 10;

  void setPercent(std::uint32_t NewPercent, TimePoint Now);

  bool Observed = false;
  std::uint32_t Percent = 100;
  std::uint32_t Ceiling = 100;
  TimePoint CeilingUntil;
  TimePoint ChangedAt;
};

} // namespace banyanworks::pool

#endif
