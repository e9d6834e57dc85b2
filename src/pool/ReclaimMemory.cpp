/// \file
/// Implements ReclaimMemory.
#include "pool/ReclaimMemory.h"

#include <algorithm>

namespace banyanworks::pool {

void ReclaimMemory::startPass(TimePoint Now) {
  PlansInPass = 0;
  std::erase_if(Failures, [&](const Failure &Earlier) {
    bool Changed = changes(Earlier.Request) != Earlier.Changes;
    return Now - Earlier.FailedAt >= (Changed ? Limits.Retry : Limits.Recheck);
  });
}

bool ReclaimMemory::isKnownToFail(const FailedRequest &Asked) const {
  return std::any_of(
      Failures.begin(), Failures.end(),
      [&](const Failure &Earlier) { return Earlier.Request.covers(Asked); });
}

bool ReclaimMemory::beginPlan() {
  if (PlansInPass >= Limits.MaxPlans)
    return false;
  ++PlansInPass;
  ++Plans;
  return true;
}

void ReclaimMemory::add(const FailedRequest &Failed, TimePoint Now) {
  Failures.push_back({Failed, Now, changes(Failed)});
}

} // namespace banyanworks::pool
