/// \file
/// Implements the choice of workers for tasks that start together.
#include "pool/TaskPlacer.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace banyanworks::pool {

namespace {

using Indexes = std::vector<std::size_t>;

/// Targets in one rack and the number of tasks that fit on them together.
struct RackCapacity {
  Indexes Targets;
  std::uint32_t Fits = 0;
};

/// Assigns tasks to targets in the given order, filling each before the next.
Indexes fill(const Indexes &Order, const std::vector<std::uint32_t> &Fits,
             std::uint32_t Count) {
  Indexes Chosen;
  for (std::size_t Target : Order) {
    for (std::uint32_t Task = 0; Task < Fits[Target]; ++Task) {
      if (Chosen.size() == Count)
        return Chosen;
      Chosen.push_back(Target);
    }
  }
  return Chosen;
}

/// Best-fit order: targets with the least free resources come first.
void sortTightestFirst(Indexes &Order,
                       const std::vector<PlacementTarget> &Targets) {
  std::stable_sort(
      Order.begin(), Order.end(),
      [&Targets](std::size_t Left, std::size_t Right) {
        const PlacementTarget &A = Targets[Left];
        const PlacementTarget &B = Targets[Right];
        return std::tuple(A.Penalty, A.Free.Accelerators, A.Free.MilliCores) <
               std::tuple(B.Penalty, B.Free.Accelerators, B.Free.MilliCores);
      });
}

std::map<std::pair<DomainId, RackId>, RackCapacity>
groupByRack(const Indexes &Order, const std::vector<PlacementTarget> &Targets,
            const std::vector<std::uint32_t> &Fits) {
  std::map<std::pair<DomainId, RackId>, RackCapacity> Racks;
  for (std::size_t Target : Order) {
    if (Fits[Target] == 0)
      continue;
    const PoolWorker &Worker = *Targets[Target].Worker;
    RackCapacity &Rack = Racks[{Worker.Domain, Worker.Rack}];
    Rack.Targets.push_back(Target);
    Rack.Fits += Fits[Target];
  }
  return Racks;
}

/// Fills racks in the order of their capacity, largest first, so that the tasks
/// span few racks.
Indexes
spanFewRacks(const std::map<std::pair<DomainId, RackId>, RackCapacity> &Racks,
             const std::vector<std::uint32_t> &Fits, std::uint32_t Count) {
  std::vector<const RackCapacity *> ByCapacity;
  ByCapacity.reserve(Racks.size());
  for (const auto &Entry : Racks)
    ByCapacity.push_back(&Entry.second);
  std::stable_sort(ByCapacity.begin(), ByCapacity.end(),
                   [](const RackCapacity *Left, const RackCapacity *Right) {
                     return Left->Fits > Right->Fits;
                   });
  Indexes Order;
  for (const RackCapacity *Rack : ByCapacity)
    Order.insert(Order.end(), Rack->Targets.begin(), Rack->Targets.end());
  return fill(Order, Fits, Count);
}

std::array<SpeedClass, SpeedClasses> classOrder(SpeedPreference Preference) {
  using enum SpeedClass;
  switch (Preference) {
  case SpeedPreference::FastThenCommonThenSlow:
    return {Fast, Common, Slow};
  case SpeedPreference::SlowThenCommonThenFast:
    return {Slow, Common, Fast};
  case SpeedPreference::None:
  case SpeedPreference::CommonThenFastThenSlow:
    break;
  }
  return {Common, Fast, Slow};
}

/// Places tasks on the targets in \p Order, which is sorted by preference.
Indexes placeInOrder(const PlacementRequest &Request,
                     const std::vector<PlacementTarget> &Targets,
                     const std::vector<std::uint32_t> &Fits, Indexes Order) {
  if (!Request.DataRack.empty()) {
    std::stable_partition(Order.begin(), Order.end(), [&](std::size_t Target) {
      return Targets[Target].Worker->Rack == Request.DataRack;
    });
  }
  if (!Request.SameRack || Request.Count == 1)
    return fill(Order, Fits, Request.Count);
  auto Racks = groupByRack(Order, Targets, Fits);
  const RackCapacity *Tightest = nullptr;
  for (const auto &[Name, Rack] : Racks) {
    if (Rack.Fits < Request.Count)
      continue;
    bool HoldsData = Name.second == Request.DataRack;
    if (!Tightest || HoldsData || Rack.Fits < Tightest->Fits)
      Tightest = &Rack;
    if (HoldsData)
      break;
  }
  if (Tightest)
    return fill(Tightest->Targets, Fits, Request.Count);
  if (!Request.MaySpanRacks)
    return {};
  return spanFewRacks(Racks, Fits, Request.Count);
}

} // namespace

