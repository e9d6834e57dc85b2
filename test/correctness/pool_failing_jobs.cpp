/// \file
/// Jobs that can never succeed run beside healthy work. Guards against healthy
/// workers that are set aside, or avoided by urgent work, because such a job
/// failed on them, and against failing workers that are excused by such jobs.
#include "pool/TaskFailures.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
const WorkerId W1("w1");
const WorkerId W2("w2");
const WorkerId W3("w3");

pool::TaskKey task(std::uint64_t Job, std::uint32_t Index = 0) {
  return {JobId(Job), 0, 0, Index};
}

} // namespace

Test(pool_failing_jobs, urgent_gangs_start_where_a_failing_job_ran) {
  PoolSimulation Simulation(1, 1, 3);
  auto Base = Simulation.Pool.Behaviour;
  Simulation.Pool.Behaviour = [Base](const pool::TaskKey &Task) {
    TaskBehaviour Result = Base(Task);
    Result.Fails = Task.Job < JobId(100);
    return Result;
  };
  Simulation.runFor(2s);
  std::vector<pool::JobSpec> UrgentJobs;
  for (std::uint64_t Tick = 0; Tick < 100; ++Tick) {
    // Two attempts of the failing tasks cover all workers.
    if (Tick % 20 == 0) {
      Simulation.submit(0, Simulation.job(1 + Tick, 48, 4, false, 500ms));
      Simulation.submit(0, Simulation.job(200 + Tick, 13, 1, false, 2s));
    }
    if (Tick % 10 == 5) {
      pool::JobSpec Urgent = Simulation.job(1000 + Tick, 5, 2, true, 2s);
      Urgent.Queue = pool::QueueId("urgent");
      Urgent.Terms = Simulation.Configuration.findQueue(Urgent.Queue)->Terms;
      Simulation.submit(0, Urgent);
      UrgentJobs.push_back(Urgent);
    }
    Simulation.runFor(100ms);
  }
  Simulation.runFor(5s);
  for (const pool::JobSpec &Urgent : UrgentJobs) {
    // The start that leaves the run time within 1.5 times the critical path.
    auto StartedAt = Simulation.Pool.firstStart(Urgent.Id);
    cr_assert(StartedAt.has_value());
    Duration Wait =
        StartedAt->time_since_epoch() - Urgent.AcceptedAt.time_since_epoch();
    cr_assert_lt(Wait.count(), Duration(1s).count(), "job %llu",
                 static_cast<unsigned long long>(Urgent.Id.value()));
  }
  const auto &Lines = Simulation.daemon(0).Log.lines();
  cr_assert(std::none_of(Lines.begin(), Lines.end(), [](const auto &Line) {
    return Line.find("worker.suspect") != std::string::npos;
  }));
}

Test(pool_failing_jobs, job_that_fails_on_three_workers_counts_for_none) {
  pool::TaskFailures Failures;
  // Attempts of 9 s each: the first is out of the worker's window at the third.
  Failures.recordFailure(W1, task(1), false, Start);
  Failures.recordFailure(W2, task(1), false, Start + 9s);
  cr_assert_eq(Failures.failedJobs(W1), 1U);
  cr_assert_eq(Failures.failedJobs(W2), 1U);
  Failures.expire(Start + 18s);
  Failures.recordFailure(W3, task(1), false, Start + 18s);
  for (const WorkerId &Worker : {W1, W2, W3})
    cr_assert_eq(Failures.failedJobs(Worker), 0U);
}

Test(pool_failing_jobs, worker_that_fails_several_jobs_is_not_excused) {
  pool::TaskFailures Failures;
  Failures.recordFailure(W1, task(1), false, Start);
  Failures.recordFailure(W1, task(2, 1), true, Start);
  cr_assert_eq(Failures.failedJobs(W1), 2U);
  // Three failing workers fail different tasks of a step that completes others.
  Failures.recordFailure(W2, task(2, 2), true, Start);
  Failures.recordFailure(W3, task(2, 3), true, Start);
  cr_assert_eq(Failures.failedJobs(W1), 2U);
  Failures.recordSuccess(W1, task(1));
  cr_assert_eq(Failures.failedJobs(W1), 1U);
  Failures.expire(Start + 11s);
  cr_assert_eq(Failures.failedJobs(W1), 0U);
}

Test(pool_failing_jobs, one_failing_task_of_a_step_counts_for_no_worker) {
  pool::TaskFailures Failures;
  for (const WorkerId &Worker : {W1, W2, W3})
    Failures.recordFailure(Worker, task(1, 4), true, Start);
  for (const WorkerId &Worker : {W1, W2, W3})
    cr_assert_eq(Failures.failedJobs(Worker), 0U);
}
