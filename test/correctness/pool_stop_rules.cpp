/// \file
/// The rules by which runs are stopped: what a stop costs, whole gangs, runs
/// that end before a stop would, and workers that leave.
#include "pool/ReclaimPlan.h"
#include "pool/StopCost.h"
#include "support/PoolWorkload.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};
const Resources WholeWorker{64000, 262144, 8};

PoolLimits limits() {
  PoolLimits Limits;
  Limits.StopTime = 500ms;
  Limits.ReclaimTime = 900ms;
  return Limits;
}

} // namespace

// A victim that is stopped again at once, or that is preferred although others
// lose less, is work thrown away.
Test(pool_stop_rules, cost_is_the_lost_work) {
  StopCost Cost({500ms, 1s, 200ms});
  cr_assert(Cost.lostTime(false, 8s) == 8s);
  cr_assert(Cost.lostTime(true, 8s) == 1200ms);
  cr_assert(Cost.lostTime(true, 300ms) == 500ms);
  cr_assert_eq(StopCost::factor(std::nullopt, false, Begin), 1.0);
  cr_assert_eq(StopCost::factor(Begin - 9s, false, Begin), 10.0);
  cr_assert_eq(StopCost::factor(Begin - 10s, false, Begin), 1.0);
  cr_assert_eq(StopCost::factor(std::nullopt, true, Begin), 0.1);
}

// An estimate is off by up to 0.9 in either direction, so that a run is waited
// for only by its measured progress.
Test(pool_stop_rules, only_measured_runs_are_waited_for) {
  StopCost Cost({500ms, 1s, 200ms});
  cr_assert(Cost.endsBeforeStop({8s, 400ms, true}));
  cr_assert_not(Cost.endsBeforeStop({8s, 600ms, true}));
  cr_assert_not(Cost.endsBeforeStop({8s, 400ms, false}));
  cr_assert(StopCost::endProbability({8s, 2s, true}, 2s) >= 0.5);
  cr_assert(StopCost::endProbability({8s, 2s, true}, 1700ms) == 0.0);
  cr_assert(StopCost::endProbability({0s, 8s, false}, 8s) >= 0.5);
  cr_assert(StopCost::endProbability({4s, 4s, false}, 4s) < 0.5);
  cr_assert(StopCost::endProbability({16s, 0s, false}, 0s) < 0.5);
}

// The stop of one member breaks its whole gang: two cheap members cost two
// gangs.
Test(pool_stop_rules, one_gang_rather_than_parts_of_two) {
  PoolWorker Info;
  std::vector<ReclaimWorker> Workers;
  for (std::size_t Victim : {0, 1, 2, 2})
    Workers.push_back({&Info, Resources(), {Victim}});
  std::vector<ReclaimVictim> Victims = {
      {60.0, {{0, WholeWorker}}},
      {60.0, {{1, WholeWorker}}},
      {100.0, {{2, WholeWorker}, {3, WholeWorker}}}};
  PlacementRequest Request;
  Request.PerTask = WholeWorker;
  Request.Count = 2;
  auto Plan = planReclaim(Request, Workers, Victims);
  cr_assert(Plan.has_value());
  cr_assert(Plan->Victims == std::vector<std::size_t>{2});
  cr_assert_eq(Plan->Cost, 100.0);
  Request.Count = 5;
  cr_assert_not(planReclaim(Request, Workers, Victims).has_value());
}

Test(pool_stop_rules, urgent_step_waits_for_a_run_that_is_about_to_end) {
  PoolWorkload Load(1, limits(), 1s, 200ms);
  Load.add(1, "gangs", Begin, 8, WholeWorker, 10s);
  Load.add(2, "urgent", Begin + 9700ms, 5, WholeWorker, 2s);
  // Other work must not take the workers while the urgent step waits.
  Load.add(3, "gangs", Begin + 9500ms, 8, WholeWorker, 10s);
  Load.runUntil(Begin + 11s);
  cr_assert_eq(Load.runsStopped(), 0U);
  const WorkloadJob &Urgent = Load.Jobs.at(JobId(2));
  cr_assert(Urgent.StartedAt && *Urgent.StartedAt < Begin + 10200ms);
}

// A gang without checkpoints loses all its work by a stop, as by the leave.
Test(pool_stop_rules, gang_runs_on_if_it_probably_ends_before_the_leave) {
  auto Stops = [](Duration Remaining) {
    PoolWorkload Load(1, limits(), 1s, 200ms);
    Load.add(1, "gangs", Begin, 8, WholeWorker, 10s);
    Load.runUntil(Begin + 10s - Remaining);
    Load.drainAll(2s);
    Load.runUntil(Begin + 12s);
    return Load.runsStopped();
  };
  cr_assert_eq(Stops(1800ms), 0U);
  cr_assert_eq(Stops(3s), 8U);
}

// Costs of a stop must not change decisions where nothing is to be stopped.
Test(pool_stop_rules, decisions_without_stops_are_unchanged) {
  auto Decisions = [](Duration Restore) {
    PoolLimits Limits = limits();
    Limits.CheckpointInterval = Restore * 5;
    Limits.RestoreTime = Restore;
    PoolWorkload Load(2, Limits, 1s, 200ms);
    for (std::uint64_t Id = 1; Id <= 40; ++Id) {
      auto &Job = Load.add(Id, Id % 2 ? "gangs" : "singles", Begin + Id * 300ms,
                           5 + Id % 9, {6000, 16384, 1}, 8s);
      Job.Spec.Steps[0].Checkpoints = Id % 3 == 0;
    }
    Load.runUntil(Begin + 30s);
    return Load.log().lines();
  };
  cr_assert(Decisions(0ms) == Decisions(250ms));
}
