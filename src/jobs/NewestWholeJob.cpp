/// \file
/// Registers the baseline victim policy "newest-whole-job": stops borrowing
/// gangs, newest first, until the request fits.
#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/Placement.h"
#include "kernel/Registry.h"

#include <algorithm>

namespace banyanworks {

namespace {

VictimPlan newestWholeJob(const CellTree &Cells, const GuaranteeLedger &Ledger,
                          const GangRequest &Request,
                          const std::vector<RunningGang> &Running,
                          TimePoint /*Now*/) {
  std::vector<const RunningGang *> Borrowing;
  for (const RunningGang &Gang : Running)
    if (!Gang.UnderGuarantee && !Ledger.isCharged(Gang.Spec->Id))
      Borrowing.push_back(&Gang);
  std::ranges::stable_sort(Borrowing, [](const auto *Left, const auto *Right) {
    return Left->StartedAt > Right->StartedAt;
  });
  auto PlaceGang = Registry<PlacementPolicy>::instance().make("first-fit");
  CellTree Trial = Cells;
  VictimPlan Plan;
  for (const RunningGang *Gang : Borrowing) {
    Plan.Placement = (*PlaceGang)(Trial, Ledger, Request);
    if (Plan.Placement.placed())
      return Plan;
    Plan.Victims.push_back(Gang->Spec->Id);
    for (std::uint32_t Member = 0; Member < Gang->Spec->Members; ++Member)
      Trial.release({Gang->Spec->Id, Gang->Run, Member});
  }
  Plan.Placement = (*PlaceGang)(Trial, Ledger, Request);
  if (!Plan.Placement.placed())
    Plan.Victims.clear();
  return Plan;
}

const Registry<VictimPolicy>::Registration Registered("newest-whole-job", [] {
  return std::make_unique<VictimPolicy>(newestWholeJob);
});

} // namespace

} // namespace banyanworks
