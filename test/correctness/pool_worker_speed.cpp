/// \file
/// Workers that are always slower than others are found by the tasks that they
/// run, and kept from urgent gangs.
#include "pool/SiblingPaces.h"
#include "pool/TaskPlacer.h"
#include "pool/UrgentReserve.h"
#include "pool/WorkerSpeed.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;

namespace {

PoolWorker workerOf(const std::string &Id, const std::string &Rack) {
  PoolWorker Worker;
  Worker.Id = WorkerId(Id);
  Worker.Rack = RackId(Rack);
  Worker.Capacity = {32000, 131072, 8};
  return Worker;
}

WorkerRoom roomOn(const PoolWorker &Worker, bool Slow) {
  WorkerRoom Room;
  Room.Worker = &Worker;
  Room.Free = Worker.Capacity;
  Room.Slow = Slow;
  return Room;
}

} // namespace

Test(pool_worker_speed, nothing_is_compared_with_too_few_siblings) {
  SiblingPaces Paces;
  cr_assert(Paces.add(WorkerId("a"), 10.0).empty());
  cr_assert(Paces.add(WorkerId("b"), 10.0).empty());
  cr_assert(Paces.add(WorkerId("c"), 7.0).empty());
  auto All = Paces.add(WorkerId("d"), 10.0);
  cr_assert_eq(All.size(), 4U);
  cr_assert_float_eq(All[2].Ratio, 0.7, 1e-9);
  auto Next = Paces.add(WorkerId("e"), 5.0);
  cr_assert_eq(Next.size(), 1U);
  cr_assert_float_eq(Next[0].Ratio, 0.5, 1e-9);
}

Test(pool_worker_speed, worker_below_others_is_slow) {
  WorkerSpeed Speed;
  cr_assert_not(Speed.slow());
  Speed.sample(0.77);
  cr_assert(Speed.slow());
  // One task that asked for less work than its siblings.
  Speed.sample(1.05);
  cr_assert_not(Speed.slow());
}

Test(pool_worker_speed, passing_fault_is_no_sign_of_speed) {
  WorkerSpeed Speed;
  Speed.sample(0.1);
  cr_assert_not(Speed.slow());
}

Test(pool_worker_speed, urgent_gang_avoids_slow_workers) {
  PoolWorker Slow = workerOf("slow", "one");
  PoolWorker Fast = workerOf("fast", "one");
  PoolWorker Other = workerOf("other", "one");
  PlacementRequest Request;
  Request.PerTask = {1000, 1024, 8};
  Request.Count = 2;
  Request.Whole = true;
  std::vector<WorkerRoom> Rooms = {roomOn(Slow, true), roomOn(Fast, false),
                                   roomOn(Other, false)};
  Request.AvoidSlow = true;
  cr_assert(placeTasks(Request, Rooms) == (std::vector<std::size_t>{1, 2}));
  Request.AvoidSlow = false;
  cr_assert_eq(placeTasks(Request, Rooms).front(), 0U);
}

Test(pool_worker_speed, urgent_gang_prefers_a_rack_without_slow_workers) {
  PoolWorker A = workerOf("a", "tight");
  PoolWorker B = workerOf("b", "tight");
  PoolWorker C = workerOf("c", "wide");
  PoolWorker D = workerOf("d", "wide");
  PoolWorker E = workerOf("e", "wide");
  PlacementRequest Request;
  Request.PerTask = {1000, 1024, 8};
  Request.Count = 2;
  Request.Whole = true;
  Request.SameRack = true;
  Request.AvoidSlow = true;
  std::vector<WorkerRoom> Rooms = {roomOn(A, true), roomOn(B, false),
                                   roomOn(C, false), roomOn(D, false),
                                   roomOn(E, true)};
  cr_assert(placeTasks(Request, Rooms) == (std::vector<std::size_t>{2, 3}));
}

Test(pool_worker_speed, reserve_keeps_workers_that_are_not_slow) {
  PoolWorker Slow = workerOf("slow", "one");
  PoolWorker Fast = workerOf("fast", "one");
  auto Kept =
      UrgentReserve::choose({{&Slow, 8, false, true}, {&Fast, 8, false, false}},
                            8);
  cr_assert(Kept == std::set<WorkerId>{Fast.Id});
}
