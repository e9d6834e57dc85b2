/// \file
/// Defines the time types of the decision core. The core never reads a clock:
/// each event carries the time, so that tests and benchmarks can run in virtual
/// time.
#ifndef BANYANWORKS_BASE_TIME_H
#define BANYANWORKS_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace banyanworks {

using Duration = std::chrono::microseconds;

/// The clock type of the core's time points. It has no now(): the daemon
/// converts times of the system's monotonic clock.
struct CoreClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<CoreClock, Duration>;
  static constexpr bool IsSteady = true;
};

using TimePoint = CoreClock::time_point;

/// Converts a duration to seconds, for reports.
inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Multiplies a duration by a real factor, rounding towards zero.
inline Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace banyanworks

#endif
