/// \file
/// Defines VirtualTimers, the timers of a simulated daemon.
#ifndef BANYANWORKS_TEST_SUPPORT_VIRTUALTIMERS_H
#define BANYANWORKS_TEST_SUPPORT_VIRTUALTIMERS_H

#include "base/Timers.h"
#include "support/VirtualClock.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

/// The timers of one daemon, on a VirtualClock that daemons share. Work that is
/// due while the daemon is paused runs when it resumes; work of a process that
/// was killed never runs.
class VirtualTimers : public Timers {
public:
  explicit VirtualTimers(VirtualClock &Clock) : Clock(Clock) {}

  TimePoint now() const override { return Clock.now(); }
  WallTime wallNow() const override {
    return WallTime(Clock.now().time_since_epoch()) + WallOffset;
  }
  void schedule(Duration Delay, std::function<void()> Work) override {
    Clock.scheduleAfter(Delay,
                        [this, ScheduledBy = ProcessIncarnation,
                         Work = std::move(Work)] { run(ScheduledBy, Work); });
  }

  void pauseUntil(TimePoint Until) { PausedUntil = Until; }
  /// Sets the deviation of the daemon's time of day.
  void setWallOffset(Duration Offset) { WallOffset = Offset; }
  /// Sets the duration of each piece of work. The daemon runs one at a time;
  /// work that is due in the meantime waits.
  void setWorkDuration(Duration PerItem) { WorkDuration = PerItem; }
  /// Returns the incarnation; increases with each process of the daemon.
  std::uint64_t incarnation() const { return ProcessIncarnation; }
  /// Starts a new incarnation and drops all scheduled work.
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
  Duration WallOffset{};
  std::uint64_t ProcessIncarnation = 0;
};

} // namespace banyanworks::testing

#endif
