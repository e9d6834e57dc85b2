/// \file
/// Jobs run once and whole on a healthy pool, and are shown as what they are.
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// The world once one of its daemons owns the pool.
std::unique_ptr<PoolWorld> ready(const PoolLimits &Limits = {}) {
  auto World = std::make_unique<PoolWorld>(1, 3, 2, Limits);
  World->run(2s);
  return World;
}

} // namespace

Test(pool_jobs, accepted_job_is_completed) {
  auto World = ready();
  auto Answer = World->submit(1, World->job(1, 4, 2, false));
  World->run(3s);
  cr_assert(*Answer == Reason::None);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.starts(), 4);
  cr_assert(World->Pool.violations().empty());
}

Test(pool_jobs, gang_starts_whole) {
  auto World = ready();
  World->submit(0, World->job(1, 6, 8, true));
  World->run(4s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.starts(), 6);
  cr_assert_eq(World->Pool.alone(), 0);
}

Test(pool_jobs, same_job_at_several_daemons_runs_once) {
  auto World = ready();
  pool::JobSpec Spec = World->job(1, 3, 1, false);
  for (std::size_t Number = 0; Number < World->daemons(); ++Number)
    World->submit(Number, Spec);
  World->run(1s);
  auto Again = World->submit(2, Spec);
  World->run(4s);
  cr_assert(*Again == Reason::None);
  cr_assert_eq(World->Pool.starts(), 3);
}

Test(pool_jobs, cancelled_job_leaves_nothing_running) {
  auto World = ready();
  World->submit(0, World->job(1, 8, 4, false, 60s));
  World->run(1s);
  cr_assert_eq(World->Pool.running(), 8);
  World->cancel(1, JobId(1));
  World->run(2s);
  cr_assert_eq(World->Pool.running(), 0);
  cr_assert(World->shown(JobId(1)) == JobStatus::Cancelled);
}

Test(pool_jobs, job_that_fails_ends_after_its_attempts) {
  auto World = ready();
  pool::JobSpec Spec = World->job(1, 1, 1, false, 100ms);
  Spec.Program = "fails";
  World->submit(0, Spec);
  World->run(5s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Failed);
  cr_assert_eq(World->Pool.starts(), 3);
}

Test(pool_jobs, urgent_gang_reclaims_room_within_its_bound) {
  PoolLimits Limits;
  Limits.Reserve.MinShare = 0.0;
  auto World = ready(Limits);
  // All 128 accelerators are busy with work that lasts a minute.
  World->submit(0, World->job(1, 128, 1, false, 60s));
  World->run(2s);
  cr_assert_eq(World->Pool.running(), 128);
  pool::JobSpec Urgent = World->job(2, 4, 8, true, 1s);
  Urgent.Queue = QueueId("urgent");
  Urgent.Terms.Priority = 0;
  World->submit(1, Urgent);
  World->run(2900ms);
  cr_assert(World->shown(JobId(2)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.alone(), 0);
  cr_assert(World->Pool.violations().empty());
}

Test(pool_jobs, steps_wait_for_those_before_them) {
  auto World = ready();
  pool::JobSpec Spec = World->job(1, 2, 1, false, 1s);
  StepSpec Second = Spec.Steps.front();
  Second.After = {0};
  Spec.Steps.push_back(Second);
  World->submit(0, Spec);
  World->run(900ms);
  cr_assert_eq(World->Pool.starts(), 2);
  World->run(3s);
  cr_assert_eq(World->Pool.starts(), 4);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
}

Test(pool_jobs, occurrence_waits_for_its_time) {
  auto World = ready();
  pool::JobSpec Spec = World->job(1, 1, 1, false, 100ms);
  Spec.Occurrences = 3;
  Spec.FirstDue = Spec.AcceptedAt + 1s;
  Spec.Interval = 2s;
  World->submit(0, Spec);
  World->run(900ms);
  cr_assert_eq(World->Pool.starts(), 0);
  World->run(1s);
  cr_assert_eq(World->Pool.starts(), 1);
  World->run(5s);
  cr_assert_eq(World->Pool.starts(), 3);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
}

Test(pool_jobs, nothing_starts_in_a_domain_that_is_out) {
  auto World = ready();
  World->setDomainsOut({DomainId("d0")});
  TimePoint Since = World->Clock.now();
  World->submit(0, World->job(1, 40, 1, false, 1s));
  World->run(5s);
  cr_assert(World->shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(World->Pool.startsIn(DomainId("d0"), Since), 0);
}
