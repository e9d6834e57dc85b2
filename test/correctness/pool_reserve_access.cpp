/// \file
/// Work that only the workers of the urgent reserve can run does not wait for
/// the reserve to move.
#include "pool/ReserveAccess.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <utility>
#include <vector>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("service");

/// A pool of which \p Used of 100 accelerators are in use.
ReserveAccess accessAtUse(std::int32_t Used) {
  ReserveAccess Access;
  Access.addWorker(Service, 100, 0);
  Access.addUse(Service, Used);
  return Access;
}

ReserveDemand demandOf(std::uint32_t Tasks, std::uint32_t FittingOutside) {
  ReserveDemand Demand;
  Demand.Service = Service;
  Demand.Tasks = Tasks;
  Demand.FittingOutside = FittingOutside;
  return Demand;
}

/// A pool of 16 workers. Two of them are the urgent reserve once a job has run.
struct IdlePool {
  PoolSimulation Simulation{5, 1, 2};
  std::vector<WorkerId> Ids = Simulation.Pool.ids();

  IdlePool() {
    Simulation.runFor(2s);
    run(Simulation.job(1, 1, 1, false, 100ms), 1s);
  }

  void run(const JobSpec &Spec, Duration Span) {
    Simulation.submit(0, Spec);
    Simulation.runFor(Span);
  }

  /// Occupies whole workers, as many as \p Tasks if there are.
  void fill(std::uint32_t Tasks) {
    JobSpec Spec = Simulation.job(2, Tasks, 8, false, 1h);
    Spec.Steps.front().LongRunning = true;
    run(Spec, 500ms);
  }
};

} // namespace

Test(pool_reserve_access, step_without_other_workers_may_use_the_reserve) {
  cr_assert(accessAtUse(90).decide(demandOf(1, 0)) ==
            ReserveGrant::NoOtherWorkers);
  cr_assert(accessAtUse(90).decide(demandOf(4, 3)) ==
            ReserveGrant::NoOtherWorkers);
}

Test(pool_reserve_access, reserve_is_kept_from_other_steps_in_a_used_pool) {
  cr_assert(accessAtUse(51).decide(demandOf(1, 1)) == ReserveGrant::None);
  cr_assert(accessAtUse(50).decide(demandOf(1, 1)) == ReserveGrant::IdlePool);
}

Test(pool_reserve_access, lost_service_task_may_use_the_reserve) {
  ReserveDemand Demand = demandOf(1, 1);
  Demand.RestoresService = true;
  cr_assert(accessAtUse(90).decide(Demand) == ReserveGrant::RestoresService);
}

Test(pool_reserve_access, reserve_is_kept_while_a_gang_waits) {
  ReserveDemand Demand = demandOf(1, 1);
  Demand.GangWaits = true;
  cr_assert(accessAtUse(10).decide(Demand) == ReserveGrant::None);
}

Test(pool_reserve_access, use_is_measured_for_each_service) {
  ReserveAccess Access = accessAtUse(90);
  Access.addWorker(ServiceId("other"), 100, 0);
  ReserveDemand Demand = demandOf(1, 1);
  cr_assert(Access.decide(Demand) == ReserveGrant::None);
  Demand.Service = ServiceId("other");
  cr_assert(Access.decide(Demand) == ReserveGrant::IdlePool);
  Access.clear();
  cr_assert(Access.decide(Demand) == ReserveGrant::None);
}

// A task waited without end in an idle pool, since the last worker with the
// label that it requires was in the urgent reserve.
Test(pool_reserve_access, task_starts_on_the_last_worker_with_its_label) {
  IdlePool Pool;
  for (std::size_t Number : {0, 1})
    Pool.Simulation.labelWorker(Pool.Ids[Number], "rare");
  // One worker outside the reserve remains.
  Pool.fill(13);
  JobSpec Spec = Pool.Simulation.job(3, 2, 8, false, 5s);
  Spec.Steps.front().RequiredLabel = "rare";
  Pool.run(Spec, 1s);
  cr_assert_eq(Pool.Simulation.Pool.runningOn(Pool.Ids[0]), 1U);
  cr_assert_eq(Pool.Simulation.Pool.runningOn(Pool.Ids[1]), 1U);
}

// The same for a step that may run once on each worker.
Test(pool_reserve_access, step_spreads_over_all_workers) {
  IdlePool Pool;
  JobSpec Spec = Pool.Simulation.job(3, 16, 1, false, 1h);
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().MaxPerWorker = 1;
  Pool.run(Spec, 2s);
  cr_assert_eq(Pool.Simulation.Pool.running(), 16U);
}

// The same for a task that fits only on workers with more memory.
Test(pool_reserve_access, task_starts_on_the_last_worker_with_its_memory) {
  IdlePool Pool;
  for (std::size_t Number : {0, 1})
    Pool.Simulation.resizeWorker(Pool.Ids[Number], {32000, 262144, 8});
  // One worker outside the reserve remains.
  Pool.fill(13);
  JobSpec Spec = Pool.Simulation.job(3, 2, 8, false, 5s);
  Spec.Steps.front().PerTask.MemoryMiB = 200000;
  Pool.run(Spec, 1s);
  cr_assert_eq(Pool.Simulation.Pool.running(), 15U);
}

// The same for a gang that is too late for a reservation.
Test(pool_reserve_access, late_gang_starts_on_all_workers) {
  IdlePool Pool;
  JobSpec Spec = Pool.Simulation.job(3, 15, 8, true, 1s);
  Spec.AcceptedAt -= 1h;
  Pool.run(Spec, 1s);
  cr_assert_eq(Pool.Simulation.Pool.startsOf({JobId(3), 0, 0, 14}), 1U);
}

// A job whose request is known to fail outside the reserve is still considered
// for the reserve.
Test(pool_reserve_access,
     failed_request_of_another_job_does_not_hide_the_reserve) {
  IdlePool Pool;
  for (std::size_t Number : {0, 1})
    Pool.Simulation.labelWorker(Pool.Ids[Number], "rare");
  Pool.fill(20);
  cr_assert_eq(Pool.Simulation.Pool.running(), 14U);
  JobSpec Spec = Pool.Simulation.job(3, 1, 8, false, 5s);
  Spec.Steps.front().RequiredLabel = "rare";
  Pool.run(Spec, 1s);
  cr_assert_eq(Pool.Simulation.Pool.running(), 15U);
}

Test(pool_reserve_access, urgent_gang_starts_at_once_in_a_full_pool) {
  IdlePool Pool;
  Pool.fill(20);
  JobSpec Urgent = Pool.Simulation.job(3, 2, 8, true, 1s);
  Urgent.Queue = QueueId("urgent");
  Urgent.Terms = Pool.Simulation.Configuration.findQueue(Urgent.Queue)->Terms;
  Pool.run(Urgent, 200ms);
  cr_assert(Pool.Simulation.Pool.firstStart(JobId(3)).has_value());
}
