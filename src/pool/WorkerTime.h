/// \file
/// Defines WorkerTime, a time on a worker's own clock.
#ifndef BANYANWORKS_POOL_WORKERTIME_H
#define BANYANWORKS_POOL_WORKERTIME_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>

namespace banyanworks::pool {

/// The clock type of a worker's times, which count from its start. They are
/// compared only with times of the same incarnation.
struct WorkerClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<WorkerClock, Duration>;
  static constexpr bool IsSteady = true;
};

using WorkerTime = WorkerClock::time_point;

} // namespace banyanworks::pool

#endif
