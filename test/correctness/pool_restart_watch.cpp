/// \file
/// Which workers are asked for reports since they have restarted under their
/// id.
#include "pool/RestartWatch.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

const WorkerId Worker("w1");
constexpr Incarnation FirstLife{1};
constexpr Incarnation SecondLife{2};

/// A watch that knows the first incarnation of a worker.
struct Watch : RestartWatch {
  TimePoint Now{100s};

  Watch() { seen(Worker, FirstLife, Now); }

  bool asks() {
    bool Due = isDue(Worker, Now);
    if (Due)
      asked(Worker, Now);
    return Due;
  }
  void report(Incarnation Life) { reported(Worker, Life, Now, Now); }
};

} // namespace

Test(pool_restart_watch, worker_that_lives_on_is_not_asked) {
  Watch Watched;
  Watched.report(FirstLife);
  Watched.seen(Worker, FirstLife, Watched.Now);
  Watched.seen(Worker, Incarnation(), Watched.Now);
  Watched.seen(WorkerId("w2"), SecondLife, Watched.Now);
  cr_assert_not(Watched.asks());
  cr_assert_not(Watched.isDue(WorkerId("w2"), Watched.Now));
}

Test(pool_restart_watch, restarted_worker_is_asked_while_orders_may_arrive) {
  Watch Watched;
  Watched.Now += 5s;
  Watched.seen(Worker, SecondLife, Watched.Now);
  TimePoint LastArrival = Watched.Now + RestartWatch::LongestDelay;
  for (; Watched.Now <= LastArrival; Watched.Now += RestartWatch::AskInterval) {
    cr_assert(Watched.asks());
    cr_assert_not(Watched.asks());
    Watched.report(SecondLife);
  }
  cr_assert_not(Watched.asks());
}

Test(pool_restart_watch, report_shows_the_restart) {
  Watch Watched;
  Watched.report(SecondLife);
  cr_assert(Watched.asks());
}

// The last report was requested too early to show the last order.
Test(pool_restart_watch, watch_ends_with_a_late_report_only) {
  Watch Watched;
  Watched.seen(Worker, SecondLife, Watched.Now);
  Watched.Now += RestartWatch::LongestDelay;
  Watched.reported(Worker, SecondLife, Watched.Now - 1ms, Watched.Now);
  cr_assert(Watched.asks());
  Watched.report(SecondLife);
  Watched.Now += RestartWatch::AskInterval;
  cr_assert_not(Watched.asks());
}

Test(pool_restart_watch, worker_restarts_while_it_is_not_listed) {
  Watch Watched;
  Watched.unlisted(Worker, Watched.Now);
  Watched.Now += RestartWatch::LongestDelay - 1ms;
  Watched.unlisted(WorkerId("w2"), Watched.Now);
  Watched.seen(Worker, SecondLife, Watched.Now);
  cr_assert(Watched.asks());
}

Test(pool_restart_watch, worker_that_left_long_ago_is_forgotten) {
  Watch Watched;
  Watched.unlisted(Worker, Watched.Now);
  Watched.Now += RestartWatch::LongestDelay;
  Watched.unlisted(WorkerId("w2"), Watched.Now);
  Watched.seen(Worker, SecondLife, Watched.Now);
  cr_assert_not(Watched.asks());
}
