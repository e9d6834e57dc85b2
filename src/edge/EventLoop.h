/// \file
/// Defines EventLoop, which waits for descriptors and timers in one thread.
#ifndef BANYANWORKS_EDGE_EVENTLOOP_H
#define BANYANWORKS_EDGE_EVENTLOOP_H

#include "base/Timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace banyanworks {

/// Runs handlers until it is stopped. Not for use from several threads.
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

  /// Watches a descriptor; replaces what was watched on it before.
  void watch(int Descriptor, bool Read, bool Write, Handler Handle);
  void unwatch(int Descriptor);

  /// Runs until stop() is called, before or meanwhile; may be called again.
  void run();
  void stop() { Running = false; }

private:
  void runTimers();

  int Poll;
  bool Running = true;
  std::unordered_map<int, Handler> Handlers;
  std::multimap<TimePoint, std::function<void()>> Pending;
};

} // namespace banyanworks

#endif
