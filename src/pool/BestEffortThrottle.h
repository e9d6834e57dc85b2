/// \file
/// Defines FillPace, how fast the tasks that use idle processor time may work
/// beside tasks that serve users.
#ifndef BANYANWORKS_POOL_BESTEFFORTTHROTTLE_H
#define BANYANWORKS_POOL_BESTEFFORTTHROTTLE_H

#include "base/Time.h"

#include <cstdint>

namespace banyanworks::pool {

/// Answers a load in which tasks that fill idle time slow down the tasks that
/// serve users on the same worker, by amounts that nobody declares and that
/// change within seconds. Work stops at once when a response time is above its
/// target, and comes back in steps that stay below the pace that was too much.
class BestEffortThrottle {
public:
  /// \p TailShare is the worst response time of the worker's serving tasks as a
  /// share of its target; nothing is observed while none serves.
  void observe(double TailRatio, TimePoint Now);
  /// The worker serves nobody now.
  void reset() { *this = BestEffortThrottle(); }

  /// The share of their pace, in percent, at which fillers may work.
  std::uint32_t percent() const { return Percent; }

private:
  /// Above the target fillers stop; above this share they slow down, since a
  /// figure is half a second old.
  static constexpr double SlowDownRatio = 0.85;
  /// Below this share fillers may work faster.
  static constexpr double SpeedUpRatio = 0.7;
  /// A new pace shows in the figures after it is in force (0.1 s) and through
  /// the half second that a figure covers.
  static constexpr Duration SettleTime = std::chrono::milliseconds(700);
  /// How long the pace that was too much bounds the next ones; disturbance
  /// changes within seconds.
  static constexpr Duration CeilingLifetime = std::chrono::seconds(8);
  /// The pace of fillers beside a task about which nothing is known yet.
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
