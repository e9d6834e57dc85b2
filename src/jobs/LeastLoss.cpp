/// \file
/// Registers the victim policy "least-loss": guaranteed cells are bound where
/// reclaiming the borrowing gangs loses the least work. Gangs are always
/// reclaimed as a whole.
#include "jobs/GuaranteeLedger.h"
#include "jobs/GuaranteedPlacement.h"
#include "jobs/Placement.h"
#include "jobs/ReclaimCosts.h"
#include "kernel/Registry.h"

namespace banyanworks {

namespace {

VictimPlan leastLoss(const CellTree &Cells, const GuaranteeLedger &Ledger,
                     const GangRequest &Request,
                     const std::vector<RunningGang> &Running, TimePoint Now) {
  if (!Request.UnderGuarantee)
    return {{}, {{}, Reason::WaitsForCapacity}};
  ReclaimCosts Costs(Cells, Ledger, Request, Running, Now);
  GuaranteedPlacement Placed =
      placeUnderGuarantee(Cells, Ledger, Request, Costs);
  if (!Placed.CostsAfter)
    return {{}, std::move(Placed.Result)};
  const auto &CostsAfter =
      static_cast<const ReclaimCosts &>(*Placed.CostsAfter);
  return {CostsAfter.victims(), std::move(Placed.Result)};
}

const Registry<VictimPolicy>::Registration Registered("least-loss", [] {
  return std::make_unique<VictimPolicy>(leastLoss);
});

} // namespace

} // namespace banyanworks
