/// \file
/// Checks that entries count the jobs that were accepted after the load was
/// measured, so that a burst is not admitted into the same capacity by each of
/// them, and that this changes nothing without a burst.
#include "pool/Admission.h"
#include "pool/JobObjective.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 40;

struct BurstResult {
  std::size_t Admitted = 0;
  /// Admitted jobs that had not ended within three times their objective.
  std::size_t Late = 0;
};

/// Sends 400 jobs to 40 entries within 400 ms, less than the interval at which
/// the load is published. Without estimate errors, eight workers of eight
/// accelerators end four of the jobs per second; 128 of them are as much as
/// admission allows ahead of a job.
BurstResult runBurst(bool AddsAcceptedJobs) {
  PoolSimulation Simulation(11, Entries, 1);
  Simulation.Intake.AddsAcceptedJobs = AddsAcceptedJobs;
  for (std::size_t Number = 0; Number < Entries; ++Number)
    Simulation.restart(Number);
  Simulation.runFor(3s);
  // A little work, so that a load is published.
  for (std::uint64_t Id = 1; Id <= 4; ++Id) {
    Simulation.submit(Id, Simulation.job(Id, 1, 8, false, 1s));
    Simulation.runFor(200ms);
  }
  std::vector<std::shared_ptr<std::optional<Reason>>> Answers;
  for (std::uint64_t Id = 100; Id < 500; ++Id) {
    JobSpec Spec = Simulation.job(Id, 1, 8, false, 800ms);
    Spec.Steps.front().Estimate = 2s;
    Answers.push_back(Simulation.submit(Id % Entries, Spec));
    Simulation.runFor(1ms);
  }
  Simulation.runFor(18s);
  BurstResult Result;
  for (std::uint64_t Id = 100; Id < 500; ++Id) {
    const std::optional<Reason> &Answer = *Answers[Id - 100];
    cr_assert(Answer == Reason::None || Answer == Reason::DeadlineUnreachable);
    if (Answer != Reason::None)
      continue;
    ++Result.Admitted;
    Result.Late += Simulation.visibleStatus(JobId(Id)) != JobStatus::Completed;
  }
  return Result;
}

/// Returns the log lines of a seeded run below the capacity.
std::vector<std::string> runLines(bool AddsAcceptedJobs) {
  PoolSimulation Simulation(7, 2, 2);
  Simulation.Intake.AddsAcceptedJobs = AddsAcceptedJobs;
  for (std::size_t Number = 0; Number < 2; ++Number)
    Simulation.restart(Number);
  Simulation.runFor(5s);
  for (std::uint64_t Id = 1; Id <= 60; ++Id) {
    Simulation.submit(Id % 2, Simulation.job(Id, 1 + Id % 5, 4, Id % 3 == 0,
                                             Duration(100ms) * (1 + Id % 19)));
    Simulation.runFor(100ms);
  }
  Simulation.runFor(20s);
  std::vector<std::string> Lines;
  for (std::size_t Number = 0; Number < 2; ++Number) {
    const auto &Log = Simulation.daemon(Number).Log.lines();
    Lines.insert(Lines.end(), Log.begin(), Log.end());
  }
  return Lines;
}

} // namespace

Test(pool_admission_burst, entries_do_not_admit_into_the_same_capacity) {
  BurstResult Result = runBurst(true);
  cr_log_info("admitted %zu, late %zu", Result.Admitted, Result.Late);
  // What is accepted in the time of a watch (about 25 ms) is not yet seen by
  // the other entries.
  cr_assert_leq(Result.Admitted, 180U);
  // Admission must not reject what would end in time either.
  cr_assert_geq(Result.Admitted, 110U);
  cr_assert_eq(Result.Late, 0U);
  // The load alone lets all of them in.
  cr_assert_gt(runBurst(false).Admitted, 300U);
}

Test(pool_admission_burst, nothing_changes_without_a_burst) {
  auto With = runLines(true);
  cr_assert(With.size() > 100);
  auto Without = runLines(false);
  cr_assert_eq(With.size(), Without.size());
  for (std::size_t Line = 0; Line < With.size(); ++Line)
    cr_assert(With[Line] == Without[Line], "%s\n%s", With[Line].c_str(),
              Without[Line].c_str());
}
