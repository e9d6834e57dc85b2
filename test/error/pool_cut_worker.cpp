/// \file
/// Tasks survive a network partition that is slightly shorter than a lease.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(pool_cut_worker, task_survives_a_cut_whenever_it_begins) {
  // Leases last 6 s and are renewed every 0.4 s; renewals of an unresponsive
  // worker are retried every 0.3 s.
  constexpr Duration LongestCut = 5200ms;
  for (int Case = 0; Case < 40; ++Case) {
    Duration Phase = Case % 8 * 50ms;
    Duration Cut = LongestCut - Case / 8 * 100ms;
    PoolSimulation Simulation(1, 2, 1);
    Simulation.runFor(2s);
    Simulation.submit(0, Simulation.job(1, 6, 8, false, 12s));
    Simulation.runFor(2s + Phase);
    for (const WorkerId &Id : Simulation.Pool.ids())
      Simulation.setReachable(Id, false);
    Simulation.runFor(Cut);
    for (const WorkerId &Id : Simulation.Pool.ids())
      Simulation.setReachable(Id, true);
    Simulation.runFor(8s);
    cr_assert(Simulation.visibleStatus(JobId(1)) == pool::JobStatus::Completed);
    cr_assert_eq(Simulation.Pool.starts(), 6, "phase %ld ms: %zu starts",
                 static_cast<long>(Phase.count() / 1000),
                 Simulation.Pool.starts());
  }
}

Test(pool_cut_worker, worker_is_used_again_after_a_cut_longer_than_its_lease) {
  PoolSimulation Simulation(1, 1, 1);
  Simulation.runFor(2s);
  Simulation.submit(0, Simulation.job(1, 8, 8, false, 3s));
  Simulation.runFor(1s);
  std::set<WorkerId> &Unresponsive =
      Simulation.daemon(0).Workers.Faults.Unresponsive;
  for (const WorkerId &Id : Simulation.Pool.ids())
    Unresponsive.insert(Id);
  Simulation.runFor(8s);
  Unresponsive.clear();
  Simulation.runFor(8s);
  cr_assert(Simulation.visibleStatus(JobId(1)) == pool::JobStatus::Completed);
}
