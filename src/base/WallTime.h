/// \file
/// Defines WallTime, the time of day. It may jump, so it is compared only with
/// points in time that callers specify.
#ifndef BANYANWORKS_BASE_WALLTIME_H
#define BANYANWORKS_BASE_WALLTIME_H

#include "base/Time.h"

namespace banyanworks {

/// Microseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

} // namespace banyanworks

#endif
