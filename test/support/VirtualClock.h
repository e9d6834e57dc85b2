/// \file
/// Defines VirtualClock, an event queue in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_VIRTUALCLOCK_H
#define BANYANWORKS_TEST_SUPPORT_VIRTUALCLOCK_H

#include "base/Time.h"

#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace banyanworks {

/// Runs scheduled work in the order of time; work with equal times runs in the
/// order in which it was scheduled.
class VirtualClock {
public:
  TimePoint now() const { return Now; }

  void scheduleAt(TimePoint Time, std::function<void()> Work) {
    Queue.push({std::max(Time, Now), ScheduledCount++, std::move(Work)});
  }
  void scheduleAfter(Duration Delay, std::function<void()> Work) {
    scheduleAt(Now + Delay, std::move(Work));
  }

  /// Runs all work that is due by \p End, and sets the time to \p End.
  void runUntil(TimePoint End) {
    while (!Queue.empty() && Queue.top().Time <= End) {
      Entry Next = Queue.top();
      Queue.pop();
      Now = Next.Time;
      Next.Work();
    }
    Now = End;
  }

private:
  struct Entry {
    TimePoint Time;
    std::uint64_t Sequence;
    std::function<void()> Work;

    bool operator<(const Entry &Other) const {
      return std::pair(Time, Sequence) > std::pair(Other.Time, Other.Sequence);
    }
  };

  TimePoint Now{std::chrono::seconds(100)};
  std::uint64_t ScheduledCount = 0;
  std::priority_queue<Entry> Queue;
};

} // namespace banyanworks

#endif
