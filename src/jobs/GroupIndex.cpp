/// \file
/// Implements the index of workers by groups of accelerators.
#include "jobs/GroupIndex.h"

#include <algorithm>
#include <tuple>

namespace banyanworks {

namespace {

template <typename Vector> auto &growAndGet(Vector &Values, std::size_t Index) {
  if (Values.size() <= Index)
    Values.resize(Index + 1);
  return Values[Index];
}

} // namespace

std::int32_t GroupTotals::wholeWorkers() const {
  std::int32_t Result = 0;
  for (std::size_t Count = 1; Count < RacksByWholeWorkers.size(); ++Count)
    Result += static_cast<std::int32_t>(Count) * RacksByWholeWorkers[Count];
  return Result;
}

void GroupIndex::add(WorkerSlot Slot, KindSlot Kind, RackSlot Rack,
                     AcceleratorMask All) {
  growAndGet(Entries, Slot) = {Kind, Rack, All, All, 0};
  growAndGet(Kinds, Kind);
  growAndGet(BucketsByKind, Kind);
  growAndGet(growAndGet(Racks, Rack).WholeWorkers, Kind);
  addToBucket(Slot);
}

void GroupIndex::update(WorkerSlot Slot, AcceleratorMask Remaining) {
  if (Entries[Slot].Remaining == Remaining)
    return;
  removeFromBucket(Slot);
  Entries[Slot].Remaining = Remaining;
  addToBucket(Slot);
}

void GroupIndex::remove(WorkerSlot Slot) {
  removeFromBucket(Slot);
  Entries[Slot] = Entry();
}

std::int32_t GroupIndex::wholeWorkers(RackSlot Rack, KindSlot Kind) const {
  if (Rack >= Racks.size() || Kind >= Racks[Rack].WholeWorkers.size())
    return 0;
  return Racks[Rack].WholeWorkers[Kind];
}

std::int32_t GroupIndex::groupsInRack(RackSlot Rack, int Level) const {
  if (Rack >= Racks.size())
    return 0;
  std::int32_t Result = 0;
  for (int Above = Level; Above < GroupLevels; ++Above)
    Result += Racks[Rack].Merged[Above] << (Above - Level);
  return Result;
}

std::vector<WorkerSlot>
GroupIndex::scarceRacksFirst(const std::vector<WorkerSlot> &Bucket) const {
  constexpr std::size_t SortedWorkers = 64;
  const Entry &Any = Entries[Bucket.front()];
  if (Any.Remaining != Any.All)
    return {};
  auto Count =
      static_cast<std::ptrdiff_t>(std::min(Bucket.size(), SortedWorkers));
  std::vector<WorkerSlot> Result(Bucket.begin(), Bucket.begin() + Count);
  std::ranges::sort(Result, {}, [&](WorkerSlot Slot) {
    const Entry &Worker = Entries[Slot];
    return std::make_tuple(Racks[Worker.Rack].WholeWorkers[Worker.Kind],
                           Worker.Rack, Slot);
  });
  return Result;
}

void GroupIndex::updateTotals(const Entry &Worker, std::int32_t Sign) {
  auto Groups = countMergedGroups(Worker.Remaining);
  for (int Level = 0; Level < GroupLevels; ++Level) {
    Kinds[Worker.Kind].Merged[Level] += Sign * Groups[Level];
    Racks[Worker.Rack].Merged[Level] += Sign * Groups[Level];
  }
  if (Worker.Remaining == Worker.All)
    updateWholeWorkers(Worker, Sign);
}

void GroupIndex::updateWholeWorkers(const Entry &Worker, std::int32_t Sign) {
  std::int32_t &InRack = Racks[Worker.Rack].WholeWorkers[Worker.Kind];
  auto &Histogram = Kinds[Worker.Kind].RacksByWholeWorkers;
  if (InRack > 0)
    --Histogram[InRack];
  InRack += Sign;
  if (InRack > 0)
    ++growAndGet(Histogram, InRack);
}

void GroupIndex::addToBucket(WorkerSlot Slot) {
  Entry &Worker = Entries[Slot];
  updateTotals(Worker, 1);
  auto &Bucket = BucketsByKind[Worker.Kind][mergedLevelMask(Worker.Remaining)];
  Worker.Position = static_cast<std::uint32_t>(Bucket.size());
  Bucket.push_back(Slot);
}

void GroupIndex::removeFromBucket(WorkerSlot Slot) {
  const Entry &Worker = Entries[Slot];
  updateTotals(Worker, -1);
  auto &Bucket = BucketsByKind[Worker.Kind][mergedLevelMask(Worker.Remaining)];
  WorkerSlot Last = Bucket.back();
  Bucket[Worker.Position] = Last;
  Entries[Last].Position = Worker.Position;
  Bucket.pop_back();
}

} // namespace banyanworks
