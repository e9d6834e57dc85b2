/// \file
/// Nothing runs on for a cancelled job, whatever happens to daemons and workers
/// around its cancellation.
#include "support/PoolCancelRun.h"
#include "support/SeededRuns.h"

#include <criterion/criterion.h>

using namespace banyanworks::testing;

namespace {

constexpr std::uint64_t Seeds = 150;

} // namespace

/// Tasks of a cancelled job ran on after the owner had changed behind a cut.
Test(pool_cancelled_runs, faults_leave_no_task_of_a_cancelled_job) {
  expectNoViolations(Seeds,
                     [](std::uint64_t Seed) { return runPoolCancels(Seed); });
}
