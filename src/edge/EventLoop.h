/// \file
/// Defines EventLoop, which waits for descriptors and timers in one thread.
#ifndef BANYANWORKS_EDGE_EVENTLOOP_H
#define BANYANWORKS_EDGE_EVENTLOOP_H

#include "base/Timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

struct epoll_event;

namespace banyanworks {

/// Calls handlers until stopped. Each turn serves every descriptor that is
/// ready at its start once, and then runs the timers that are due. Not
/// thread-safe.
class EventLoop : public Timers {
public:
  /// Called with whether the descriptor can be read and written.
  using Handler = std::function<void(bool Readable, bool Writable)>;

  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  TimePoint now() const override;
  WallTime wallNow() const override;
  void schedule(Duration Delay, std::function<void()> Work) override;

  /// Watches a descriptor; replaces an earlier watch on it.
  void watch(int Descriptor, bool Read, bool Write, Handler OnReady);
  void unwatch(int Descriptor);

  /// Runs until stop() is called; returns at once if it was called before. May
  /// be called again.
  void run();
  void stop() { Running = false; }
  /// Returns the longest time that handlers and timers have taken between two
  /// waits since the last call of this function. Nothing is read or answered
  /// during that time.
  Duration takeLongestTurn();

private:
  struct WatchedDescriptor {
    /// Distinguishes descriptors that have used the same number.
    std::uint32_t Number = 0;
    Handler OnReady;
  };

  void runTimers();

  int EpollDescriptor;
  bool Running = true;
  Duration LongestTurn{};
  std::uint32_t LastWatch = 0;
  std::unordered_map<int, WatchedDescriptor> Handlers;
  std::multimap<TimePoint, std::function<void()>> PendingTimers;
  /// Buffer for the descriptors that are ready in a turn.
  std::vector<epoll_event> ReadyEvents;
};

} // namespace banyanworks

#endif
