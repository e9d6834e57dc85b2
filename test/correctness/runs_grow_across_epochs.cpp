/// \file
/// Run numbers of a later epoch exceed those of all earlier epochs, also if the
/// lower bits of the epoch, which hold the daemon's tag, are smaller.
#include "support/ScheduleRig.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

namespace {

/// The number of the first run that a scheduler assigns to a job under \p Term.
std::uint64_t firstRun(Epoch Term) {
  DomainScheduler Scheduler(SchedulerSettings(), DomainId("a"));
  TimePoint Now{1000s};
  auto Config = std::make_shared<Configuration>();
  Config->Domains[DomainId("a")].Id = DomainId("a");
  Config->Workspaces[WorkspaceId("alpha")].Id = WorkspaceId("alpha");
  Scheduler.handle(Now, ConfigurationChanged{Config});
  Scheduler.handle(Now, PermissionRenewed{Now + 60s});
  OwnershipGained Gained;
  Gained.Term = Term;
  Gained.RecordsComplete = true;
  Scheduler.handle(Now, Gained);
  WorkerInventory Worker;
  Worker.Info.Id = WorkerId("w");
  Worker.Info.Domain = DomainId("a");
  Worker.Info.Rack = RackId("r");
  Worker.Info.Capacity = {32000, 131072, 8};
  Worker.Session = Incarnation(1);
  Scheduler.handle(Now, WorkerJoined{Worker});
  auto Spec = std::make_shared<JobSpec>(gang(1, 1));
  Spec->Id = JobId(7);
  auto Actions = Scheduler.handle(Now, JobSubmitted{Spec});
  for (int I = 0; I < 200; ++I) {
    for (const JobAction &Action : Actions)
      if (const auto *Hold = std::get_if<HoldTask>(&Action))
        return Hold->Task.Run;
    Now += 50ms;
    Actions = Scheduler.handle(Now, Tick{});
  }
  return 0;
}

} // namespace

Test(schedule_runs, grow_with_the_epoch_counter) {
  constexpr std::uint64_t CounterUnit = 1 << 20;
  std::uint64_t Early = firstRun(Epoch(1 * CounterUnit + 900'000));
  std::uint64_t Late = firstRun(Epoch(2 * CounterUnit + 17));
  cr_assert_gt(Early, 0);
  cr_assert_gt(Late, Early);
}
