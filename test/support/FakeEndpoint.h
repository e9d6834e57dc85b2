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
  std::uint32_t Busy = 0;
  TimePoint BusySince;
  TimePoint CountedFrom;
  /// Time integral of the slots in use since CountedFrom.
  Duration BusyTime{};

  void change(TimePoint Now, int Delta) {
    if (Now > CountedFrom)
      BusyTime += (Now - std::max(BusySince, CountedFrom)) *
                  static_cast<Duration::rep>(Busy);
    BusySince = Now;
    Busy += Delta;
  }
};

} // namespace banyanworks

#endif
