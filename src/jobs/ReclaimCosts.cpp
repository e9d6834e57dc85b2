/// \file
/// Implements the cost of reclaiming borrowed capacity.
#include "jobs/ReclaimCosts.h"

#include "jobs/GuaranteeLedger.h"

#include <algorithm>
#include <functional>

namespace banyanworks {

namespace {

/// Work that each reclaimed gang loses in addition, for its checkpoint and
/// restart.
constexpr Duration RestartCost = std::chrono::seconds(60);
/// A gang that was moved within this time costs RecentlyMovedFactor times as
/// much, so that it is moved again only if there is no alternative.
constexpr Duration SettlingTime = std::chrono::minutes(10);
constexpr double RecentlyMovedFactor = 100;
/// Millicores with the same weight as one accelerator.
constexpr double MilliCoresPerAccelerator = 16000;

} // namespace

double reclaimCost(const RunningGang &Gang, TimePoint Now) {
  const JobSpec &Spec = *Gang.Spec;
  double Weight = Spec.PerMember.Accelerators +
                  double(Spec.PerMember.MilliCores) / MilliCoresPerAccelerator;
  double Cost = toSeconds(Gang.AtRisk + RestartCost) * Spec.Members * Weight +
                toSeconds(RestartCost);
  bool MovedLately =
      Gang.LastMoved != TimePoint() && Now - Gang.LastMoved < SettlingTime;
  return MovedLately ? Cost * RecentlyMovedFactor : Cost;
}

ReclaimCosts::ReclaimCosts(const CellTree &Cells, const GuaranteeLedger &Ledger,
                           const GangRequest &Request,
                           const std::vector<RunningGang> &Running,
                           TimePoint Now)
    : Cells(Cells),
      Initial(takeSnapshot(Cells, Ledger, Request, Running, Now)) {}

std::shared_ptr<const ReclaimCosts::Snapshot>
ReclaimCosts::takeSnapshot(const CellTree &Cells, const GuaranteeLedger &Ledger,
                           const GangRequest &Request,
                           const std::vector<RunningGang> &Running,
                           TimePoint Now) {
  auto Result = std::make_shared<Snapshot>();
  Result->Holdings.resize(Cells.cells().size());
  for (const WorkerCell &Cell : Cells.cells())
    Result->Available.push_back(Cell.FreeMask);
  for (const RunningGang &Gang : Running) {
    if (Gang.UnderGuarantee || Ledger.isCharged(Gang.Spec->Id))
      continue;
    auto Index = static_cast<GangIndex>(Result->Gangs.size());
    Result->Gangs.push_back({Gang.Spec->Id, reclaimCost(Gang, Now)});
    for (const MemberPlacement &Member : Gang.Members) {
      auto Slot = Cells.slotOf(Member.Worker);
      // CPU-only workers are never used for a guarantee.
      if (!Slot || Cells.cell(*Slot).allAccelerators() == 0)
        continue;
      auto &WorkerHoldings = Result->Holdings[*Slot];
      if (WorkerHoldings.empty() || WorkerHoldings.back().Gang != Index)
        WorkerHoldings.push_back({Index, 0, {}});
      WorkerHoldings.back().Accelerators |= Member.Accelerators;
      WorkerHoldings.back().Amount += Gang.Spec->PerMember;
      Result->Available[*Slot] |= Member.Accelerators;
    }
  }
  for (auto &WorkerHoldings : Result->Holdings) {
    std::ranges::stable_sort(WorkerHoldings, {}, [&](const Holding &Entry) {
      return Result->Gangs[Entry.Gang].Cost;
    });
  }
  for (const WorkerId &Id : Request.Excluded)
    if (auto Slot = Cells.slotOf(Id))
      Result->Available[*Slot] = 0;
  return Result;
}

bool ReclaimCosts::isCandidate(GangIndex Gang) const {
  return std::ranges::find(Candidates, Gang) != Candidates.end();
}

const ReclaimCosts::Allocation &
ReclaimCosts::allocationOn(WorkerSlot Slot) const {
  static const Allocation Nothing;
  auto Found = AllocationBySlot.find(Slot);
  return Found == AllocationBySlot.end() ? Nothing : Found->second;
}

AcceleratorMask ReclaimCosts::availableAccelerators(WorkerSlot Slot) const {
  return Initial->Available[Slot] & ~allocationOn(Slot).Accelerators;
}

template <typename Function>
bool ReclaimCosts::visitRequiredVictims(WorkerSlot Slot,
                                        AcceleratorMask Accelerators,
                                        const Resources &Amount,
                                        const Function &Visit) const {
  const auto &Holdings = Initial->Holdings[Slot];
  Resources Available = Cells.cell(Slot).Free - allocationOn(Slot).Amount;
  for (const Holding &Entry : Holdings) {
    bool Overlaps = (Entry.Accelerators & Accelerators) != 0;
    bool IsCandidate = isCandidate(Entry.Gang);
    if (Overlaps || IsCandidate)
      Available += Entry.Amount;
    if (Overlaps && !IsCandidate)
      Visit(Entry.Gang);
  }
  // Accelerators are checked by mask, so only cores and memory are compared.
  auto Fits = [&] {
    return Amount.MilliCores <= Available.MilliCores &&
           Amount.MemoryMiB <= Available.MemoryMiB;
  };
  for (const Holding &Entry : Holdings) {
    if (Fits())
      return true;
    if ((Entry.Accelerators & Accelerators) != 0 || isCandidate(Entry.Gang))
      continue;
    Visit(Entry.Gang);
    Available += Entry.Amount;
  }
  return Fits();
}

double ReclaimCosts::allocationCost(WorkerSlot Slot,
                                    AcceleratorMask Accelerators,
                                    const Resources &Amount) const {
  if ((Accelerators & ~availableAccelerators(Slot)) != 0)
    return Unavailable;
  double Result = 0;
  bool Fits =
      visitRequiredVictims(Slot, Accelerators, Amount, [&](GangIndex Gang) {
        Result += Initial->Gangs[Gang].Cost;
      });
  if (!Fits)
    return Unavailable;
  return Result;
}

void ReclaimCosts::allocate(WorkerSlot Slot, AcceleratorMask Accelerators,
                            const Resources &Amount) {
  std::vector<GangIndex> Gangs;
  visitRequiredVictims(Slot, Accelerators, Amount,
                       [&](GangIndex Gang) { Gangs.push_back(Gang); });
  Candidates.insert(Candidates.end(), Gangs.begin(), Gangs.end());
  Allocation &SlotAllocation = AllocationBySlot[Slot];
  SlotAllocation.Accelerators |= Accelerators;
  SlotAllocation.Amount += Amount;
}

bool ReclaimCosts::fitsAfterStopping(
    const std::vector<GangIndex> &Stopped) const {
  for (const auto &[Slot, Needed] : AllocationBySlot) {
    Resources Available = Cells.cell(Slot).Free;
    AcceleratorMask Free = Cells.cell(Slot).FreeMask;
    for (const Holding &Entry : Initial->Holdings[Slot]) {
      if (std::ranges::find(Stopped, Entry.Gang) == Stopped.end())
        continue;
      Available += Entry.Amount;
      Free |= Entry.Accelerators;
    }
    if (!Needed.Amount.fitsIn(Available) || (Needed.Accelerators & ~Free) != 0)
      return false;
  }
  return true;
}

std::vector<JobId> ReclaimCosts::victims() const {
  std::vector<GangIndex> Victims = Candidates;
  std::ranges::stable_sort(Victims, std::greater(), [&](GangIndex Gang) {
    return Initial->Gangs[Gang].Cost;
  });
  for (std::size_t Index = 0; Index < Victims.size();) {
    std::vector<GangIndex> Remaining = Victims;
    Remaining.erase(Remaining.begin() + static_cast<std::ptrdiff_t>(Index));
    if (fitsAfterStopping(Remaining))
      Victims = std::move(Remaining);
    else
      ++Index;
  }
  std::vector<JobId> Result;
  Result.reserve(Victims.size());
  for (GangIndex Gang : Victims)
    Result.push_back(Initial->Gangs[Gang].Job);
  return Result;
}

} // namespace banyanworks
