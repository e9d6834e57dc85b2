/// \file
/// Implements the choice of rack ranges for a gang.
#include "jobs/RackRanges.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace banyanworks {

namespace {

/// Returns the number of members that the free accelerators of a rack hold;
/// cores and memory are ignored.
std::int64_t memberCapacityInRack(const CellTree &Cells, RackSlot Rack,
                                  const JobSpec &Spec) {
  std::int32_t Count = Spec.PerMember.Accelerators;
  if (Count == 0)
    return Spec.Members;
  int Level = groupLevel(Count);
  std::int64_t MemberCount =
      Level < GroupLevels ? Cells.freeGroups().groupsInRack(Rack, Level) : 0;
  for (KindSlot Kind = 0; Kind < Cells.kinds().size(); ++Kind) {
    std::int32_t All = Cells.kinds()[Kind].Accelerators;
    if (All >= Count && All >> Level == 0)
      MemberCount += Cells.freeGroups().wholeWorkers(Rack, Kind);
  }
  return MemberCount;
}

} // namespace

bool inConsecutiveRacks(const CellTree &Cells,
                        const std::vector<MemberPlacement> &Members) {
  std::set<std::uint32_t> Numbers;
  for (const MemberPlacement &Member : Members)
    Numbers.insert(Cells.cell(*Cells.slotOf(Member.Worker)).Info.RackNumber);
  return Numbers.empty() ||
         *Numbers.rbegin() - *Numbers.begin() + 1 == Numbers.size();
}

std::vector<RackRange> findRackRanges(const CellTree &Cells,
                                      const JobSpec &Spec,
                                      RackRangeSelection Lengths) {
  std::vector<RackRange> Result;
  const auto &Racks = Cells.rackSlots();
  for (auto First = Racks.begin(); First != Racks.end(); ++First) {
    std::int64_t MemberCount = 0;
    std::uint32_t Length = 0;
    for (auto Next = First;
         Next != Racks.end() && Next->first == First->first + Length; ++Next) {
      MemberCount += memberCapacityInRack(Cells, Next->second, Spec);
      ++Length;
      bool Enough = MemberCount >= Spec.Members;
      if (Enough)
        Result.push_back({First->first, Length, MemberCount - Spec.Members});
      if (Lengths == RackRangeSelection::SingleRack ||
          (Enough && Lengths == RackRangeSelection::Shortest))
        break;
    }
  }
  std::ranges::sort(Result, [](const RackRange &Left, const RackRange &Right) {
    return std::tie(Left.Length, Left.SpareMembers, Left.FirstNumber) <
           std::tie(Right.Length, Right.SpareMembers, Right.FirstNumber);
  });
  return Result;
}

std::vector<WorkerSlot> workersOf(const CellTree &Cells, const RackRange &Run) {
  std::vector<WorkerSlot> Result;
  for (std::uint32_t Offset = 0; Offset < Run.Length; ++Offset) {
    auto Rack = Cells.racks().find(Run.FirstNumber + Offset);
    if (Rack == Cells.racks().end())
      continue;
    Result.insert(Result.end(), Rack->second.begin(), Rack->second.end());
  }
  std::ranges::stable_sort(Result, [&](WorkerSlot Left, WorkerSlot Right) {
    return mergedLevelMask(Cells.cell(Left).FreeMask) <
           mergedLevelMask(Cells.cell(Right).FreeMask);
  });
  return Result;
}

} // namespace banyanworks
