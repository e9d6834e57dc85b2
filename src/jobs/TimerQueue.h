/// \file
/// Defines TimerQueue, a priority queue of deadlines with keys.
#ifndef BANYANWORKS_JOBS_TIMERQUEUE_H
#define BANYANWORKS_JOBS_TIMERQUEUE_H

#include "base/Time.h"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace banyanworks {

/// A min-heap of deadlines without removal. The caller checks each key that
/// becomes due and adds it again if its deadline has moved to a later time.
template <typename Key> class TimerQueue {
public:
  void add(TimePoint Deadline, Key Timer) {
    Heap.emplace(Deadline, std::move(Timer));
  }

  /// The earliest deadline, or TimePoint::max() if there is none.
  TimePoint next() const {
    return Heap.empty() ? TimePoint::max() : Heap.top().first;
  }

  /// Removes and returns the key with the earliest deadline, if that is due.
  std::optional<Key> takeDue(TimePoint Now) {
    if (next() > Now || Heap.empty())
      return std::nullopt;
    Key Which = Heap.top().second;
    Heap.pop();
    return Which;
  }

  void clear() { Heap = {}; }

private:
  using Entry = std::pair<TimePoint, Key>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> Heap;
};

} // namespace banyanworks

#endif
