/// \file
/// Implements WorkspaceUsage.
#include "pool/WorkspaceUsage.h"

#include "base/Check.h"
#include "pool/StepSpec.h"
#include "pool/WorkspaceCap.h"

#include <algorithm>

namespace banyanworks::pool {

void WorkspaceUsage::addRun(const WorkspaceId &Workspace,
                            const Resources &Charged) {
  Usage &Changed = Usages[Workspace];
  Changed.Held += Charged;
  ++Changed.Runs;
}

void WorkspaceUsage::removeRun(const WorkspaceId &Workspace,
                               const Resources &Charged) {
  auto Found = Usages.find(Workspace);
  BANYANWORKS_CHECK(Found != Usages.end(), "removed run was never added");
  Found->second.Held -= Charged;
  if (--Found->second.Runs == 0)
    Usages.erase(Found);
}

Resources WorkspaceUsage::held(const WorkspaceId &Workspace) const {
  auto Found = Usages.find(Workspace);
  return Found == Usages.end() ? Resources() : Found->second.Held;
}

std::uint32_t WorkspaceUsage::startableTasks(const WorkspaceId &Workspace,
                                             const StepSpec &Step,
                                             std::uint32_t Count,
                                             const Resources &Pending) const {
  auto Found = Caps.find(Workspace);
  if (Found == Caps.end())
    return Count;
  const Resources &Cap = Found->second;
  std::uint32_t Within =
      tasksWithinCap(held(Workspace) + Pending, Step.PerTask, Cap, Count);
  bool HoldsNothing = !Usages.contains(Workspace) && Pending == Resources();
  if (!startsTogether(Step))
    return Within == 0 && HoldsNothing ? std::min(Count, 1U) : Within;
  if (Within < Count && HoldsNothing)
    Within =
        tasksWithinCap({}, Step.PerTask, capWithOverage(Cap, Overage), Count);
  return Within < Count ? 0 : Count;
}

bool WorkspaceUsage::mayOrder(const WorkspaceId &Workspace,
                              const Resources &PerTask,
                              std::uint32_t Members) const {
  auto Found = Caps.find(Workspace);
  if (Found == Caps.end())
    return true;
  // The planned group is part of what the workspace holds.
  Resources Held = held(Workspace);
  Resources Limit = capWithOverage(Found->second, Overage);
  bool SingleTaskAlone = Members == 1 && Held == PerTask;
  return SingleTaskAlone || tasksWithinCap(Held, {}, Limit, 1) == 1;
}

} // namespace banyanworks::pool
