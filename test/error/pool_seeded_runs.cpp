/// \file
/// Random faults between daemons, store and workers: no task runs twice, no
/// worker is overfull, and every accepted job ends once the faults are over.
#include "support/PoolFaultRun.h"

#include <criterion/criterion.h>

using namespace banyanworks::testing;

namespace {

constexpr std::uint64_t Seeds = 150;

void expectNoViolations(PoolFaults Kinds) {
  std::size_t ViolationCount = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const std::string &What : runPoolFaults(Seed, Kinds)) {
      cr_log_error("seed %lu: %s", static_cast<unsigned long>(Seed),
                   What.c_str());
      ++ViolationCount;
    }
  }
  cr_assert_eq(ViolationCount, 0);
}

} // namespace

Test(pool_seeded_runs, faults_break_no_promise) {
  expectNoViolations(PoolFaults::Base);
}

/// Safety does not rest on the speed of any process.
Test(pool_seeded_runs, slow_daemons_break_no_promise) {
  expectNoViolations(PoolFaults::WithSlowDaemons);
}

/// A worker crashed and came back under its id, unseen (349) or between two
/// renewals (2407); a renewal acknowledged ends of its new life that nobody had
/// seen.
Test(pool_seeded_runs, cursor_of_an_earlier_life_acknowledges_nothing) {
  cr_assert(runPoolFaults(349).empty());
  cr_assert(runPoolFaults(2407).empty());
}

/// A worker restarted while an order was on its way to it; the report that told
/// so had been asked for before the order arrived.
Test(pool_seeded_runs, run_on_a_new_life_survives_an_older_report) {
  cr_assert(runPoolFaults(3639).empty());
}
