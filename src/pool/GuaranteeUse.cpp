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

void GuaranteeUse::addDemand(const JobSpec &Spec) {
  std::int64_t InitialAccelerators = 0;
  std::int64_t Widest = 0;
  for (const StepSpec &Step : Spec.Steps) {
    std::int64_t Needed =
        static_cast<std::int64_t>(Step.Tasks) * Step.PerTask.Accelerators;
    Widest = std::max(Widest, Needed);
    if (Step.After.empty())
      InitialAccelerators += Needed;
  }
  Usages[Spec.Workspace].Demand += std::max(InitialAccelerators, Widest);
}

bool GuaranteeUse::isWithinGuarantee(const WorkspaceId &Workspace) const {
  auto Found = Usages.find(Workspace);
  return Found != Usages.end() && Found->second.Demand <= guarantee(Workspace);
}

bool GuaranteeUse::canReturn(const WorkspaceId &Workspace,
                             std::int32_t Accelerators) const {
  auto Found = Usages.find(Workspace);
  return Found != Usages.end() && Found->second.Demand > guarantee(Workspace) &&
         Found->second.HeldAccelerators - Accelerators >= guarantee(Workspace);
}

} // namespace banyanworks::pool
