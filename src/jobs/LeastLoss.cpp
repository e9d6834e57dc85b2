/// \file
/// Registers the victim policy "least-loss": the guaranteed cells are bound
/// where the loans on them lose the least work, each gang being hit whole.
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
  GuaranteedPlacement Found =
      placeUnderGuarantee(Cells, Ledger, Request, Costs);
  if (!Found.CostsAfter)
    return {{}, std::move(Found.Result)};
  const auto &After = static_cast<const ReclaimCosts &>(*Found.CostsAfter);
  return {After.victims(), std::move(Found.Result)};
}

const Registry<VictimPolicy>::Registration Registered("least-loss", [] {
  return std::make_unique<VictimPolicy>(leastLoss);
});

} // namespace

} // namespace banyanworks
