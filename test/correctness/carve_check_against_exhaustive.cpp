/// \file
/// Compares CellPacking with an exhaustive search. A positive result must
/// always be correct; with one worker kind and cells of up to one worker, a
/// negative result must be correct too.
#include "support/Clusters.h"
#include "support/ExhaustivePacking.h"

#include "base/Random.h"
#include "jobs/CellPacking.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

/// A cluster with random accelerators bound, and random cells to pack into the
/// rest.
struct Case {
  CellTree Cells;
  std::vector<CellShape> RequiredShapes;

  Case(Random &Rng, bool Mixed) {
    for (std::uint32_t Rack = 0; Rack < 2; ++Rack) {
      for (std::uint32_t Worker = 0; Worker < 3; ++Worker) {
        bool Other = Mixed && Rng.withProbability(0.4);
        Cells.addWorker(makeWorker(
            std::to_string(Rack) + "." + std::to_string(Worker), Rack,
            Other ? 2 + 4 * std::int32_t(Rng.below(2)) : 4, Other ? "b" : "a"));
      }
    }
    for (WorkerSlot Slot = 0; Slot < Cells.cells().size(); ++Slot) {
      if (!Rng.withProbability(0.5))
        continue;
      auto Some = static_cast<AcceleratorMask>(Rng.bits());
      Cells.bind(Slot, Some & Cells.cell(Slot).allAccelerators());
    }
    auto Count = 1 + Rng.below(6);
    while (RequiredShapes.size() < Count) {
      auto Level = static_cast<CellLevel>(Rng.below(Mixed ? 3 : 2));
      GuaranteedCell Cell =
          makeCell(Level, Level == CellLevel::Rack ? 2 : 1, 1);
      if (Level == CellLevel::Group)
        Cell.Accelerators = std::int32_t(1) << Rng.below(3);
      if (Mixed && Rng.withProbability(0.5))
        Cell.AcceleratorModel = Rng.withProbability(0.5) ? "a" : "b";
      RequiredShapes.push_back(shapeOf(Cell));
    }
  }

  bool canPack() const {
    std::vector<CellShape> Shapes = RequiredShapes;
    std::ranges::sort(Shapes, packsBefore);
    Shapes.erase(std::unique(Shapes.begin(), Shapes.end()), Shapes.end());
    std::vector<std::int32_t> Demand;
    Demand.reserve(Shapes.size());
    for (const CellShape &Shape : Shapes)
      Demand.push_back(
          static_cast<std::int32_t>(std::ranges::count(RequiredShapes, Shape)));
    return CellPacking(Cells, Shapes).canPack(Demand);
  }

  bool canPackExhaustively() const {
    Masks Left;
    for (const WorkerCell &Cell : Cells.cells())
      Left.push_back(Cell.unboundMask());
    return packsExhaustively(Cells, Left, RequiredShapes);
  }
};

} // namespace

Test(packing, equals_exhaustive_search_for_cells_within_workers) {
  Random Rng(7);
  int Fits = 0;
  for (int Try = 0; Try < 3000; ++Try) {
    Case One(Rng, false);
    bool Naive = One.canPackExhaustively();
    cr_assert_eq(One.canPack(), Naive, "case %d", Try);
    Fits += Naive ? 1 : 0;
  }
  cr_assert(Fits > 300 && Fits < 2700, "both outcomes must occur");
}

Test(packing, has_no_false_positives_for_mixed_workers_and_rack_cells) {
  Random Rng(8);
  int Fits = 0;
  int Missed = 0;
  for (int Try = 0; Try < 3000; ++Try) {
    Case One(Rng, true);
    bool Naive = One.canPackExhaustively();
    cr_assert(Naive || !One.canPack(), "case %d", Try);
    Fits += Naive ? 1 : 0;
    Missed += Naive && !One.canPack() ? 1 : 0;
  }
  cr_assert_gt(Fits, 300);
  cr_assert_lt(Missed * 20, Fits, "false negatives must be rare");
}
