/// \file
/// The owner reads the reports of workers with delays. Guards against steady
/// workers that are taken for slow, and slow ones for steady.
#include "base/Random.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

const WorkerId W1("w1");
constexpr Duration RunTime = 10s;

/// A worker that runs one task and delays each report by RenewalWait; the owner
/// reads it up to MaxDelay later.
struct LateReports : ScriptedPool {
  static constexpr Duration RenewalWait = 400ms;
  static constexpr Duration MaxDelay = 600ms;

  Random Delays;
  StartOrder Order;
  TimePoint StartedAt;

  explicit LateReports(std::uint64_t Seed) : Delays(Seed) {
    list(W1);
    report(W1);
    submit(1, {1000, 1024, 1});
    Order = startAll().at(0);
    StartedAt = Now;
  }

  /// Lets \p Span go by. The task makes no progress after \p HangsAfter.
  void run(Duration Span, Duration HangsAfter) {
    TimePoint End = Now + Span;
    while (Now < End) {
      TimePoint SentAt = Now;
      TimePoint MadeAt = Now + RenewalWait;
      Now = MadeAt + Duration(Delays.below(
                         static_cast<std::uint32_t>(MaxDelay.count()) + 1));
      WorkerReport Report;
      Report.Result = OrderResult::Done;
      Report.MadeAt = WorkerTime(MadeAt.time_since_epoch());
      Duration Worked = std::min(MadeAt - StartedAt, HangsAfter);
      auto Percent = static_cast<std::uint32_t>(Worked * 100 / RunTime);
      Report.Running.push_back({Order.Task, Order.Run, "", Percent, 0});
      Scheduler.workerReported(W1, Report, SentAt, Now);
      pass();
    }
  }

  std::size_t suspicions() const { return Log.count("worker.suspect"); }
};

} // namespace

Test(pool_late_reports, steady_worker_is_not_slow) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    LateReports Pool(Seed);
    Pool.run(RunTime * 9 / 10, RunTime);
    cr_assert_eq(Pool.suspicions(), 0U, "seed %lu", Seed);
  }
}

Test(pool_late_reports, worker_that_hangs_is_slow) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    LateReports Pool(Seed);
    Pool.run(6s, 3s);
    cr_assert_geq(Pool.suspicions(), 1U, "seed %lu", Seed);
  }
}
