/// \file
/// Tasks without accelerators must not use the cores and memory that free
/// accelerators need, and gangs must not split larger groups than necessary.
#include "support/Clusters.h"

#include "jobs/GuaranteeLedger.h"
#include "kernel/Registry.h"

#include <bit>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

struct Cluster {
  CellTree Cells;
  GuaranteeLedger Ledger{Cells};
  std::unique_ptr<PlacementPolicy> PlaceGang =
      Registry<PlacementPolicy>::instance().make("cell-fit");
  std::uint64_t LastJob = 0;

  /// Places a gang and allocates its placements.
  PlacementResult run(std::uint32_t Members, Resources PerMember) {
    auto Spec = makeJob(++LastJob, "p", Members, PerMember.Accelerators);
    Spec->PerMember = PerMember;
    PlacementResult Result = (*PlaceGang)(Cells, Ledger, {Spec, false, {}});
    if (Result.placed())
      cr_assert(allocateGang(Cells, *Spec, Result.Members));
    return Result;
  }
};

} // namespace

Test(stranding, cpu_only_tasks_fill_cpu_only_workers_first) {
  Cluster Case;
  Case.Cells.addWorker(makeWorker("acc", 0, 4));
  Case.Cells.addWorker(makeWorker("plain", 1, 0));
  for (int Task = 0; Task < 64; ++Task) {
    PlacementResult Result = Case.run(1, {1000, 1024, 0});
    cr_assert(Result.placed());
    cr_assert(Result.Members[0].Worker == WorkerId("plain"));
  }
  // The CPU-only worker is full; the cores of the accelerators stay reserved.
  PlacementResult Result = Case.run(1, {1000, 1024, 0});
  cr_assert_eq(Result.FailureReason, Reason::WaitsForCapacity);
  cr_assert(Case.run(1, ShareOfAccelerator * 4 + Resources{0, 0, 4}).placed());
}

Test(stranding, cpu_only_tasks_use_cores_whose_accelerators_are_taken) {
  Cluster Case;
  Case.Cells.addWorker(makeWorker("acc", 0, 4));
  Case.Cells.addWorker(makeWorker("plain", 1, 0));
  cr_assert(Case.run(1, {1000, 1024, 2}).placed());
  cr_assert(Case.run(1, {64000, 1024, 0}).placed());
  // The two allocated accelerators leave 7 cores of their share unused.
  cr_assert(Case.run(1, {7000, 1024, 0}).placed());
  cr_assert_not(Case.run(1, {1000, 1024, 0}).placed());
}

Test(stranding, without_cpu_only_workers_cpu_only_tasks_share_few_workers) {
  Cluster Case;
  addRacks(Case.Cells, 1, 4, 4);
  for (int Task = 0; Task < 8; ++Task)
    cr_assert(Case.run(1, {2000, 1024, 0}).placed());
  int Touched = 0;
  for (const WorkerCell &Cell : Case.Cells.cells())
    Touched += Cell.Tasks.empty() ? 0 : 1;
  cr_assert_eq(Touched, 1);
}

Test(cell_fit, small_gangs_leave_whole_workers) {
  Cluster Case;
  addRacks(Case.Cells, 1, 4, 8);
  for (int Task = 0; Task < 8; ++Task)
    cr_assert(Case.run(1, {1000, 1024, 1}).placed());
  cr_assert(Case.run(3, {1000, 1024, 8}).placed());
}

Test(cell_fit, partly_used_racks_are_used_before_free_ones) {
  Cluster Case;
  addRacks(Case.Cells, 2, 2, 4);
  cr_assert(Case.run(1, {1000, 1024, 4}).placed());
  cr_assert(Case.run(1, {1000, 1024, 1}).placed());
  std::int32_t WholeRacks = 0;
  for (const auto &[Number, Workers] : Case.Cells.racks()) {
    bool IsFree = true;
    for (WorkerSlot Slot : Workers)
      IsFree = IsFree && Case.Cells.cell(Slot).Tasks.empty();
    WholeRacks += IsFree ? 1 : 0;
  }
  cr_assert_eq(WholeRacks, 1);
}

Test(cell_fit, worker_size_may_be_no_power_of_two) {
  Cluster Case;
  Case.Cells.addWorker(makeWorker("six", 0, 6));
  cr_assert(Case.run(1, {1000, 1024, 6}).placed());
  cr_assert_not(Case.run(1, {1000, 1024, 1}).placed());
}
