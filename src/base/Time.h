/// \file
/// Defines the clock of the decision core. The core never reads a clock: each
/// event carries the time, so tests and benchmarks run in virtual time.
#ifndef BANYANWORKS_BASE_TIME_H
#define BANYANWORKS_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace banyanworks {

using Duration = std::chrono::microseconds;

/// A monotonic clock without a now(); the daemon maps the steady clock to it.
struct CoreClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<CoreClock, Duration>;
  static constexpr bool IsSteady = true;
};

using TimePoint = CoreClock::time_point;

/// Converts a span to seconds for reports.
inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Multiplies a span by a real factor.
inline Duration scaled(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

} // namespace banyanworks

#endif
