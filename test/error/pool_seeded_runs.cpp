/// \file
/// Under random faults between daemons, store and workers, no task runs twice,
/// no worker exceeds its capacity, and every accepted job ends after the
/// faults.
#include "support/PoolFaultRun.h"
#include "support/SeededRuns.h"

#include <sstream>

#include <criterion/criterion.h>

using namespace banyanworks::testing;

namespace {

constexpr std::uint64_t Seeds = 150;

void expectPromisesKept(PoolFaults Kinds) {
  expectNoViolations(Seeds, [Kinds](std::uint64_t Seed) {
    return runPoolFaults(Seed, Kinds);
  });
}

} // namespace

Test(pool_seeded_runs, faults_break_no_promise) {
  expectPromisesKept(PoolFaults::Base);
}

/// Safety must not depend on the speed of any process.
Test(pool_seeded_runs, slow_daemons_break_no_promise) {
  expectPromisesKept(PoolFaults::WithSlowDaemons);
}

/// No start exceeds the newest cap of its workspace, also after takeovers, with
/// unreachable workers and while daemons have different configurations.
Test(pool_seeded_runs, changing_caps_are_never_exceeded) {
  expectPromisesKept(PoolFaults::WithCaps);
}

/// No start exceeds a capacity that shrank more than three seconds ago.
Test(pool_seeded_runs, shrinking_workers_are_not_exceeded) {
  expectPromisesKept(PoolFaults::WithShrinkingWorkers);
}

/// Caps that bind nothing change no decision.
Test(pool_seeded_runs, wide_caps_change_no_decision) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::ostringstream Without;
    std::ostringstream With;
    runPoolFaults(Seed, PoolFaults::Base, &Without);
    runPoolFaults(Seed, PoolFaults::WithWideCaps, &With);
    cr_assert(Without.str() == With.str(), "seed %lu",
              static_cast<unsigned long>(Seed));
  }
}

/// A worker crashed and restarted under its id, undetected (349) or between
/// two renewals (2407); a renewal then acknowledged ends of the new
/// incarnation that no daemon had received.
Test(pool_seeded_runs, cursor_of_an_earlier_incarnation_acknowledges_nothing) {
  cr_assert(runPoolFaults(349, PoolFaults::WithoutOutageDetection).empty());
  cr_assert(runPoolFaults(2407, PoolFaults::WithoutOutageDetection).empty());
}

/// A worker restarted while an order was in flight; the report that revealed
/// the restart had been requested before the order arrived.
Test(pool_seeded_runs, run_on_a_new_incarnation_survives_an_older_report) {
  cr_assert(runPoolFaults(3639, PoolFaults::WithoutOutageDetection).empty());
}
