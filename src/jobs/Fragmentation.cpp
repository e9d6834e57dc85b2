/// \file
/// Implements the measure of fragmentation.
#include "jobs/Fragmentation.h"

#include "jobs/CellTree.h"

#include <algorithm>
#include <bit>

namespace banyanworks {

namespace {

/// Totals over the workers of one kind.
struct KindTotals {
  std::int64_t Free = 0;
  std::int64_t Workers = 0;
  /// Number of completely free workers of each rack.
  std::vector<std::int64_t> FreeWorkersByRack;
  std::int64_t MaxWorkersInRack = 0;
};

KindTotals totalsOf(const CellTree &Cells, KindSlot Kind) {
  KindTotals Result;
  for (const auto &[Number, Workers] : Cells.racks()) {
    std::int64_t FreeWorkers = 0;
    std::int64_t InRack = 0;
    for (WorkerSlot Slot : Workers) {
      const WorkerCell &Cell = Cells.cell(Slot);
      if (Cell.Kind != Kind)
        continue;
      ++InRack;
      Result.Free += std::popcount(Cell.FreeMask);
      FreeWorkers += Cell.FreeMask == Cell.allAccelerators() ? 1 : 0;
    }
    Result.Workers += InRack;
    Result.MaxWorkersInRack = std::max(Result.MaxWorkersInRack, InRack);
    Result.FreeWorkersByRack.push_back(FreeWorkers);
  }
  return Result;
}

KindSlot largestKind(const CellTree &Cells) {
  KindSlot Best = 0;
  std::int64_t MaxAccelerators = -1;
  for (KindSlot Kind = 0; Kind < Cells.kinds().size(); ++Kind) {
    std::int64_t KindAccelerators =
        totalsOf(Cells, Kind).Workers * Cells.kinds()[Kind].Accelerators;
    if (KindAccelerators <= MaxAccelerators)
      continue;
    Best = Kind;
    MaxAccelerators = KindAccelerators;
  }
  return Best;
}

GangSizeFit fitOnWorkers(const CellTree &Cells, KindSlot Kind,
                         const KindTotals &Totals, int Level) {
  std::int64_t AcceleratorsPerWorker = Cells.kinds()[Kind].Accelerators;
  std::int64_t Size = std::int64_t(1) << Level;
  GangSizeFit Result{static_cast<std::int32_t>(Size), 0, 0};
  const auto &Merged = Cells.freeGroups().totals()[Kind].Merged;
  for (int Above = Level; Above < GroupLevels; ++Above)
    Result.FitNow += std::int64_t(Merged[Above]) << (Above - Level);
  Result.FitPacked =
      Totals.Free / AcceleratorsPerWorker * (AcceleratorsPerWorker / Size) +
      Totals.Free % AcceleratorsPerWorker / Size;
  return Result;
}

GangSizeFit fitOnRacks(const CellTree &Cells, KindSlot Kind,
                       const KindTotals &Totals, std::int64_t Workers) {
  std::int64_t AcceleratorsPerWorker = Cells.kinds()[Kind].Accelerators;
  GangSizeFit Result{static_cast<std::int32_t>(Workers * AcceleratorsPerWorker),
                     0, 0};
  for (std::int64_t FreeWorkers : Totals.FreeWorkersByRack)
    Result.FitNow += FreeWorkers / Workers;
  std::int64_t FreeWorkers = Totals.Free / AcceleratorsPerWorker;
  Result.FitPacked = FreeWorkers / Totals.MaxWorkersInRack *
                         (Totals.MaxWorkersInRack / Workers) +
                     FreeWorkers % Totals.MaxWorkersInRack / Workers;
  return Result;
}

} // namespace

double GangSizeFit::share() const {
  return FitPacked == 0 ? 1 : double(FitNow) / double(FitPacked);
}

std::vector<GangSizeFit> measureFragmentation(const CellTree &Cells) {
  std::vector<GangSizeFit> Result;
  if (Cells.capacity().Accelerators == 0)
    return Result;
  KindSlot Kind = largestKind(Cells);
  KindTotals Totals = totalsOf(Cells, Kind);
  std::int32_t AcceleratorsPerWorker = Cells.kinds()[Kind].Accelerators;
  for (int Level = 0; AcceleratorsPerWorker >> Level > 0; ++Level)
    Result.push_back(fitOnWorkers(Cells, Kind, Totals, Level));
  for (std::int64_t Workers = 2; Workers <= Totals.MaxWorkersInRack;
       Workers *= 2)
    Result.push_back(fitOnRacks(Cells, Kind, Totals, Workers));
  return Result;
}

double meanShare(const std::vector<GangSizeFit> &Sizes) {
  double Sum = 0;
  int Counted = 0;
  for (const GangSizeFit &Size : Sizes) {
    if (Size.FitPacked == 0)
      continue;
    Sum += Size.share();
    ++Counted;
  }
  return Counted == 0 ? 1 : Sum / Counted;
}

} // namespace banyanworks
