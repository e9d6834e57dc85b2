/// \file
/// Implements the cost of reclaiming lent capacity.
#include "jobs/ReclaimCosts.h"

#include "jobs/GuaranteeLedger.h"

#include <algorithm>
#include <functional>

namespace banyanworks {

namespace {

/// Each gang hit costs as if it lost this much work in addition, for its
/// checkpoint and its start elsewhere.
constexpr Duration RestartCost = std::chrono::seconds(60);
/// A gang that was moved within this time is moved again only if nothing else
/// helps.
constexpr Duration SettlingTime = std::chrono::minutes(10);
constexpr double RecentlyMovedFactor = 100;
/// Cores that weigh as much as one accelerator.
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
      // Room on workers without accelerators is never asked for.
      if (!Slot || Cells.cell(*Slot).allAccelerators() == 0)
        continue;
      auto &Here = Result->Holdings[*Slot];
      if (Here.empty() || Here.back().Gang != Index)
        Here.push_back({Index, 0, {}});
      Here.back().Accelerators |= Member.Accelerators;
      Here.back().Amount += Gang.Spec->PerMember;
      Result->Available[*Slot] |= Member.Accelerators;
    }
  }
  for (auto &Here : Result->Holdings) {
    std::ranges::stable_sort(Here, {}, [&](const Holding &Held) {
      return Result->Gangs[Held.Gang].Cost;
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
  auto Here = AllocationBySlot.find(Slot);
  return Here == AllocationBySlot.end() ? Nothing : Here->second;
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
  Resources Room = Cells.cell(Slot).Free - allocationOn(Slot).Amount;
  for (const Holding &Held : Holdings) {
    bool Hit = (Held.Accelerators & Accelerators) != 0;
    bool Gone = isCandidate(Held.Gang);
    if (Hit || Gone)
      Room += Held.Amount;
    if (Hit && !Gone)
      Visit(Held.Gang);
  }
  // Accelerators are counted by their bits; here only room is looked at.
  auto Fits = [&] {
    return Amount.MilliCores <= Room.MilliCores &&
           Amount.MemoryMiB <= Room.MemoryMiB;
  };
  for (const Holding &Held : Holdings) {
    if (Fits())
      return true;
    if ((Held.Accelerators & Accelerators) != 0 || isCandidate(Held.Gang))
      continue;
    Visit(Held.Gang);
    Room += Held.Amount;
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
  Allocation &Here = AllocationBySlot[Slot];
  Here.Accelerators |= Accelerators;
  Here.Amount += Amount;
}

bool ReclaimCosts::fitsAfterStopping(const std::vector<GangIndex> &Gone) const {
  for (const auto &[Slot, Wanted] : AllocationBySlot) {
    Resources Room = Cells.cell(Slot).Free;
    AcceleratorMask Free = Cells.cell(Slot).FreeMask;
    for (const Holding &Held : Initial->Holdings[Slot]) {
      if (std::ranges::find(Gone, Held.Gang) == Gone.end())
        continue;
      Room += Held.Amount;
      Free |= Held.Accelerators;
    }
    if (!Wanted.Amount.fitsIn(Room) || (Wanted.Accelerators & ~Free) != 0)
      return false;
  }
  return true;
}

std::vector<JobId> ReclaimCosts::victims() const {
  std::vector<GangIndex> Gone = Candidates;
  std::ranges::stable_sort(Gone, std::greater(), [&](GangIndex Gang) {
    return Initial->Gangs[Gang].Cost;
  });
  for (std::size_t Index = 0; Index < Gone.size();) {
    std::vector<GangIndex> Fewer = Gone;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(Index));
    if (fitsAfterStopping(Fewer))
      Gone = std::move(Fewer);
    else
      ++Index;
  }
  std::vector<JobId> Result;
  Result.reserve(Gone.size());
  for (GangIndex Gang : Gone)
    Result.push_back(Initial->Gangs[Gang].Job);
  return Result;
}

} // namespace banyanworks
