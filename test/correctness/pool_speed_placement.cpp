/// \file
/// Tasks are placed by the speed class of workers. Guards against gangs that
/// are slowed by one slower member, and against work that waits for a class
/// although other workers have free resources.
#include "pool/GangReservation.h"
#include "pool/TaskPlacer.h"
#include "pool/UrgentReserve.h"

#include <criterion/criterion.h>

#include <initializer_list>
#include <string>

using namespace banyanworks;
using namespace banyanworks::pool;
using enum banyanworks::pool::SpeedClass;

namespace {

/// Workers of the given classes with 4 free accelerators each, all in one rack.
struct Targets {
  std::vector<PoolWorker> Workers;
  std::vector<PlacementTarget> List;

  Targets(std::initializer_list<SpeedClass> Classes) : Workers(Classes.size()) {
    std::size_t Number = 0;
    for (SpeedClass Class : Classes) {
      PoolWorker &Worker = Workers[Number];
      Worker.Id = WorkerId("w" + std::to_string(Number++));
      Worker.Rack = RackId("r");
      PlacementTarget Target;
      Target.Worker = &Worker;
      Target.Free = {32000, 131072, 4};
      Target.Speed = Class;
      List.push_back(Target);
    }
  }
};

PlacementRequest request(std::uint32_t Count, SpeedPreference Speed) {
  PlacementRequest Request;
  Request.PerTask = {1000, 1024, 2};
  Request.Count = Count;
  Request.AllOrNothing = true;
  Request.Speed = Speed;
  return Request;
}

std::size_t tasksOn(const Targets &Pool, const std::vector<std::size_t> &Chosen,
                    SpeedClass Class) {
  std::size_t Count = 0;
  for (std::size_t Target : Chosen)
    Count += Pool.List[Target].Speed == Class;
  return Count;
}

} // namespace

Test(pool_speed_placement, gang_takes_the_fastest_class_that_holds_it_whole) {
  Targets Pool{Slow, Common, Fast, Common, Slow, Fast, Common};
  auto Preference = SpeedPreference::FastThenCommonThenSlow;
  auto Four = placeTasks(request(4, Preference), Pool.List);
  cr_assert_eq(tasksOn(Pool, Four, Fast), 4U);
  auto Five = placeTasks(request(5, Preference), Pool.List);
  cr_assert_eq(tasksOn(Pool, Five, Common), 5U);
}

Test(pool_speed_placement, work_with_slack_leaves_fast_workers_free) {
  Targets Pool{Fast, Common, Slow};
  auto Preference = SpeedPreference::SlowThenCommonThenFast;
  auto Two = placeTasks(request(2, Preference), Pool.List);
  cr_assert_eq(tasksOn(Pool, Two, Slow), 2U);
  PlacementRequest Singles = request(3, Preference);
  Singles.AllOrNothing = false;
  auto Three = placeTasks(Singles, Pool.List);
  cr_assert_eq(tasksOn(Pool, Three, Slow), 2U);
  cr_assert_eq(tasksOn(Pool, Three, Common), 1U);
}

Test(pool_speed_placement, work_that_no_class_holds_whole_uses_all_classes) {
  Targets Pool{Slow, Common, Fast};
  for (SpeedPreference Preference : {SpeedPreference::FastThenCommonThenSlow,
                                     SpeedPreference::CommonThenFastThenSlow,
                                     SpeedPreference::SlowThenCommonThenFast}) {
    cr_assert_eq(placeTasks(request(6, Preference), Pool.List).size(), 6U);
    cr_assert_eq(placeTasks(request(7, Preference), Pool.List).size(), 0U);
  }
}

Test(pool_speed_placement, urgent_reserve_takes_fast_workers_that_hold_a_gang) {
  Targets Pool{Common, Fast, Common, Fast};
  std::vector<FreeWorker> Free;
  for (const PlacementTarget &Target : Pool.List)
    Free.push_back({Target.Worker, 4, false, Target.Speed});
  UrgentReserve Reserve{ReserveLimits()};
  std::set<WorkerId> FastWorkers{WorkerId("w1"), WorkerId("w3")};
  cr_assert(Reserve.chooseWorkers(Free, 8) == FastWorkers);
  // The two fast workers of the rack are too few for a gang in one rack.
  Reserve.recordArrival(10, true, TimePoint());
  std::set<WorkerId> First{WorkerId("w0"), WorkerId("w2")};
  cr_assert(Reserve.chooseWorkers(Free, 8) == First);
}

Test(pool_speed_placement, reservation_takes_fast_workers_at_equal_times) {
  Targets Pool{Common, Fast, Common, Fast};
  std::vector<BusyWorker> Busy;
  for (const PlacementTarget &Target : Pool.List) {
    Busy.push_back({Target, {{std::chrono::seconds(2), {0, 0, 4}}}});
    Busy.back().Target.Free.Accelerators = 0;
  }
  auto Reservation = GangReservation::plan(
      request(4, SpeedPreference::FastThenCommonThenSlow), Busy);
  cr_assert(Reservation.has_value());
  for (const PlacementTarget &Target : Pool.List) {
    Resources Usable = Reservation->usableResources(
        Target.Worker->Id, Target.Free, std::chrono::seconds(9));
    cr_assert_eq(Usable.Accelerators, Target.Speed == Fast ? 0 : 4);
  }
}
