/// \file
/// Implements EventLoop on epoll.
#include "edge/EventLoop.h"

#include "base/Check.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace banyanworks {

namespace {

/// Longest wait without a timer, so that a signal is noticed soon.
constexpr Duration MaxSleep = std::chrono::milliseconds(200);

Duration readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::duration_cast<Duration>(
             std::chrono::nanoseconds(Time.tv_nsec));
}

/// Packs what identifies a watched descriptor into an event of epoll.
std::uint64_t eventData(int Descriptor, std::uint32_t Watch) {
  return std::uint64_t{Watch} << 32U | static_cast<std::uint32_t>(Descriptor);
}

int descriptorOf(std::uint64_t EventData) {
  return static_cast<int>(static_cast<std::uint32_t>(EventData));
}

} // namespace

EventLoop::EventLoop() : EpollDescriptor(epoll_create1(EPOLL_CLOEXEC)) {
  BANYANWORKS_CHECK(EpollDescriptor >= 0, "cannot create an epoll instance");
}

EventLoop::~EventLoop() { close(EpollDescriptor); }

TimePoint EventLoop::now() const {
  // CLOCK_BOOTTIME includes the time for which the machine is suspended, during
  // which leases expire as well.
  return TimePoint(readClock(CLOCK_BOOTTIME));
}

WallTime EventLoop::wallNow() const {
  return WallTime(readClock(CLOCK_REALTIME));
}

void EventLoop::schedule(Duration Delay, std::function<void()> Work) {
  PendingTimers.emplace(now() + Delay, std::move(Work));
}

void EventLoop::watch(int Descriptor, bool Read, bool Write, Handler OnReady) {
  auto [Watched, IsNew] = Handlers.try_emplace(Descriptor);
  if (IsNew)
    Watched->second.Number = ++LastWatch;
  Watched->second.OnReady = std::move(OnReady);
  epoll_event Event{};
  Event.events = (Read ? EPOLLIN : 0U) | (Write ? EPOLLOUT : 0U);
  Event.data.u64 = eventData(Descriptor, Watched->second.Number);
  if (epoll_ctl(EpollDescriptor, IsNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                Descriptor, &Event) == 0)
    return;
  // A library may have closed the descriptor and reused its number.
  epoll_ctl(EpollDescriptor, errno == ENOENT ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
            Descriptor, &Event);
}

void EventLoop::unwatch(int Descriptor) {
  if (Handlers.erase(Descriptor) == 0)
    return;
  epoll_event Event{};
  epoll_ctl(EpollDescriptor, EPOLL_CTL_DEL, Descriptor, &Event);
}

void EventLoop::runTimers() {
  TimePoint Now = now();
  while (!PendingTimers.empty() && PendingTimers.begin()->first <= Now) {
    auto Work = std::move(PendingTimers.begin()->second);
    PendingTimers.erase(PendingTimers.begin());
    Work();
  }
}

void EventLoop::run() {
  while (Running) {
    Duration Sleep = MaxSleep;
    if (!PendingTimers.empty())
      Sleep = std::min(Sleep, PendingTimers.begin()->first - now());
    auto Millis = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(Sleep, Duration::zero()));
    // Timers may take long. If they ran between parts of the descriptors, an
    // answer would wait for them once for each part before its own.
    ReadyEvents.resize(std::max<std::size_t>(1, Handlers.size()));
    int Count = epoll_wait(EpollDescriptor, ReadyEvents.data(),
                           static_cast<int>(ReadyEvents.size()),
                           static_cast<int>(Millis.count()));
    TimePoint TurnStart = now();
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = ReadyEvents[static_cast<std::size_t>(Index)];
      auto Found = Handlers.find(descriptorOf(Event.data.u64));
      // An earlier handler of this turn may have closed the descriptor, and a
      // new one may have its number.
      if (Found == Handlers.end() ||
          Event.data.u64 != eventData(Found->first, Found->second.Number))
        continue;
      constexpr unsigned ErrorEvents = EPOLLERR | EPOLLHUP;
      Handler OnReady = Found->second.OnReady;
      OnReady((Event.events & (EPOLLIN | ErrorEvents)) != 0,
              (Event.events & (EPOLLOUT | ErrorEvents)) != 0);
    }
    runTimers();
    LongestTurn = std::max(LongestTurn, now() - TurnStart);
  }
  Running = true;
}

Duration EventLoop::takeLongestTurn() {
  return std::exchange(LongestTurn, Duration::zero());
}

} // namespace banyanworks
