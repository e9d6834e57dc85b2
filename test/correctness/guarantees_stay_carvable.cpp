/// \file
/// In random runs on small clusters, the unused guarantees can be packed after
/// every step according to an exhaustive search, and a gang that its guarantee
/// covers is always placed.
#include "support/Clusters.h"
#include "support/ExhaustivePacking.h"

#include "base/Random.h"
#include "kernel/Registry.h"

#include <bit>
#include <map>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

/// Random guarantees that fit together.
Configuration randomGuarantees(Random &Rng, const CellTree &Cells,
                               std::vector<WorkspaceId> &Workspaces) {
  Configuration Config;
  Masks Left;
  for (const WorkerCell &Cell : Cells.cells())
    Left.push_back(Cell.allAccelerators());
  std::vector<CellShape> All;
  for (const char *Name : {"p", "q", "r"}) {
    Workspaces.emplace_back(Name);
    Workspace &Own = Config.Workspaces[Workspaces.back()];
    Own.Id = Workspaces.back();
    for (int Try = 0; Try < 2; ++Try) {
      auto Level = static_cast<CellLevel>(Rng.below(3));
      std::int32_t Size =
          Level == CellLevel::Rack ? 2 : std::int32_t(1) << Rng.below(3);
      GuaranteedCell Cell = makeCell(Level, Size, 1);
      All.push_back(shapeOf(Cell));
      if (packsExhaustively(Cells, Left, All))
        Own.Guarantee.push_back(Cell);
      else
        All.pop_back();
    }
  }
  return Config;
}

class Run {
public:
  explicit Run(std::uint64_t Seed)
      : Rng(Seed), Ledger(Cells),
        PlaceGang(Registry<PlacementPolicy>::instance().make("cell-fit")),
        Reclaim(Registry<VictimPolicy>::instance().make("least-loss")) {
    addRacks(Cells, 2, 3, 4);
    Ledger.configure(randomGuarantees(Rng, Cells, Workspaces), DomainId("d"));
  }

  bool canPackAll() const { return Ledger.canPackAll(); }

  void runStep() {
    Now += std::chrono::seconds(1);
    if (!Gangs.empty() && Rng.withProbability(0.4)) {
      auto Gang = Gangs.begin();
      std::advance(Gang, Rng.below(static_cast<std::uint32_t>(Gangs.size())));
      end(Gang->first);
    } else {
      submitGang();
    }
    check();
  }

  int reclaims() const { return Reclaims; }

private:
  void submitGang() {
    auto Spec = makeJob(++LastJob, Workspaces[Rng.below(3)].str(),
                        1 + Rng.below(4), std::int32_t(1) << Rng.below(3));
    bool Covered = Ledger.coversGang(*Spec);
    PlacementResult Result = (*PlaceGang)(Cells, Ledger, {Spec, Covered, {}});
    if (Covered && !Result.placed()) {
      VictimPlan Plan =
          (*Reclaim)(Cells, Ledger, {Spec, true, {}}, running(), Now);
      cr_assert(Plan.Placement.placed(), "a covered gang was not placed");
      // The plan may have no victims: the search by cost may find free capacity
      // that the search for the first fit missed.
      Reclaims += Plan.Victims.empty() ? 0 : 1;
      for (JobId Victim : Plan.Victims) {
        cr_assert_not(Gangs.at(Victim).UnderGuarantee);
        end(Victim);
      }
      Result = Plan.Placement;
    }
    if (!Result.placed())
      return;
    if (Covered)
      cr_assert(Ledger.charge(*Spec, Result.Members));
    cr_assert(allocateGang(Cells, *Spec, Result.Members));
    RunningGang &Gang = Gangs[Spec->Id];
    Gang.Spec = Spec;
    Gang.UnderGuarantee = Covered;
    Gang.StartedAt = Now;
    Gang.Members = Result.Members;
  }

  void end(JobId Job) {
    releaseGang(Cells, *Gangs.at(Job).Spec);
    Ledger.discharge(Job);
    Gangs.erase(Job);
  }

  std::vector<RunningGang> running() const {
    std::vector<RunningGang> Result;
    for (const auto &Entry : Gangs) {
      Result.push_back(Entry.second);
      Result.back().AtRisk = Now - Entry.second.StartedAt;
    }
    return Result;
  }

  void check() const {
    bool Disjoint = true;
    Masks Left = unboundMasks(Cells, Ledger, Workspaces, Disjoint);
    cr_assert(Disjoint);
    for (WorkerSlot Slot = 0; Slot < Left.size(); ++Slot)
      cr_assert_eq(Left[Slot], Cells.cell(Slot).unboundMask());
    cr_assert(packsExhaustively(Cells, Left, unboundCells(Ledger)));
    // Charged gangs occupy only accelerators of bound cells.
    for (const auto &Entry : Gangs) {
      if (!Entry.second.UnderGuarantee)
        continue;
      for (const MemberPlacement &Member : Entry.second.Members)
        cr_assert_eq(Left[*Cells.slotOf(Member.Worker)] & Member.Accelerators,
                     0);
    }
  }

  Random Rng;
  CellTree Cells;
  GuaranteeLedger Ledger;
  std::unique_ptr<PlacementPolicy> PlaceGang;
  std::unique_ptr<VictimPolicy> Reclaim;
  std::vector<WorkspaceId> Workspaces;
  std::map<JobId, RunningGang> Gangs;
  std::uint64_t LastJob = 0;
  TimePoint Now;
  int Reclaims = 0;
};

} // namespace

Test(guarantees, stay_packable_in_random_runs) {
  constexpr std::uint64_t Seeds = 100;
  constexpr int Steps = 200;
  int Reclaims = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Run One(Seed);
    cr_assert(One.canPackAll(), "seed %lu", Seed);
    for (int Step = 0; Step < Steps; ++Step)
      One.runStep();
    Reclaims += One.reclaims();
  }
  cr_assert_gt(Reclaims, 100,
               "too few reclaims to check guarantees after a reclaim");
}
