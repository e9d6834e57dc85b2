/// \file
/// Implements EventLoop on epoll.
#include "edge/EventLoop.h"

#include "base/Check.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace banyanworks {

namespace {

/// Descriptors handled in one turn.
constexpr int EventsPerTurn = 64;
/// The longest sleep without a timer, so that a signal is seen soon.
constexpr Duration LongestSleep = std::chrono::milliseconds(200);

Duration readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::duration_cast<Duration>(
             std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

EventLoop::EventLoop() : Poll(epoll_create1(EPOLL_CLOEXEC)) {
  BANYANWORKS_CHECK(Poll >= 0, "no descriptor for an epoll set");
}

EventLoop::~EventLoop() { close(Poll); }

TimePoint EventLoop::now() const {
  // The boot-time clock counts the time of a suspended machine, in which
  // leases go on to run out.
  return TimePoint(readClock(CLOCK_BOOTTIME));
}

WallTime EventLoop::wallNow() const {
  return WallTime(readClock(CLOCK_REALTIME));
}

void EventLoop::schedule(Duration Delay, std::function<void()> Work) {
  Pending.emplace(now() + Delay, std::move(Work));
}

void EventLoop::watch(int Descriptor, bool Read, bool Write, Handler Handle) {
  epoll_event Event{};
  Event.events = (Read ? EPOLLIN : 0U) | (Write ? EPOLLOUT : 0U);
  Event.data.fd = Descriptor;
  bool Known = Handlers.contains(Descriptor);
  Handlers[Descriptor] = std::move(Handle);
  if (epoll_ctl(Poll, Known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, Descriptor,
                &Event) == 0)
    return;
  // A library may have closed the descriptor and reused its number.
  epoll_ctl(Poll, errno == ENOENT ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, Descriptor,
            &Event);
}

void EventLoop::unwatch(int Descriptor) {
  if (Handlers.erase(Descriptor) == 0)
    return;
  epoll_event Event{};
  epoll_ctl(Poll, EPOLL_CTL_DEL, Descriptor, &Event);
}

void EventLoop::runTimers() {
  TimePoint Now = now();
  while (!Pending.empty() && Pending.begin()->first <= Now) {
    auto Work = std::move(Pending.begin()->second);
    Pending.erase(Pending.begin());
    Work();
  }
}

void EventLoop::run() {
  while (Running) {
    Duration Sleep = LongestSleep;
    if (!Pending.empty())
      Sleep = std::min(Sleep, Pending.begin()->first - now());
    auto Millis = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(Sleep, Duration::zero()));
    std::array<epoll_event, EventsPerTurn> Events{};
    int Count = epoll_wait(Poll, Events.data(), EventsPerTurn,
                           static_cast<int>(Millis.count()));
    for (int At = 0; At < Count; ++At) {
      const epoll_event &Event = Events.at(static_cast<std::size_t>(At));
      auto Found = Handlers.find(Event.data.fd);
      if (Found == Handlers.end())
        continue;
      constexpr unsigned Broken = EPOLLERR | EPOLLHUP;
      Handler Handle = Found->second;
      Handle((Event.events & (EPOLLIN | Broken)) != 0,
             (Event.events & (EPOLLOUT | Broken)) != 0);
    }
    runTimers();
  }
  Running = true;
}

} // namespace banyanworks