std::size_t classRank(SpeedPreference Preference, SpeedClass Class) {
  if (Preference == SpeedPreference::None)
    return 0;
  auto Order = classOrder(Preference);
  return static_cast<std::size_t>(std::find(Order.begin(), Order.end(), Class) -
                                  Order.begin());
}

std::uint32_t fittingTasks(const PlacementRequest &Request,
                           const PlacementTarget &Target) {
  auto Fits = static_cast<std::int64_t>(Request.Count);
  auto Limit = [&Fits](std::int64_t Free, std::int64_t PerTask) {
    if (PerTask > 0)
      Fits = std::min(Fits, std::max<std::int64_t>(0, Free / PerTask));
  };
  Limit(Target.Free.MilliCores, Request.PerTask.MilliCores);
  Limit(Target.Free.MemoryMiB, Request.PerTask.MemoryMiB);
  Limit(Target.Free.Accelerators, Request.PerTask.Accelerators);
  if (Request.MaxPerWorker != 0) {
    auto Remaining =
        static_cast<std::int64_t>(Request.MaxPerWorker) - Target.StepTasks;
    Fits = std::min(Fits, std::max<std::int64_t>(0, Remaining));
  }
  return static_cast<std::uint32_t>(Fits);
}

std::vector<std::size_t>
placeTasks(const PlacementRequest &Request,
           const std::vector<PlacementTarget> &Targets) {
  std::vector<std::uint32_t> Fits(Targets.size());
  std::array<std::uint64_t, SpeedClasses> ClassFits{};
  for (std::size_t Target = 0; Target < Targets.size(); ++Target) {
    Fits[Target] = fittingTasks(Request, Targets[Target]);
    ClassFits[static_cast<std::size_t>(Targets[Target].Speed)] += Fits[Target];
  }
  std::uint64_t Total =
      std::accumulate(ClassFits.begin(), ClassFits.end(), std::uint64_t{0});
  if (Total == 0 || (Request.AllOrNothing && Total < Request.Count))
    return {};
  Indexes Order(Targets.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  sortTightestFirst(Order, Targets);
  if (Request.Speed == SpeedPreference::None)
    return placeInOrder(Request, Targets, Fits, std::move(Order));
  Indexes ByClass;
  for (SpeedClass Class : classOrder(Request.Speed)) {
    Indexes OfClass;
    std::copy_if(
        Order.begin(), Order.end(), std::back_inserter(OfClass),
        [&](std::size_t Target) { return Targets[Target].Speed == Class; });
    ByClass.insert(ByClass.end(), OfClass.begin(), OfClass.end());
    if (ClassFits[static_cast<std::size_t>(Class)] < Request.Count)
      continue;
    Indexes Chosen = placeInOrder(Request, Targets, Fits, std::move(OfClass));
    if (!Chosen.empty())
      return Chosen;
  }
  std::stable_sort(ByClass.begin(), ByClass.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     return Targets[Left].Penalty < Targets[Right].Penalty;
                   });
  return placeInOrder(Request, Targets, Fits, std::move(ByClass));
}

} // namespace banyanworks::pool
