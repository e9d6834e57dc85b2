/// \file
/// Tests that run time estimates converge although declarations are off by a
/// factor of ten.
#include "jobs/RunTimeEstimator.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

JobSpec declared(Duration RunTime) {
  JobSpec Spec;
  Spec.Workspace = WorkspaceId("alpha");
  Spec.Kind = JobKindId("train");
  Spec.ExpectedRunTime = RunTime;
  return Spec;
}

} // namespace

Test(schedule_estimates, declaration_is_used_without_samples) {
  cr_assert_eq(RunTimeEstimator().estimate(declared(10min)), 10min);
}

Test(schedule_estimates, tenfold_errors_are_learned_either_way) {
  for (int Factor : {10, -10}) {
    RunTimeEstimator Estimator;
    Duration ActualRunTime = Factor > 0 ? Duration(100min) : Duration(1min);
    for (int Run = 0; Run != 20; ++Run)
      Estimator.recordRunTime(declared(10min), ActualRunTime);
    double Ratio = toSeconds(Estimator.estimate(declared(10min))) /
                   toSeconds(ActualRunTime);
    cr_assert_lt(Ratio, 1.5);
    cr_assert_gt(Ratio, 0.67);
  }
}

Test(schedule_estimates, other_kinds_are_not_affected) {
  RunTimeEstimator Estimator;
  Estimator.recordRunTime(declared(10min), 100min);
  JobSpec Other = declared(10min);
  Other.Kind = JobKindId("rank");
  cr_assert_eq(Estimator.estimate(Other), 10min);
}

Test(schedule_estimates, overrun_job_is_expected_to_run_half_its_elapsed_time) {
  cr_assert_eq(RunTimeEstimator().remaining(declared(10min), 60min), 30min);
}
