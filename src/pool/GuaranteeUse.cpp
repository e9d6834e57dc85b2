/// \file
/// Implements GuaranteeUse.
#include "pool/GuaranteeUse.h"

#include "pool/JobSpec.h"

#include <algorithm>

namespace banyanworks::pool {

std::int32_t GuaranteeUse::guarantee(const WorkspaceId &Workspace) const {
  auto Found = Guarantees.find(Workspace);
  return Found == Guarantees.end() ? 0 : Found->second;
}

void GuaranteeUse::needs(const JobSpec &Spec) {
  std::int64_t First = 0;
  std::int64_t Widest = 0;
  for (const StepSpec &Step : Spec.Steps) {
    std::int64_t Needed =
        static_cast<std::int64_t>(Step.Tasks) * Step.PerTask.Accelerators;
    Widest = std::max(Widest, Needed);
    if (Step.After.empty())
      First += Needed;
  }
  Uses[Spec.Workspace].Needed += std::max(First, Widest);
}

bool GuaranteeUse::within(const WorkspaceId &Workspace) const {
  auto Found = Uses.find(Workspace);
  return Found != Uses.end() && Found->second.Needed <= guarantee(Workspace);
}

bool GuaranteeUse::canReturn(const WorkspaceId &Workspace,
                             std::int32_t Accelerators) const {
  auto Found = Uses.find(Workspace);
  return Found != Uses.end() && Found->second.Needed > guarantee(Workspace) &&
         Found->second.Held - Accelerators >= guarantee(Workspace);
}

} // namespace banyanworks::pool
