/// \file
/// Slow workers are detected by the progress of their tasks.
#include "pool/SlowdownDetector.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

/// A worker whose tasks ran at this fraction of their normal speed for two
/// seconds.
SlowdownDetector sampledWorker(double Ratio) {
  SlowdownDetector Worker;
  for (int Sample = 1; Sample <= 5; ++Sample)
    Worker.sample(Ratio, Start + Sample * 400ms);
  return Worker;
}

} // namespace

Test(pool_worker_pace, small_differences_are_not_slow) {
  cr_assert_not(sampledWorker(1.0).isSlow(Start + 2s));
  cr_assert_not(sampledWorker(0.7).isSlow(Start + 2s));
}

Test(pool_worker_pace, slow_and_hanging_workers_are_detected) {
  cr_assert(sampledWorker(0.2).isSlow(Start + 2s));
  cr_assert(sampledWorker(0.0).isSlow(Start + 2s));
}

Test(pool_worker_pace, slowdown_expires_without_new_samples) {
  cr_assert_not(sampledWorker(0.0).isSlow(Start + 10s));
}

Test(pool_worker_pace, one_sample_is_not_enough) {
  SlowdownDetector Worker;
  Worker.sample(0.0, Start);
  cr_assert_not(Worker.isSlow(Start));
}

Test(pool_worker_pace, tasks_restart_elsewhere_only_if_that_saves_time) {
  SlowdownDetector Hanging = sampledWorker(0.0);
  cr_assert(Hanging.worthRestartingElsewhere(0.1, 0.0, 2500ms));
  cr_assert(Hanging.worthRestartingElsewhere(0.2, 0.0, 8s));
  // With more than half of it done, the task ends sooner if it waits for the
  // slowdown to end.
  cr_assert_not(Hanging.worthRestartingElsewhere(0.6, 0.0, 8s));
  cr_assert(Hanging.worthRestartingElsewhere(0.6, 0.6, 8s));
}
