/// \file
/// Defines VirtualTimers, the clocks of a simulated daemon.
#ifndef BANYANWORKS_TEST_SUPPORT_VIRTUALTIMERS_H
#define BANYANWORKS_TEST_SUPPORT_VIRTUALTIMERS_H

#include "base/Timers.h"
#include "support/VirtualClock.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

/// Several daemons share a VirtualClock. Work that falls due while a daemon is
/// paused runs when it goes on; work of a daemon that was killed never runs.
class VirtualTimers : public Timers {
public:
  explicit VirtualTimers(VirtualClock &Clock) : Clock(Clock) {}

  TimePoint now() const override { return Clock.now(); }
  WallTime wallNow() const override {
    return WallTime(Clock.now().time_since_epoch());
  }
  void after(Duration Delay, std::function<void()> Work) override {
    Clock.after(Delay, [this, Life = Life, Work = std::move(Work)] {
      run(Life, Work);
    });
  }

  void pauseUntil(TimePoint Until) { PausedUntil = Until; }
  /// Makes each piece of work take so long, in which the daemon does nothing
  /// else; what falls due meanwhile waits.
  void slowDown(Duration EachTakes) { Cost = EachTakes; }
  /// Grows with each process of the daemon.
  std::uint64_t life() const { return Life; }
  /// Drops all work that was planned so far.
  void restart() { ++Life; }

private:
  void run(std::uint64_t Of, const std::function<void()> &Work) {
    if (Of != Life)
      return;
    TimePoint From = std::max(PausedUntil, BusyUntil);
    if (Clock.now() >= From) {
      BusyUntil = Clock.now() + Cost;
      Work();
      return;
    }
    Clock.at(From, [this, Of, Work] { run(Of, Work); });
  }

  VirtualClock &Clock;
  TimePoint PausedUntil = TimePoint::min();
  TimePoint BusyUntil = TimePoint::min();
  Duration Cost{};
  std::uint64_t Life = 0;
};

} // namespace banyanworks::testing

#endif
