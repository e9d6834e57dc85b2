/// \file
/// Workers are removed, restored and changed while gangs start and end. The
/// indexes must equal a recount and bound cells must stay disjoint; after all
/// workers return and all gangs end, the guarantees can be packed again.
#include "support/Clusters.h"
#include "support/ExhaustivePacking.h"

#include "base/Random.h"
#include "kernel/Registry.h"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

constexpr std::uint32_t Racks = 2;
constexpr std::uint32_t WorkersPerRack = 3;

class WorkerChangeRun {
public:
  explicit WorkerChangeRun(std::uint64_t Seed) : Rng(Seed) {
    addRacks(Cells, Racks, WorkersPerRack, 4);
    Configuration Config;
    for (const char *Name : {"p", "q"}) {
      Workspaces.emplace_back(Name);
      Config.Workspaces[Workspaces.back()].Guarantee = {
          makeCell(CellLevel::Worker, 1, 1), makeCell(CellLevel::Group, 2, 2)};
    }
    Config.Workspaces[Workspaces.back()].Guarantee.push_back(
        makeCell(CellLevel::Rack, 2, 1));
    Ledger.configure(Config, DomainId("d"));
  }

  void runStep() {
    switch (Rng.below(6)) {
    case 0:
      removeRandomWorker();
      break;
    case 1:
      restoreWorkers();
      break;
    case 2:
      if (!Gangs.empty())
        end(Gangs.begin()->first);
      break;
    default:
      submitGang();
    }
    checkIndexes();
    bool Disjoint = true;
    Masks Left = unboundMasks(Cells, Ledger, Workspaces, Disjoint);
    cr_assert(Disjoint);
    for (WorkerSlot Slot = 0; Slot < Left.size(); ++Slot)
      if (Cells.cell(Slot).Present)
        cr_assert_eq(Left[Slot], Cells.cell(Slot).unboundMask());
  }

  void restoreWorkers() {
    for (std::uint32_t Rack = 0; Rack < Racks; ++Rack)
      for (std::uint32_t Worker = 0; Worker < WorkersPerRack; ++Worker)
        Cells.addWorker(makeWorker(name(Rack, Worker), Rack, 4));
  }

  void endAll() {
    while (!Gangs.empty())
      end(Gangs.begin()->first);
  }

  bool canPackAll() const {
    Masks Left;
    for (const WorkerCell &Cell : Cells.cells())
      Left.push_back(Cell.Present ? Cell.unboundMask() : 0);
    return Ledger.canPackAll() &&
           packsExhaustively(Cells, Left, unboundCells(Ledger));
  }

  bool isIdle() const {
    return Cells.taskCount() == 0 && Cells.free() == Cells.capacity();
  }

private:
  static std::string name(std::uint32_t Rack, std::uint32_t Worker) {
    return "r" + std::to_string(Rack) + "w" + std::to_string(Worker);
  }

  void removeRandomWorker() {
    WorkerId Id(name(Rng.below(Racks), Rng.below(WorkersPerRack)));
    std::set<JobId> AffectedJobs;
    for (const TaskId &Task : Cells.removeWorker(Id))
      AffectedJobs.insert(Task.Job);
    for (JobId Job : AffectedJobs)
      end(Job);
  }

  void submitGang() {
    auto Spec = makeJob(++LastJob, Workspaces[Rng.below(2)].str(),
                        1 + Rng.below(3), std::int32_t(1) << Rng.below(3));
    bool Covered = Ledger.coversGang(*Spec);
    PlacementResult Result = (*PlaceGang)(Cells, Ledger, {Spec, Covered, {}});
    if (!Result.placed())
      return;
    if (Covered)
      cr_assert(Ledger.charge(*Spec, Result.Members));
    cr_assert(allocateGang(Cells, *Spec, Result.Members));
    Gangs[Spec->Id] = Spec;
  }

  void end(JobId Job) {
    releaseGang(Cells, *Gangs.at(Job));
    Ledger.discharge(Job);
    Gangs.erase(Job);
  }

  void checkIndexes() const {
    std::vector<std::int32_t> Merged(GroupLevels, 0);
    std::int32_t FreeWorkers = 0;
    for (const WorkerCell &Cell : Cells.cells()) {
      if (!Cell.Present)
        continue;
      auto Groups = countMergedGroups(Cell.FreeMask);
      for (int Level = 0; Level < GroupLevels; ++Level)
        Merged[Level] += Groups[Level];
      FreeWorkers += Cell.FreeMask == Cell.allAccelerators() ? 1 : 0;
    }
    const GroupTotals &Totals = Cells.freeGroups().totals()[0];
    for (int Level = 0; Level < GroupLevels; ++Level)
      cr_assert_eq(Totals.Merged[Level], Merged[Level]);
    cr_assert_eq(Totals.wholeWorkers(), FreeWorkers);
  }

  Random Rng;
  CellTree Cells;
  GuaranteeLedger Ledger{Cells};
  std::unique_ptr<PlacementPolicy> PlaceGang =
      Registry<PlacementPolicy>::instance().make("cell-fit");
  std::vector<WorkspaceId> Workspaces;
  std::map<JobId, std::shared_ptr<JobSpec>> Gangs;
  std::uint64_t LastJob = 0;
};

} // namespace

Test(worker_changes, guarantees_can_be_packed_after_workers_return) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    WorkerChangeRun One(Seed);
    for (int Step = 0; Step < 300; ++Step)
      One.runStep();
    One.restoreWorkers();
    One.endAll();
    cr_assert(One.isIdle(), "seed %lu", Seed);
    cr_assert(One.canPackAll(), "seed %lu", Seed);
  }
}

Test(worker_changes, worker_announced_again_keeps_its_guarantee) {
  CellTree Cells;
  GuaranteeLedger Ledger(Cells);
  addRacks(Cells, 1, 1, 4);
  Configuration Config;
  Config.Workspaces[WorkspaceId("p")].Guarantee = {
      makeCell(CellLevel::Worker, 1, 1)};
  Ledger.configure(Config, DomainId("d"));
  auto Spec = makeJob(1, "p", 1, 1);
  std::vector<MemberPlacement> Members = {{WorkerId("r0w0"), 1}};
  cr_assert(Ledger.charge(*Spec, Members));
  cr_assert(Cells.addWorker(makeWorker("r0w0", 0, 4)).empty());
  cr_assert_eq(Cells.cell(0).BoundMask, 0xF);
  WorkerInfo MoreMemory = makeWorker("r0w0", 0, 4);
  MoreMemory.Capacity.MemoryMiB *= 2;
  Cells.addWorker(MoreMemory);
  cr_assert_eq(Cells.cell(0).BoundMask, 0xF);
  Ledger.discharge(Spec->Id);
  cr_assert_eq(Cells.cell(0).BoundMask, 0);
}
