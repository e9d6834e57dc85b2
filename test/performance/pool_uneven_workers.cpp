/// \file
/// Urgent gangs of five on a pool of which a quarter is 2.2 times as fast.
/// Guards against urgent gangs that miss their objective on common workers
/// while work with slack holds the fast ones.
#include "support/PoolSimulation.h"
#include "support/TaskLengths.h"

#include "pool/JobObjective.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iterator>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstUrgent = 1000;
constexpr Duration UrgentRunTime = 2250ms;
constexpr double FastSpeed = 2.2;

double lengthFactorOf(std::uint64_t Seed) {
  Random Generator(Seed);
  return lengthFactor(Generator);
}

struct PoolRun {
  int Urgent = 0;
  int InTime = 0;
  std::vector<std::string> Placements;
};

PoolRun runPool(std::uint64_t Seed, double Speed,
                const pool::PoolLimits &Limits = {}) {
  PoolSimulation Simulation(Seed, 1, 3, Limits);
  Simulation.Pool.ReportsProgress = true;
  for (unsigned Rack = 0; Rack < 3; ++Rack) {
    for (unsigned Number : {2U, 5U})
      Simulation.Pool.Speeds[WorkerId("w" + std::to_string(Rack) + "-" +
                                      std::to_string(Number))] = Speed;
  }
  auto Base = Simulation.Pool.Behaviour;
  Simulation.Pool.Behaviour = [Base, Seed](const pool::TaskKey &Task) {
    TaskBehaviour Result = Base(Task);
    std::uint64_t First = (Seed * 10000 + Task.Job.value()) * 100;
    double Factor = 0.0;
    // The slowest member sets the pace of a gang.
    for (std::uint32_t Member = 0; Member < Result.GangSize; ++Member)
      Factor = std::max(Factor, lengthFactorOf(First + Member));
    if (Result.GangSize == 0)
      Factor = lengthFactorOf(First + Task.Index);
    Result.RunTime = scaled(Result.RunTime, Factor);
    return Result;
  };
  Simulation.runFor(2s);
  PoolRun Result;
  std::map<JobId, TimePoint> Deadlines;
  for (int Tick = 0; Tick < 1000; ++Tick) {
    auto Number = static_cast<std::uint64_t>(Tick);
    if (Tick % 30 == 0)
      Simulation.submit(0, Simulation.job(1 + Number / 30, 39, 1, false, 8s));
    // The first gangs arrive once the speeds can be known.
    if (Tick >= 300 && Tick % 15 == 0) {
      pool::JobSpec Urgent =
          Simulation.job(FirstUrgent + Number / 15, 5, 2, true, UrgentRunTime);
      Urgent.Queue = pool::QueueId("urgent");
      Urgent.Terms.Priority = 0;
      Urgent.Terms.Stretch = 1.5;
      Deadlines[Urgent.Id] =
          Simulation.Clock.now() + scaled(UrgentRunTime, 1.5) + 250ms;
      Simulation.submit(0, Urgent);
      ++Result.Urgent;
    }
    Simulation.runFor(50ms);
    for (auto At = Deadlines.begin(); At != Deadlines.end();) {
      bool Done =
          Simulation.visibleStatus(At->first) == pool::JobStatus::Completed;
      Result.InTime += Done ? 1 : 0;
      bool Over = Done || Simulation.Clock.now() >= At->second;
      At = Over ? Deadlines.erase(At) : std::next(At);
    }
  }
  Result.Urgent -= static_cast<int>(Deadlines.size());
  cr_assert(Simulation.Pool.violations().empty());
  for (const std::string &Line : Simulation.daemon(0).Log.lines())
    if (Line.find("run.placed") != std::string::npos)
      Result.Placements.push_back(Line);
  return Result;
}

} // namespace

Test(pool_uneven_workers, urgent_gangs_meet_their_objective_on_fast_workers) {
  pool::PoolLimits Without;
  Without.LearnSpeeds = false;
  int Urgent = 0;
  int InTime = 0;
  int InTimeWithout = 0;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    PoolRun Result = runPool(Seed, FastSpeed);
    Urgent += Result.Urgent;
    InTime += Result.InTime;
    InTimeWithout += runPool(Seed, FastSpeed, Without).InTime;
  }
  cr_log_info("%d of %d in time, without speeds %d", InTime, Urgent,
              InTimeWithout);
  cr_assert_geq(InTime * 10, Urgent * 9, "%d of %d", InTime, Urgent);
  cr_assert_gt(InTime, InTimeWithout);
}

Test(pool_uneven_workers, equal_speeds_leave_all_decisions_as_they_were) {
  pool::PoolLimits Without;
  Without.LearnSpeeds = false;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    PoolRun With = runPool(Seed, 1.0);
    cr_assert_gt(With.Placements.size(), 1000U);
    cr_assert(With.Placements == runPool(Seed, 1.0, Without).Placements);
  }
}
