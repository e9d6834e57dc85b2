/// \file
/// Implements UrgentReserve.
#include "pool/UrgentReserve.h"

#include <algorithm>
#include <map>

namespace banyanworks::pool {

namespace {

using RackMembers = std::vector<const FreeWorker *>;

std::int32_t freeAccelerators(const RackMembers &Members) {
  std::int32_t Free = 0;
  for (const FreeWorker *Member : Members)
    Free += Member->FreeAccelerators;
  return Free;
}

/// Adds workers from the racks with at least \p MinRackFree accelerators free,
/// the racks with the most first, until \p Free reaches \p Needed.
void addByRack(const RackMembers &Candidates, std::int32_t MinRackFree,
               std::int32_t Needed, std::int32_t &Free,
               std::set<WorkerId> &Chosen) {
  std::map<RackId, RackMembers> ByRack;
  for (const FreeWorker *Candidate : Candidates)
    ByRack[Candidate->Worker->Rack].push_back(Candidate);
  std::vector<std::pair<std::int32_t, RackMembers *>> Racks;
  Racks.reserve(ByRack.size());
  for (auto &[Rack, Members] : ByRack)
    Racks.emplace_back(freeAccelerators(Members), &Members);
  std::stable_sort(Racks.begin(), Racks.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  for (auto &[RackFree, Members] : Racks) {
    if (Free >= Needed || RackFree < MinRackFree)
      break;
    std::stable_sort(
        Members->begin(), Members->end(),
        [](const FreeWorker *Left, const FreeWorker *Right) {
          return std::pair(Left->InReserve, Left->FreeAccelerators) >
                 std::pair(Right->InReserve, Right->FreeAccelerators);
        });
    for (const FreeWorker *Member : *Members) {
      if (Free >= Needed)
        break;
      Free += Member->FreeAccelerators;
      Chosen.insert(Member->Worker->Id);
    }
  }
}

} // namespace

void UrgentReserve::recordArrival(std::int32_t Accelerators,
                                  bool PrefersOneRack, TimePoint Now) {
  Arrivals.push_back({Now, Accelerators, PrefersOneRack});
  ArrivedAccelerators += Accelerators;
}

std::int32_t UrgentReserve::targetAccelerators(std::int32_t Total,
                                               TimePoint Now) {
  while (!Arrivals.empty() &&
         Now - Arrivals.front().At > Limits.ArrivalWindow) {
    ArrivedAccelerators -= Arrivals.front().Accelerators;
    Arrivals.pop_front();
  }
  double Expected = static_cast<double>(ArrivedAccelerators) *
                    toSeconds(Limits.Horizon) / toSeconds(Limits.ArrivalWindow);
  return static_cast<std::int32_t>(
      std::clamp(Expected, Limits.MinShare * Total,
                 std::max(Limits.MinShare, Limits.MaxShare) * Total));
}

std::set<WorkerId>
UrgentReserve::chooseWorkers(const std::vector<FreeWorker> &Workers,
                             std::int32_t NeededAccelerators) const {
  RackMembers Fast;
  RackMembers Others;
  for (const FreeWorker &Candidate : Workers) {
    if (Candidate.FreeAccelerators > 0)
      (Candidate.Speed == SpeedClass::Fast ? Fast : Others)
          .push_back(&Candidate);
  }
  std::int32_t LargestOneRack = 0;
  for (const Arrival &Earlier : Arrivals)
    if (Earlier.PrefersOneRack)
      LargestOneRack = std::max(LargestOneRack, Earlier.Accelerators);
  std::set<WorkerId> Chosen;
  std::int32_t Free = 0;
  addByRack(Fast, LargestOneRack, NeededAccelerators, Free, Chosen);
  for (const FreeWorker *Member : Fast)
    if (!Chosen.contains(Member->Worker->Id))
      Others.push_back(Member);
  addByRack(Others, 0, NeededAccelerators, Free, Chosen);
  return Chosen;
}

} // namespace banyanworks::pool
