/// \file
/// The fast check of guarantees against the naive one: its yes is always right,
/// and on workers of one kind with cells up to one worker its no is, too.
#include "support/Clusters.h"
#include "support/ExhaustivePacking.h"

#include "base/Random.h"
#include "jobs/CellPacking.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

/// A cluster with random parts bound, and random cells wanted from the rest.
struct Case {
  CellTree Cells;
  std::vector<CellShape> Wanted;

  Case(Random &Dice, bool Mixed) {
    for (std::uint32_t Rack = 0; Rack < 2; ++Rack) {
      for (std::uint32_t Worker = 0; Worker < 3; ++Worker) {
        bool Other = Mixed && Dice.withProbability(0.4);
        Cells.addWorker(
            makeWorker(std::to_string(Rack) + "." + std::to_string(Worker),
                       Rack, Other ? 2 + 4 * std::int32_t(Dice.below(2)) : 4,
                       Other ? "b" : "a"));
      }
    }
    for (WorkerSlot Slot = 0; Slot < Cells.cells().size(); ++Slot) {
      if (!Dice.withProbability(0.5))
        continue;
      auto Some = static_cast<AcceleratorMask>(Dice.bits());
      Cells.bind(Slot, Some & Cells.cell(Slot).allAccelerators());
    }
    auto Count = 1 + Dice.below(6);
    while (Wanted.size() < Count) {
      auto Level = static_cast<CellLevel>(Dice.below(Mixed ? 3 : 2));
      GuaranteedCell Cell =
          makeCell(Level, Level == CellLevel::Rack ? 2 : 1, 1);
      if (Level == CellLevel::Group)
        Cell.Accelerators = std::int32_t(1) << Dice.below(3);
      if (Mixed && Dice.withProbability(0.5))
        Cell.AcceleratorModel = Dice.withProbability(0.5) ? "a" : "b";
      Wanted.push_back(shapeOf(Cell));
    }
  }

  bool fast() const {
    std::vector<CellShape> Shapes = Wanted;
    std::ranges::sort(Shapes, packsBefore);
    Shapes.erase(std::unique(Shapes.begin(), Shapes.end()), Shapes.end());
    std::vector<std::int32_t> Demand;
    Demand.reserve(Shapes.size());
    for (const CellShape &Shape : Shapes)
      Demand.push_back(
          static_cast<std::int32_t>(std::ranges::count(Wanted, Shape)));
    return CellPacking(Cells, Shapes).canPack(Demand);
  }

  bool naive() const {
    Masks Left;
    for (const WorkerCell &Cell : Cells.cells())
      Left.push_back(Cell.unboundMask());
    return packsExhaustively(Cells, Left, Wanted);
  }
};

} // namespace

Test(carve, equals_exhaustive_search_for_cells_within_workers) {
  Random Dice(7);
  int Fits = 0;
  for (int Try = 0; Try < 3000; ++Try) {
    Case One(Dice, false);
    bool Naive = One.naive();
    cr_assert_eq(One.fast(), Naive, "case %d", Try);
    Fits += Naive ? 1 : 0;
  }
  cr_assert(Fits > 300 && Fits < 2700, "both answers must occur");
}

Test(carve, never_says_yes_wrongly_for_mixed_workers_and_rack_cells) {
  Random Dice(8);
  int Fits = 0;
  int Missed = 0;
  for (int Try = 0; Try < 3000; ++Try) {
    Case One(Dice, true);
    bool Naive = One.naive();
    cr_assert(Naive || !One.fast(), "case %d", Try);
    Fits += Naive ? 1 : 0;
    Missed += Naive && !One.fast() ? 1 : 0;
  }
  cr_assert_gt(Fits, 300);
  cr_assert_lt(Missed * 20, Fits, "refusals of what fits must stay rare");
}
