/// \file
/// Guards against an event loop that leaves ready descriptors unread while it
/// runs timers, and against one that serves nothing else beside them.
#include "edge/EventLoop.h"

#include <criterion/criterion.h>

#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

/// Descriptors that are ready from the start, in an event loop.
struct ReadyDescriptors {
  EventLoop Loop;
  std::vector<int> Descriptors;

  explicit ReadyDescriptors(std::size_t Count) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      Descriptors.push_back(eventfd(1, EFD_NONBLOCK));
  }
  ~ReadyDescriptors() {
    for (int Descriptor : Descriptors)
      close(Descriptor);
  }
  ReadyDescriptors(const ReadyDescriptors &) = delete;
  ReadyDescriptors &operator=(const ReadyDescriptors &) = delete;

  static void consume(int Descriptor) {
    eventfd_t Value = 0;
    eventfd_read(Descriptor, &Value);
  }
};

} // namespace

Test(event_loop_turns,
     last_of_many_ready_descriptors_is_read_within_two_turns) {
  ReadyDescriptors Ready(1101);
  EventLoop &Loop = Ready.Loop;
  int Turns = 0;
  // A timer that is due in each turn, and takes long.
  std::function<void()> Slow = [&] {
    ++Turns;
    std::this_thread::sleep_for(30ms);
    Loop.schedule(0ms, Slow);
  };
  Loop.schedule(0ms, Slow);
  std::size_t Read = 0;
  for (int Descriptor : Ready.Descriptors) {
    Loop.watch(Descriptor, true, false, [&, Descriptor](bool, bool) {
      ReadyDescriptors::consume(Descriptor);
      if (++Read == Ready.Descriptors.size())
        Loop.stop();
    });
  }
  Loop.schedule(10s, [&Loop] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Read, Ready.Descriptors.size());
  cr_assert_leq(Turns, 2);
}

Test(event_loop_turns, descriptors_that_stay_ready_do_not_delay_timers) {
  ReadyDescriptors Ready(200);
  EventLoop &Loop = Ready.Loop;
  std::size_t Served = 0;
  for (int Descriptor : Ready.Descriptors)
    Loop.watch(Descriptor, true, false, [&Served](bool, bool) { ++Served; });
  Loop.schedule(0ms, [&Loop] { Loop.stop(); });
  Loop.run();
  cr_assert_leq(Served, Ready.Descriptors.size());
}

Test(event_loop_turns, reused_descriptor_gets_no_event_of_the_earlier_one) {
  ReadyDescriptors Ready(2);
  EventLoop &Loop = Ready.Loop;
  bool Stale = false;
  int Reopened = -1;
  // Whichever is served first closes the other and opens a new one, which gets
  // the same number and is not ready.
  auto Replace = [&](int Other) {
    if (Reopened >= 0)
      return;
    Loop.unwatch(Other);
    close(Other);
    Reopened = eventfd(0, EFD_NONBLOCK);
    cr_assert_eq(Reopened, Other);
    Loop.watch(Reopened, true, false, [&Stale](bool, bool) { Stale = true; });
    Loop.schedule(0ms, [&Loop] { Loop.stop(); });
  };
  int First = Ready.Descriptors[0];
  int Second = Ready.Descriptors[1];
  Loop.watch(First, true, false, [&](bool, bool) { Replace(Second); });
  Loop.watch(Second, true, false, [&](bool, bool) { Replace(First); });
  Loop.run();
  cr_assert_geq(Reopened, 0);
  cr_assert_not(Stale);
}
