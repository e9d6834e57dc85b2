/// \file
/// Defines GuaranteeUse, how much of their guarantees workspaces ask for and
/// hold.
#ifndef BANYANWORKS_POOL_GUARANTEEUSE_H
#define BANYANWORKS_POOL_GUARANTEEUSE_H

#include "base/Ids.h"

#include <cstdint>
#include <map>

namespace banyanworks::pool {

struct JobSpec;

/// Answers a load in which one workspace's urgent work fills a pool beyond its
/// guarantee: others get their guaranteed accelerators back from it, since
/// urgent work as such does not give way.
class GuaranteeUse {
public:
  explicit GuaranteeUse(const std::map<WorkspaceId, std::int32_t> &Guarantees)
      : Guarantees(Guarantees) {}

  /// An urgent job that is not over needs room for its widest stage.
  void addDemand(const JobSpec &Spec);
  void addHeld(const WorkspaceId &Workspace, std::int32_t Accelerators) {
    Usages[Workspace].Held += Accelerators;
  }
  void removeHeld(const WorkspaceId &Workspace, std::int32_t Accelerators) {
    Usages[Workspace].Held -= Accelerators;
  }

  /// Whether all urgent work of the workspace fits into its guarantee.
  bool isWithinGuarantee(const WorkspaceId &Workspace) const;
  /// Whether the workspace asks for more than its guarantee and keeps the
  /// guarantee if it gives so many accelerators back.
  bool canReturn(const WorkspaceId &Workspace, std::int32_t Accelerators) const;

private:
  struct Usage {
    std::int64_t Demand = 0;
    std::int64_t Held = 0;
  };

  std::int32_t guarantee(const WorkspaceId &Workspace) const;

  const std::map<WorkspaceId, std::int32_t> &Guarantees;
  std::map<WorkspaceId, Usage> Usages;
};

} // namespace banyanworks::pool

#endif
