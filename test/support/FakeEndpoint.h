/// \file
/// Defines FakeEndpoint, an endpoint that measures its slot usage.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKEENDPOINT_H
#define BANYANWORKS_TEST_SUPPORT_FAKEENDPOINT_H

#include "model/Configuration.h"

#include <algorithm>

namespace banyanworks {

/// The state and slot usage of a simulated endpoint.
struct FakeEndpoint {
  Endpoint Declared;
  bool Failing = false;
  double Slowness = 1.0;
  std::uint32_t BusySlots = 0;
  TimePoint BusySince;
  TimePoint CountingStart;
  /// Time integral of the slots in use since CountingStart.
  Duration BusyTime{};

  void change(TimePoint Now, int Delta) {
    if (Now > CountingStart)
      BusyTime += (Now - std::max(BusySince, CountingStart)) *
                  static_cast<Duration::rep>(BusySlots);
    BusySince = Now;
    BusySlots += Delta;
  }
};

} // namespace banyanworks

#endif
