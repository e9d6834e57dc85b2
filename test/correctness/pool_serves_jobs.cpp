/// \file
/// On a healthy pool, each job runs completely and once, and its status is
/// reported correctly.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// A simulation in which one of the daemons owns the pool.
std::unique_ptr<PoolSimulation>
startedSimulation(const PoolLimits &Limits = {}) {
  auto Simulation = std::make_unique<PoolSimulation>(1, 3, 2, Limits);
  Simulation->runFor(2s);
  return Simulation;
}

} // namespace

Test(pool_jobs, accepted_job_is_completed) {
  auto Simulation = startedSimulation();
  auto Answer = Simulation->submit(1, Simulation->job(1, 4, 2, false));
  Simulation->runFor(3s);
  cr_assert(*Answer == Reason::None);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.starts(), 4);
  cr_assert(Simulation->Pool.violations().empty());
}

Test(pool_jobs, gang_starts_completely) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 6, 8, true));
  Simulation->runFor(4s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.starts(), 6);
  cr_assert_eq(Simulation->Pool.gangTimeouts(), 0);
}

Test(pool_jobs, same_job_at_several_daemons_runs_once) {
  auto Simulation = startedSimulation();
  pool::JobSpec Spec = Simulation->job(1, 3, 1, false);
  for (std::size_t Number = 0; Number < Simulation->daemonCount(); ++Number)
    Simulation->submit(Number, Spec);
  Simulation->runFor(1s);
  auto Again = Simulation->submit(2, Spec);
  Simulation->runFor(4s);
  cr_assert(*Again == Reason::None);
  cr_assert_eq(Simulation->Pool.starts(), 3);
}

Test(pool_jobs, cancelled_job_leaves_nothing_running) {
  auto Simulation = startedSimulation();
  Simulation->submit(0, Simulation->job(1, 8, 4, false, 60s));
  Simulation->runFor(1s);
  cr_assert_eq(Simulation->Pool.running(), 8);
  Simulation->cancel(1, JobId(1));
  Simulation->runFor(2s);
  cr_assert_eq(Simulation->Pool.running(), 0);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Cancelled);
}

Test(pool_jobs, job_that_fails_ends_after_its_attempts) {
  auto Simulation = startedSimulation();
  pool::JobSpec Spec = Simulation->job(1, 1, 1, false, 100ms);
  Spec.Program = "fails";
  Simulation->submit(0, Spec);
  Simulation->runFor(5s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Failed);
  cr_assert_eq(Simulation->Pool.starts(), 3);
}

Test(pool_jobs, urgent_gang_reclaims_resources_in_time) {
  PoolLimits Limits;
  Limits.Reserve.MinShare = 0.0;
  auto Simulation = startedSimulation(Limits);
  // All 128 accelerators are busy with tasks of one minute.
  Simulation->submit(0, Simulation->job(1, 128, 1, false, 60s));
  Simulation->runFor(2s);
  cr_assert_eq(Simulation->Pool.running(), 128);
  pool::JobSpec Urgent = Simulation->job(2, 4, 8, true, 1s);
  Urgent.Queue = QueueId("urgent");
  Urgent.Terms.Priority = 0;
  Simulation->submit(1, Urgent);
  Simulation->runFor(2900ms);
  cr_assert(Simulation->visibleStatus(JobId(2)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.gangTimeouts(), 0);
  cr_assert(Simulation->Pool.violations().empty());
}

Test(pool_jobs, steps_wait_for_their_predecessors) {
  auto Simulation = startedSimulation();
  pool::JobSpec Spec = Simulation->job(1, 2, 1, false, 1s);
  StepSpec Second = Spec.Steps.front();
  Second.After = {0};
  Spec.Steps.push_back(Second);
  Simulation->submit(0, Spec);
  Simulation->runFor(900ms);
  cr_assert_eq(Simulation->Pool.starts(), 2);
  Simulation->runFor(3s);
  cr_assert_eq(Simulation->Pool.starts(), 4);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
}

Test(pool_jobs, occurrence_starts_when_it_is_due) {
  auto Simulation = startedSimulation();
  pool::JobSpec Spec = Simulation->job(1, 1, 1, false, 100ms);
  Spec.Occurrences = 3;
  Spec.FirstDue = Spec.AcceptedAt + 1s;
  Spec.Interval = 2s;
  Simulation->submit(0, Spec);
  Simulation->runFor(900ms);
  cr_assert_eq(Simulation->Pool.starts(), 0);
  Simulation->runFor(1s);
  cr_assert_eq(Simulation->Pool.starts(), 1);
  Simulation->runFor(5s);
  cr_assert_eq(Simulation->Pool.starts(), 3);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
}

Test(pool_jobs, nothing_starts_in_a_domain_out_of_service) {
  auto Simulation = startedSimulation();
  Simulation->setDomainsOutOfService({DomainId("d0")});
  TimePoint Since = Simulation->Clock.now();
  Simulation->submit(0, Simulation->job(1, 40, 1, false, 1s));
  Simulation->runFor(5s);
  cr_assert(Simulation->visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.startsIn(DomainId("d0"), Since), 0);
}
