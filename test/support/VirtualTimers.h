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
  void schedule(Duration Delay, std::function<void()> Work) override {
    Clock.scheduleAfter(Delay,
                        [this, ScheduledBy = ProcessIncarnation,
                         Work = std::move(Work)] { run(ScheduledBy, Work); });
  }

  void pauseUntil(TimePoint Until) { PausedUntil = Until; }
  /// Makes each piece of work take so long, in which the daemon does nothing
  /// else; what falls due meanwhile waits.
  void setWorkDuration(Duration PerItem) { WorkDuration = PerItem; }
  /// Grows with each process of the daemon.
  std::uint64_t incarnation() const { return ProcessIncarnation; }
  /// Drops all work that was planned so far.
  void dropPendingWork() { ++ProcessIncarnation; }

private:
  void run(std::uint64_t ScheduledBy, const std::function<void()> &Work) {
    if (ScheduledBy != ProcessIncarnation)
      return;
    TimePoint RunAt = std::max(PausedUntil, BusyUntil);
    if (Clock.now() >= RunAt) {
      BusyUntil = Clock.now() + WorkDuration;
      Work();
      return;
    }
    Clock.scheduleAt(RunAt,
                     [this, ScheduledBy, Work] { run(ScheduledBy, Work); });
  }

  VirtualClock &Clock;
  TimePoint PausedUntil = TimePoint::min();
  TimePoint BusyUntil = TimePoint::min();
  Duration WorkDuration{};
  std::uint64_t ProcessIncarnation = 0;
};

} // namespace banyanworks::testing

#endif
