/// \file
/// Nothing runs on for a cancelled job, whatever happens to daemons and workers
/// around its cancellation.
#include "support/PoolCancelRun.h"

#include <criterion/criterion.h>

using namespace banyanworks::testing;

namespace {

constexpr std::uint64_t Seeds = 150;

} // namespace

/// Tasks of a cancelled job ran on after the owner had changed behind a cut.
Test(pool_cancelled_runs, faults_leave_no_task_of_a_cancelled_job) {
  std::size_t ViolationCount = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const std::string &Violation : runPoolCancels(Seed)) {
      cr_log_error("seed %lu: %s", static_cast<unsigned long>(Seed),
                   Violation.c_str());
      ++ViolationCount;
    }
  }
  cr_assert_eq(ViolationCount, 0);
}
