/// \file
/// Implements UrgentReserve.
#include "pool/UrgentReserve.h"

#include <algorithm>
#include <map>

namespace banyanworks::pool {

void UrgentReserve::recordArrival(std::int32_t Accelerators, TimePoint Now) {
  Arrivals.emplace_back(Now, Accelerators);
  ArrivedAccelerators += Accelerators;
}

std::int32_t UrgentReserve::targetAccelerators(std::int32_t Total,
                                               TimePoint Now) {
  while (!Arrivals.empty() &&
         Now - Arrivals.front().first > Limits.ArrivalWindow) {
    ArrivedAccelerators -= Arrivals.front().second;
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
                             std::int32_t NeededAccelerators) {
  std::map<RackId, std::vector<const FreeWorker *>> ByRack;
  for (const FreeWorker &Candidate : Workers)
    if (Candidate.FreeAccelerators > 0)
      ByRack[Candidate.Worker->Rack].push_back(&Candidate);
  std::vector<std::pair<std::int32_t, std::vector<const FreeWorker *> *>> Racks;
  for (auto &[Rack, Members] : ByRack) {
    std::int32_t Free = 0;
    for (const FreeWorker *Member : Members)
      Free += Member->FreeAccelerators;
    Racks.emplace_back(Free, &Members);
  }
  std::stable_sort(Racks.begin(), Racks.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  std::set<WorkerId> Chosen;
  std::int32_t Free = 0;
  for (auto &[RackFree, Members] : Racks) {
    if (Free >= NeededAccelerators)
      break;
    std::stable_sort(
        Members->begin(), Members->end(),
        [](const FreeWorker *Left, const FreeWorker *Right) {
          return std::pair(Left->InReserve, Left->FreeAccelerators) >
                 std::pair(Right->InReserve, Right->FreeAccelerators);
        });
    for (const FreeWorker *Member : *Members) {
      if (Free >= NeededAccelerators)
        break;
      Free += Member->FreeAccelerators;
      Chosen.insert(Member->Worker->Id);
    }
  }
  return Chosen;
}

} // namespace banyanworks::pool
