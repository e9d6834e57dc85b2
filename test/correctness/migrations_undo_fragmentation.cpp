/// \file
/// Fragmentation counts are correct, and migrations free larger groups within
/// their limits.
#include "support/Clusters.h"

#include "jobs/Fragmentation.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/Migrations.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

using namespace std::chrono_literals;

/// Two workers of four accelerators, each fragmented by a gang on one
/// accelerator.
struct FragmentedCluster {
  CellTree Cells;
  GuaranteeLedger Ledger{Cells};
  std::vector<RunningGang> Running;
  TimePoint Now = TimePoint(1h);

  FragmentedCluster() {
    addRacks(Cells, 1, 2, 4);
    startBorrowing(1, "r0w0");
    startBorrowing(2, "r0w1");
  }

  void startBorrowing(std::uint64_t Job, const std::string &Worker) {
    auto Spec = makeJob(Job, "q", 1, 1);
    Spec->Checkpointable = true;
    RunningGang Gang;
    Gang.Spec = Spec;
    Gang.Members = {{WorkerId(Worker), 1}};
    cr_assert(allocateGang(Cells, *Spec, Gang.Members));
    Running.push_back(Gang);
  }

  std::vector<Migration> plan() const {
    return planMigrations(Cells, Ledger, Running, Now);
  }
};

std::int64_t fitNow(const CellTree &Cells, std::int32_t Accelerators) {
  for (const GangSizeFit &Size : measureFragmentation(Cells))
    if (Size.Accelerators == Accelerators)
      return Size.FitNow;
  return -1;
}

} // namespace

Test(fragmentation, counts_gangs_now_and_packed) {
  FragmentedCluster Case;
  for (const GangSizeFit &Size : measureFragmentation(Case.Cells)) {
    std::int64_t Now = Size.Accelerators == 1 ? 6 : 0;
    std::int64_t Packed = Size.Accelerators == 1 ? 6 : 0;
    if (Size.Accelerators == 2) {
      Now = 2;
      Packed = 3;
    }
    if (Size.Accelerators == 4)
      Packed = 1;
    cr_assert_eq(Size.FitNow, Now, "%d", Size.Accelerators);
    cr_assert_eq(Size.FitPacked, Packed, "%d", Size.Accelerators);
  }
}

Test(fragmentation, idle_cluster_has_none) {
  CellTree Cells;
  addRacks(Cells, 2, 4, 8);
  cr_assert_eq(meanShare(measureFragmentation(Cells)), 1.0);
  CellTree None;
  cr_assert(measureFragmentation(None).empty());
}

Test(migrations, one_move_frees_a_worker) {
  FragmentedCluster Case;
  std::vector<Migration> Plan = Case.plan();
  cr_assert_eq(Plan.size(), 1);
  auto Moved = static_cast<std::size_t>(Plan[0].Job.value() - 1);
  releaseGang(Case.Cells, *Case.Running[Moved].Spec);
  cr_assert(allocateGang(Case.Cells, *Case.Running[Moved].Spec,
                         Plan[0].NewPlacements));
  cr_assert_eq(fitNow(Case.Cells, 4), 1);
}

Test(migrations, gang_that_cannot_checkpoint_stays) {
  FragmentedCluster Case;
  for (RunningGang &Gang : Case.Running) {
    auto Spec = std::make_shared<JobSpec>(*Gang.Spec);
    Spec->Checkpointable = false;
    Gang.Spec = Spec;
  }
  cr_assert(Case.plan().empty());
}

Test(migrations, recently_moved_gang_stays) {
  FragmentedCluster Case;
  for (RunningGang &Gang : Case.Running)
    Gang.LastMoved = Case.Now - 1min;
  cr_assert(Case.plan().empty());
}

Test(migrations, charged_gang_stays) {
  FragmentedCluster Case;
  for (RunningGang &Gang : Case.Running)
    Gang.UnderGuarantee = true;
  cr_assert(Case.plan().empty());
}

Test(migrations, nothing_moves_without_a_gain) {
  FragmentedCluster Case;
  releaseGang(Case.Cells, *Case.Running[1].Spec);
  Case.Running.pop_back();
  cr_assert(Case.plan().empty());
}
