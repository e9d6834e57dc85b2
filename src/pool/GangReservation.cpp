/// \file
/// Implements GangReservation.
#include "pool/GangReservation.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace banyanworks::pool {

namespace {

/// A time from which one more task of the gang fits on a worker.
struct StartSlot {
  Duration AvailableIn;
  /// Rank of the worker's speed class in the preference of the request.
  std::size_t ClassRank;
  std::size_t WorkerIndex;
};

void appendStartSlots(const PlacementRequest &Request, const BusyWorker &Busy,
                      std::size_t WorkerIndex, std::vector<StartSlot> &Slots) {
  PlacementTarget Target = Busy.Target;
  std::size_t Rank = classRank(Request.Speed, Target.Speed);
  std::uint32_t Listed = 0;
  auto Add = [&](Duration AvailableIn) {
    for (std::uint32_t Fitting = fittingTasks(Request, Target);
         Listed < Fitting; ++Listed)
      Slots.push_back({AvailableIn, Rank, WorkerIndex});
  };
  Add(Duration::zero());
  for (const auto &[AvailableIn, Released] : Busy.Releases) {
    Target.Free += Released;
    Add(AvailableIn);
  }
}

Resources elementwiseMin(const Resources &Left, const Resources &Right) {
  return {std::min(Left.MilliCores, Right.MilliCores),
          std::min(Left.MemoryMiB, Right.MemoryMiB),
          std::min(Left.Accelerators, Right.Accelerators)};
}

} // namespace

std::optional<GangReservation>
GangReservation::plan(const PlacementRequest &Request,
                      std::vector<BusyWorker> Workers) {
  std::map<RackId, std::vector<StartSlot>> Racks;
  std::vector<StartSlot> AllSlots;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
    BusyWorker &Busy = Workers[Index];
    std::stable_sort(Busy.Releases.begin(), Busy.Releases.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first < Right.first;
                     });
    std::size_t FirstNewSlot = AllSlots.size();
    appendStartSlots(Request, Busy, Index, AllSlots);
    std::vector<StartSlot> &Rack = Racks[Busy.Target.Worker->Rack];
    Rack.insert(Rack.end(),
                AllSlots.begin() + static_cast<std::ptrdiff_t>(FirstNewSlot),
                AllSlots.end());
  }
  const std::vector<StartSlot> *Best = nullptr;
  auto Consider = [&](std::vector<StartSlot> &Slots) {
    if (Slots.size() < Request.Count)
      return;
    std::stable_sort(Slots.begin(), Slots.end(),
                     [](const StartSlot &Left, const StartSlot &Right) {
                       return std::pair(Left.AvailableIn, Left.ClassRank) <
                              std::pair(Right.AvailableIn, Right.ClassRank);
                     });
    if (!Best || Slots[Request.Count - 1].AvailableIn <
                     (*Best)[Request.Count - 1].AvailableIn)
      Best = &Slots;
  };
  if (Request.SameRack)
    for (auto &Entry : Racks)
      Consider(Entry.second);
  if (!Best)
    Consider(AllSlots);
  if (!Best || Request.Count == 0)
    return std::nullopt;
  GangReservation Reservation;
  Reservation.StartsIn = (*Best)[Request.Count - 1].AvailableIn;
  for (std::uint32_t Task = 0; Task < Request.Count; ++Task) {
    const BusyWorker &Busy = Workers[(*Best)[Task].WorkerIndex];
    const WorkerId &Id = Busy.Target.Worker->Id;
    auto [Spare, Inserted] = Reservation.Spare.emplace(Id, Busy.Target.Free);
    if (Inserted) {
      for (const auto &[AvailableIn, Released] : Busy.Releases)
        if (AvailableIn <= Reservation.StartsIn)
          Spare->second += Released;
    }
    Spare->second -= Request.PerTask;
  }
  return Reservation;
}

Resources GangReservation::usableResources(const WorkerId &Id,
                                           const Resources &Free,
                                           Duration Estimate) const {
  auto Found = Spare.find(Id);
  if (Found == Spare.end() || Estimate <= StartsIn)
    return Free;
  return elementwiseMin(Free, Found->second);
}

void GangReservation::recordPlacement(const WorkerId &Id,
                                      const Resources &Allocated,
                                      Duration Estimate) {
  auto Found = Spare.find(Id);
  if (Found != Spare.end() && Estimate > StartsIn)
    Found->second -= Allocated;
}

} // namespace banyanworks::pool
