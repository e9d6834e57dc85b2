/// \file
/// Workers are reserved for a large gang while small tasks keep arriving.
#include "pool/GangReservation.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

PlacementRequest gangOf(std::uint32_t Tasks, std::int32_t Accelerators) {
  PlacementRequest Request;
  Request.PerTask = {1000, 1024, Accelerators};
  Request.Count = Tasks;
  Request.AllOrNothing = true;
  return Request;
}

BusyWorker busy(const PoolWorker &Info, Duration End) {
  BusyWorker Worker;
  Worker.Target.Worker = &Info;
  Worker.Target.Free = {31000, 130000, 0};
  Worker.Releases = {{End, {1000, 1024, 8}}};
  return Worker;
}

} // namespace

Test(pool_gang_hold, workers_that_become_free_first_are_reserved) {
  PoolWorker Early;
  Early.Id = WorkerId("early");
  PoolWorker Middle;
  Middle.Id = WorkerId("middle");
  PoolWorker Late;
  Late.Id = WorkerId("late");
  auto Reservation = GangReservation::plan(
      gangOf(2, 8), {busy(Late, 9s), busy(Early, 1s), busy(Middle, 4s)});
  cr_assert(Reservation);
  cr_assert(Reservation->startsIn() == 4s);
  Resources Free{1000, 1024, 8};
  cr_assert_eq(Reservation->usableResources(Early.Id, Free, 10s).Accelerators,
               0);
  cr_assert_eq(Reservation->usableResources(Late.Id, Free, 10s).Accelerators,
               8);
  // Tasks that end before the gang starts may use the reserved resources.
  cr_assert_eq(Reservation->usableResources(Early.Id, Free, 3s).Accelerators,
               8);
}

Test(pool_gang_hold, gang_that_fits_nowhere_reserves_nothing) {
  PoolWorker SingleWorker;
  cr_assert_not(GangReservation::plan(gangOf(2, 8), {busy(SingleWorker, 1s)}));
}

Test(pool_gang_hold, small_tasks_do_not_starve_a_large_gang) {
  PoolSimulation Simulation(1, 1, 1);
  Simulation.runFor(2s);
  // More small tasks than the 64 accelerators can run, ending at arbitrary
  // times.
  std::uint64_t Small = 10;
  auto Submit = [&] {
    Duration Work = std::chrono::milliseconds(1000 + Small * 337 % 1900);
    Simulation.submit(0, Simulation.job(Small++, 4, 1, false, Work));
  };
  for (int Number = 0; Number < 24; ++Number)
    Submit();
  Simulation.runFor(1s);
  Simulation.submit(0, Simulation.job(1, 6, 8, true, 1s));
  for (int Step = 0; Step < 40; ++Step) {
    Simulation.runFor(100ms);
    Submit();
  }
  cr_assert(Simulation.Pool.firstStart(JobId(1)));
}
