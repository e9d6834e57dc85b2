/// \file
/// Implements the measurement of heap usage and processor time.
#include "bench/CapacitySeries.h"

#include <ctime>

#include <malloc.h>

namespace banyanworks::bench {

double heapBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks) + static_cast<double>(Info.hblkhd);
}

double processorSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  constexpr double SecondsPerNanosecond = 1e-9;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * SecondsPerNanosecond;
}

} // namespace banyanworks::bench
