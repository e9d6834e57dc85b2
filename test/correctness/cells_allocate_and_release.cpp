/// \file
/// CellTree allocates each accelerator at most once, and release() restores the
/// free capacity.
#include "jobs/CellTree.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

WorkerInfo worker(const char *Id, std::int32_t Accelerators) {
  WorkerInfo Info;
  Info.Id = WorkerId(Id);
  Info.Capacity = {32000, 131072, Accelerators};
  return Info;
}

TaskId task(std::uint64_t Job, std::uint32_t Member = 0) {
  return {JobId(Job), 0, Member};
}

} // namespace

Test(cells, grants_each_accelerator_once) {
  CellTree Cells;
  Cells.addWorker(worker("w", 8));
  cr_assert(Cells.allocate(task(1), WorkerId("w"), {1000, 10, 2}, 0b11));
  cr_assert_not(Cells.allocate(task(2), WorkerId("w"), {1000, 10, 2}, 0b110));
  cr_assert_not(Cells.allocate(task(1), WorkerId("w"), {1000, 10, 1}, 0b100));
  cr_assert(Cells.release(task(1)));
  cr_assert_not(Cells.release(task(1)));
  cr_assert(Cells.free() == Cells.capacity());
}

Test(cells, removed_worker_returns_its_tasks) {
  CellTree Cells;
  Cells.addWorker(worker("w", 8));
  Cells.addWorker(worker("v", 8));
  cr_assert(Cells.allocate(task(1), WorkerId("w"), {1000, 10, 1}, 1));
  cr_assert_eq(Cells.removeWorker(WorkerId("w")).size(), 1);
  cr_assert_eq(Cells.taskCount(), 0);
  cr_assert_eq(Cells.capacity().Accelerators, 8);
}

Test(cells, shrunken_worker_drops_what_no_longer_fits) {
  CellTree Cells;
  Cells.addWorker(worker("w", 8));
  cr_assert(Cells.allocate(task(1), WorkerId("w"), {1000, 10, 1}, 1));
  cr_assert(Cells.allocate(task(2), WorkerId("w"), {1000, 10, 1}, 0x80));
  std::vector<TaskId> Dropped = Cells.addWorker(worker("w", 4));
  cr_assert_eq(Dropped.size(), 1);
  cr_assert(Dropped[0] == task(2));
  cr_assert_eq(Cells.free().Accelerators, 3);
}
