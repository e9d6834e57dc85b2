/// \file
/// The record of a job outgrows what the store takes, or is refused for another
/// reason. Guards against one job that stops the jobs of all workspaces.
#include "pool/CommitIsolation.h"
#include "pool/JobName.h"
#include "pool/ProgressKey.h"
#include "pool/StoreKeys.h"
#include "support/PoolSimulation.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr JobId Large(1);
constexpr JobId Other(2);

/// Three daemons with a job of many small tasks, and another job.
struct LargeJob {
  static constexpr std::uint32_t Tasks = 1500;
  PoolSimulation Simulation{11, 3, 2};

  LargeJob() { Simulation.runFor(2s); }

  void submitLarge(Duration RunTime) {
    pool::JobSpec Spec =
        Simulation.job(Large.value(), Tasks, 0, false, RunTime);
    Spec.Steps.front().PerTask = {50, 64, 0};
    Simulation.submit(0, Spec);
  }

  void submitOther() {
    Simulation.submit(1, Simulation.job(Other.value(), 1, 1, false));
  }

  bool completed(JobId Id) const {
    return Simulation.visibleStatus(Id) == JobStatus::Completed;
  }

  std::size_t logged(const char *Event) {
    std::size_t Count = 0;
    for (std::size_t Number = 0; Number < Simulation.daemonCount(); ++Number)
      Count += Simulation.daemon(Number).Log.count(Event);
    return Count;
  }
};

} // namespace

// A job whose record was longer than a value stopped all jobs.
Test(pool_large_jobs, record_of_a_large_job_stops_the_pool) {
  LargeJob Run;
  Run.Simulation.Shared.MaxValueBytes = std::size_t{16} << 10;
  Run.submitLarge(2s);
  Run.Simulation.runFor(3s);
  Run.submitOther();
  Run.Simulation.runFor(8s);
  cr_assert(Run.completed(Other));
  cr_assert(Run.completed(Large));
  cr_assert_eq(Run.Simulation.Shared.RefusedTransactions, 0U);
  cr_assert_eq(Run.Simulation.Pool.starts(), LargeJob::Tasks + 1);
  Run.Simulation.runFor(1s);
  cr_assert_eq(
      Run.Simulation.Shared.list(std::string(ProgressPrefix)).Entries.size(),
      0U);
}

Test(pool_large_jobs, successor_misses_a_part_of_the_record) {
  LargeJob Run;
  Run.submitLarge(4s);
  Run.Simulation.runFor(1500ms);
  cr_assert_eq(Run.Simulation.Pool.running(), LargeJob::Tasks);
  Run.Simulation.kill(*Run.Simulation.owner());
  Run.Simulation.runFor(15s);
  cr_assert(Run.completed(Large));
  cr_assert_eq(Run.Simulation.Pool.starts(), LargeJob::Tasks);
  cr_assert(Run.Simulation.Pool.violations().empty());
}

// The end of the last member of a gang is reported when its job's completion is
// recorded already, and leaves nothing to record.
Test(pool_large_jobs, owner_without_changes_goes_on_to_write) {
  LargeJob Run;
  Run.Simulation.submit(0, Run.Simulation.job(Other.value(), 2, 8, true, 1s));
  Run.Simulation.runFor(700ms);
  auto Holder = Run.Simulation.Pool.holderOf({Other, 0, 0, 0});
  cr_assert(Holder.has_value());
  Run.Simulation.setReachable(*Holder, false);
  Run.Simulation.runFor(1s);
  cr_assert(Run.completed(Other));
  Run.Simulation.setReachable(*Holder, true);
  Run.Simulation.runFor(2s);
  StoreRevision Before = Run.Simulation.Shared.revision();
  Run.Simulation.runFor(3s);
  cr_assert_eq(Run.Simulation.Shared.revision().value(), Before.value());
}

// The store refuses the record of one job for a reason that nobody knows.
Test(pool_large_jobs, refused_record_stops_the_other_jobs) {
  LargeJob Run;
  Run.Simulation.Shared.RefusedKeys = progressKey({Large, 0});
  Run.submitLarge(2s);
  Run.submitOther();
  Run.Simulation.runFor(5s);
  cr_assert(Run.completed(Other));
  cr_assert(Run.Simulation.visibleStatus(Large) == JobStatus::Failed);
  cr_assert_eq(Run.logged("job.set_aside"), 1U);
  cr_assert_eq(Run.Simulation.daemon(*Run.Simulation.owner())
                   .Owner->scheduler()
                   ->jobsSetAside(),
               1U);
}

Test(pool_large_jobs, refused_load_stops_all_jobs) {
  LargeJob Run;
  Run.Simulation.Shared.RefusedKeys = LoadKey;
  Run.submitOther();
  Run.Simulation.runFor(5s);
  cr_assert(Run.completed(Other));
  cr_assert_eq(Run.logged("job.set_aside"), 0U);
}

// A store that refuses everything proves nothing against a job, and is not
// called all the time.
Test(pool_large_jobs, job_is_set_aside_while_the_store_refuses_everything) {
  LargeJob Run;
  Run.Simulation.Shared.RefusedKeys = HeadKey;
  Run.submitOther();
  Run.Simulation.runFor(10s);
  cr_assert_leq(Run.Simulation.Shared.RefusedTransactions, 20U);
  Run.Simulation.Shared.RefusedKeys.clear();
  Run.Simulation.runFor(5s);
  cr_assert(Run.completed(Other));
  cr_assert_eq(Run.logged("job.set_aside"), 0U);
}

