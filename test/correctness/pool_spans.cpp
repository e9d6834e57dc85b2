/// \file
/// Each interval in the life of a task is measured once.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

Test(pool_spans, each_task_is_queued_started_and_recorded) {
  PoolSimulation Simulation(1, 1, 1);
  std::map<PoolSpan, std::vector<Duration>> Observed;
  Simulation.daemon(0).Owner->observe(
      [&Observed](PoolSpan Span, Duration Elapsed) {
        Observed[Span].push_back(Elapsed);
      });
  Simulation.runFor(2s);
  // Half of the tasks wait for others to end.
  Simulation.submit(0, Simulation.job(1, 16, 8, false, 2s));
  Simulation.runFor(9s);
  cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Observed[PoolSpan::Queued].size(), 16U);
  cr_assert_eq(Observed[PoolSpan::Started].size(), 16U);
  cr_assert_eq(Observed[PoolSpan::Recorded].size(), 16U);
  cr_assert(Observed[PoolSpan::Queued].front() < 100ms);
  cr_assert(Observed[PoolSpan::Queued].back() >= 2s);
  for (Duration Elapsed : Observed[PoolSpan::Recorded])
    cr_assert(Elapsed < 100ms);
}
