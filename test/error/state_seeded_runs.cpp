/// \file
/// Simulated daemons under seeded faults: no accelerator is granted twice, no
/// gang starts partially, no work starts late, no version reverts, and no
/// accepted job is lost or run twice.
#include "support/StateSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

struct RunTotals {
  SimulationViolations Violations;
  SimulationCounts Counts;
};

RunTotals runSeeds(std::uint64_t First, std::uint64_t Count) {
  RunTotals Totals;
  for (std::uint64_t Seed = First; Seed != First + Count; ++Seed) {
    StateSimulation Simulation(SimulationSettings(), Seed);
    Simulation.run();
    Totals.Violations += Simulation.violations();
    Totals.Counts += Simulation.counts();
  }
  return Totals;
}

} // namespace

Test(state_runs, faults_violate_no_grant_gang_start_or_version_rule) {
  RunTotals Totals = runSeeds(1, 60);
  const SimulationViolations &Broken = Totals.Violations;
  cr_assert_eq(Broken.AcceleratorsGrantedTwice, 0U);
  cr_assert_eq(Broken.PartialGangs, 0U);
  cr_assert_eq(Broken.StartsOutOfService, 0U);
  cr_assert_eq(Broken.VersionReversions, 0U);
  cr_assert_gt(Totals.Counts.JobsCompleted, 300U);
  cr_assert_gt(Totals.Counts.OutOfServiceAccepted, 30U);
}

Test(state_runs, faults_lose_no_accepted_job) {
  RunTotals Totals = runSeeds(1, 60);
  cr_assert_eq(Totals.Violations.JobsLost, 0U);
}

Test(state_runs, faults_lose_no_accepted_job_in_seed_64) {
  RunTotals Totals = runSeeds(64, 1);
  cr_assert_eq(Totals.Violations.JobsLost, 0U);
}

Test(state_runs, faults_run_no_job_twice) {
  RunTotals Totals = runSeeds(1, 60);
  cr_assert_eq(Totals.Violations.JobsRunTwice, 0U);
}