Test(pool_large_jobs, job_that_no_record_can_hold_is_accepted) {
  LargeJob Run;
  Run.Simulation.Intake.MaxValueBytes = 4096;
  Run.Simulation.restart(0);
  Run.Simulation.runFor(2s);
  pool::JobSpec Spec = Run.Simulation.job(Large.value(), 1, 1, false);
  Spec.Steps.resize(200, Spec.Steps.front());
  auto Answer = Run.Simulation.submit(0, Spec);
  Run.Simulation.runFor(100ms);
  cr_assert(*Answer == Reason::InvalidArgument);
}

namespace {

/// A job of 100 tasks, of which all have run, with checkpoints of
/// \p CheckpointBytes.
JobProgress placedProgress(const pool::JobSpec &Spec,
                           std::size_t CheckpointBytes) {
  JobProgress Progress(Spec);
  for (TaskGroup &Group : Progress.groups()) {
    Group.Run = RunNumber(1);
    Group.Checkpoint = std::string(CheckpointBytes + Group.FirstIndex, 'c');
  }
  return Progress;
}

pool::JobSpec specOf(std::uint32_t Tasks, bool Gang = false) {
  pool::JobSpec Spec = ScriptedPool().job(1, {1000, 1024, 1});
  Spec.Steps.front().Tasks = Tasks;
  Spec.Steps.front().Gang = Gang;
  return Spec;
}

} // namespace

Test(pool_large_jobs, parts_hold_a_bounded_number_of_tasks) {
  cr_assert_eq(JobProgress(specOf(64)).partCount(), 1U);
  cr_assert_eq(JobProgress(specOf(65)).partCount(), 2U);
  cr_assert_eq(JobProgress(specOf(500, true)).partCount(), 1U);
  pool::JobSpec Repeated = specOf(40, true);
  Repeated.Occurrences = 3;
  JobProgress Progress(Repeated);
  cr_assert_eq(Progress.partCount(), 3U);
  cr_assert_eq(Progress.partOf(Progress.groups().back()), 2U);
}

Test(pool_large_jobs, part_with_long_checkpoints_does_not_fit) {
  constexpr std::size_t Limit = 20000;
  pool::JobSpec Spec = specOf(100);
  JobProgress Progress = placedProgress(Spec, 1000);
  std::string Part = Progress.encodePart(0, Limit);
  cr_assert_leq(Part.size(), Limit);
  auto Read = JobProgress::decode(Spec, Part);
  cr_assert(Read.has_value());
  // The longest are left out, and the others stay.
  cr_assert_eq(Read->groups()[0].Checkpoint.size(), 1000U);
  cr_assert(Read->groups()[63].Checkpoint.empty());
  cr_assert_eq(Read->groups()[63].Run.value(), 1U);
}

// Earlier versions keep all groups in one record. It is replaced part by part,
// and a takeover may come after each commit.
Test(pool_large_jobs, undivided_record_loses_tasks_while_it_is_divided) {
  pool::JobSpec Spec = specOf(200);
  std::vector<std::string> Stored(JobProgress(Spec).partCount());
  Stored[0] = placedProgress(Spec, 10).encode();
  bool IsDivided = false;
  for (int Owner = 0; Owner < 10 && !IsDivided; ++Owner) {
    auto Progress = JobProgress::decode(Spec, Stored[0]);
    cr_assert(Progress.has_value());
    IsDivided = !Progress->wasUndivided();
    for (std::size_t Part = 1; Part < Stored.size(); ++Part)
      if (!Stored[Part].empty())
        cr_assert(Progress->addPart(Part, Stored[Part]).has_value());
    auto Groups = Progress->groups();
    cr_assert(std::all_of(Groups.begin(), Groups.end(), [](const auto &Group) {
      return Group.Run == RunNumber(1) && !Group.Checkpoint.empty();
    }));
    ScriptedPool Pool;
    Pool.Scheduler.restore(Spec, JobStatus::Queued, *Progress, Pool.Now);
    for (const JobChange &Change : Pool.Scheduler.changes(1))
      Stored[Change.Part] = Change.Progress;
  }
  cr_assert(IsDivided);
}

Test(pool_large_jobs, keys_name_the_parts) {
  for (std::size_t Part : {0U, 1U, 1562U}) {
    auto Read = parseProgressKey(progressKey({Large, Part}));
    cr_assert(Read && Read->Job == Large && Read->Part == Part);
  }
  std::string Key = progressKey({Large, 0});
  for (const char *Suffix : {"/", "/0", "/x", "/1/2", "1"})
    cr_assert_not(parseProgressKey(Key + Suffix).has_value(), "%s", Suffix);
}

Test(pool_large_jobs, job_is_at_fault_between_two_accepted_commits) {
  using Scope = CommitIsolation::Scope;
  CommitIsolation Search;
  cr_assert(Search.scope() == Scope::Everything);
  Search.refused({Large, Other}, true);
  cr_assert(Search.scope() == Scope::HeadOnly);
  cr_assert_not(Search.accepted().has_value());
  cr_assert(Search.scope() == Scope::OneJob && Search.job() == Large);
  // The store begins to refuse everything, which is no fault of the job.
  Search.refused({Large}, false);
  cr_assert(Search.scope() == Scope::HeadOnly);
  Search.refused({}, false);
  cr_assert_not(Search.accepted().has_value());
  cr_assert_not(Search.accepted().has_value());
  cr_assert(Search.scope() == Scope::OneJob && Search.job() == Other);
  Search.refused({Other}, false);
  cr_assert(Search.accepted() == Other);
  cr_assert(Search.scope() == Scope::Everything);
  cr_assert(Search.allowsLoad());
  Search.refused({Large}, true);
  cr_assert_not(Search.accepted().has_value());
  cr_assert_not(Search.accepted().has_value());
  cr_assert(Search.scope() == Scope::Everything);
  cr_assert(Search.allowsBounds() && !Search.allowsLoad());
}
