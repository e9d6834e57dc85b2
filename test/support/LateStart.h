/// \file
/// Defines LateStart, a pool in which a copy of a start order is still on its
/// way to a worker that has confirmed another copy.
#ifndef BANYANWORKS_TEST_SUPPORT_LATESTART_H
#define BANYANWORKS_TEST_SUPPORT_LATESTART_H

#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

namespace banyanworks::testing {

/// Runs a job of one task. The first copy of its start order arrives after a
/// delay, even if the worker has restarted by then.
struct LateStart {
  static constexpr pool::TaskKey Task{JobId(1), 0, 0, 0};
  PoolSimulation Simulation{7, 2, 1};
  WorkerId Holder;
  TimePoint ArrivesAt;

  LateStart(Duration Delay, Duration RunTime) {
    using namespace std::chrono_literals;
    Simulation.runFor(2s);
    WorkerFaults &Faults = daemon().Workers.Faults;
    Faults.LateOrderRate = 1.0;
    Faults.LateOrderDelay = Delay;
    Faults.LateOrdersOutliveRestarts = true;
    Simulation.submit(*Simulation.owner(),
                      Simulation.job(1, 1, 4, false, RunTime));
    ArrivesAt = Simulation.Clock.now() + Delay;
    Simulation.runFor(300ms);
    Faults = WorkerFaults();
    Simulation.runFor(1500ms);
    auto Found = Simulation.Pool.holderOf(Task);
    cr_assert(Found.has_value());
    Holder = *Found;
  }

  PoolDaemon &daemon() { return Simulation.daemon(*Simulation.owner()); }

  /// Runs until the late copy must have arrived.
  void awaitOrder() {
    Simulation.runFor(ArrivesAt + std::chrono::milliseconds(300) -
                      Simulation.Clock.now());
  }
};

} // namespace banyanworks::testing

#endif
