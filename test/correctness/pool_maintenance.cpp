/// \file
/// Waves of maintenance take hosts down in time, no more at once than allowed,
/// and without work on them.
#include "pool/Maintenance.h"
#include "support/FakeHosts.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// One daemon, eight workers, each on its host.
struct MaintainedPool {
  PoolWorld World{1, 1, 1};
  FakeHosts Hosts{World};
  Maintenance Upkeep{Hosts, *World.daemon(0).Owner, World.daemon(0).Timers,
                     World.daemon(0).Log};

  MaintainedPool() {
    World.run(2s);
    Upkeep.ownershipChanged(true);
  }

  void ask(std::size_t Count, std::uint32_t AtOnce, Duration Span) {
    MaintenanceWave Wave;
    Wave.Wave = WaveNumber(1);
    Wave.Hosts = Hosts.hosts();
    Wave.Hosts.resize(Count);
    Wave.AtOnce = AtOnce;
    Wave.Span = Span;
    Upkeep.waveChanged(Wave.Wave, &Wave);
  }
};

} // namespace

Test(pool_maintenance, idle_hosts_go_through_one_after_the_other) {
  MaintainedPool Pool;
  Pool.ask(4, 1, 30s);
  Pool.World.run(1s);
  cr_assert_str_eq(Pool.Hosts.told().c_str(), "running");
  Pool.World.run(20s);
  cr_assert_eq(Pool.Hosts.through(), 4U);
  cr_assert_eq(Pool.Hosts.mostDown(), 1U);
  cr_assert_str_eq(Pool.Hosts.told().c_str(), "completed");
}

Test(pool_maintenance, work_ends_before_its_host_goes_down) {
  MaintainedPool Pool;
  Pool.World.submit(0, Pool.World.job(1, 7, 8, false, 5s));
  Pool.World.run(500ms);
  Pool.ask(8, 2, 60s);
  Pool.World.run(50s);
  cr_assert_eq(Pool.Hosts.through(), 8U);
  cr_assert_eq(Pool.Hosts.tasksKilled(), 0U);
  cr_assert_leq(Pool.Hosts.mostDown(), 2U);
  cr_assert_eq(Pool.World.Pool.starts(), 7U);
  cr_assert(Pool.World.shown(JobId(1)) == JobStatus::Completed);
  cr_assert(Pool.World.Pool.violations().empty());
}

Test(pool_maintenance, work_that_does_not_end_in_time_is_moved) {
  MaintainedPool Pool;
  Pool.World.submit(0, Pool.World.job(1, 4, 8, false, 10min));
  Pool.World.run(500ms);
  Pool.ask(8, 2, 40s);
  Pool.World.run(45s);
  cr_assert_eq(Pool.Hosts.through(), 8U);
  cr_assert_eq(Pool.Hosts.tasksKilled(), 0U);
  cr_assert_eq(Pool.World.Pool.running(), 4U);
}

Test(pool_maintenance, long_running_step_misses_no_more_than_it_may) {
  MaintainedPool Pool;
  JobSpec Spec = Pool.World.job(1, 4, 8, false, 1h);
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().MayMiss = 1;
  Pool.World.submit(0, Spec);
  Pool.World.run(2s);
  cr_assert_eq(Pool.World.Pool.running(), 4U);
  Pool.ask(8, 4, 60s);
  std::size_t Least = 4;
  for (int Turn = 0; Turn < 550; ++Turn) {
    Pool.World.run(100ms);
    Least = std::min(Least, Pool.World.Pool.running());
  }
  cr_assert_geq(Least, 3U);
  cr_assert_eq(Pool.Hosts.tasksKilled(), 0U);
}

Test(pool_maintenance, order_without_an_answer_counts_as_down) {
  MaintainedPool Pool;
  Pool.Hosts.LosesAnswers = true;
  Pool.Hosts.LateBy = 6s;
  Pool.ask(6, 1, 60s);
  Pool.World.run(5s);
  Pool.Hosts.LosesAnswers = false;
  Pool.World.run(50s);
  cr_assert_eq(Pool.Hosts.mostDown(), 1U);
  cr_assert_eq(Pool.Hosts.through(), 6U);
  cr_assert_str_eq(Pool.Hosts.told().c_str(), "completed");
}

Test(pool_maintenance, successor_goes_on_with_the_wave) {
  MaintainedPool Pool;
  Pool.ask(6, 2, 60s);
  Pool.World.run(5s);
  std::size_t Before = Pool.Hosts.through();
  cr_assert_gt(Before, 0U);
  cr_assert_lt(Before, 6U);
  // What the first owner knew is gone.
  Pool.Upkeep.ownershipChanged(false);
  Pool.Upkeep.ownershipChanged(true);
  Pool.World.run(40s);
  cr_assert_eq(Pool.Hosts.through(), 6U);
  cr_assert_leq(Pool.Hosts.mostDown(), 2U);
  cr_assert_str_eq(Pool.Hosts.told().c_str(), "completed");
}

Test(pool_maintenance, host_that_is_gone_does_not_hold_the_wave_up) {
  MaintenanceWave Wave;
  Wave.Wave = WaveNumber(1);
  Wave.Hosts = {HostId("a"), HostId("gone")};
  Wave.Span = 10s;
  MaintenancePlan Plan(Wave);
  auto Free = [](const WorkerId &) { return false; };
  TimePoint Now{1s};
  cr_assert(Plan.step(Free, Now).Orders.empty());
  Plan.listed({{HostId("a"), HostState::Up, WorkerId("w")}}, Now);
  cr_assert(Plan.step(Free, Now).Orders == std::vector<HostId>{HostId("a")});
  Plan.answered(HostId("a"), MaintenanceResult::Done, Now);
  // A list that was asked for before says nothing of the order.
  Plan.listed({{HostId("a"), HostState::Up, WorkerId("w")}}, Now);
  cr_assert_not(Plan.completed());
  Plan.listed({{HostId("a"), HostState::Up, WorkerId("x")}}, Now + 3s);
  cr_assert(Plan.completed());
}

Test(pool_maintenance, silent_platform_takes_nothing_down) {
  MaintainedPool Pool;
  Pool.Hosts.Silent = true;
  Pool.ask(4, 2, 20s);
  Pool.World.run(10s);
  cr_assert_eq(Pool.Hosts.through(), 0U);
  Pool.Hosts.Silent = false;
  Pool.World.run(20s);
  cr_assert_eq(Pool.Hosts.through(), 4U);
}

Test(pool_maintenance, successor_leaves_a_completed_wave_alone) {
  MaintainedPool Pool;
  Pool.ask(4, 2, 30s);
  Pool.World.run(20s);
  cr_assert_str_eq(Pool.Hosts.told().c_str(), "completed");
  std::size_t Before = Pool.Hosts.orders();
  Pool.Upkeep.ownershipChanged(false);
  Pool.Upkeep.ownershipChanged(true);
  Pool.World.run(20s);
  cr_assert_eq(Pool.Hosts.orders(), Before);
}
