/// \file
/// Defines GuaranteeUse, which counts the accelerators that urgent work of each
/// workspace demands and holds, against the workspace's guarantee.
#ifndef BANYANWORKS_POOL_GUARANTEEUSE_H
#define BANYANWORKS_POOL_GUARANTEEUSE_H

#include "base/Ids.h"

#include <cstdint>
#include <map>

namespace banyanworks::pool {

struct JobSpec;

/// Finds urgent work that may be preempted. When urgent work of one workspace
/// fills a pool beyond its guarantee, other workspaces can reclaim their
/// guaranteed accelerators from that work, although urgent work is not
/// preempted otherwise.
class GuaranteeUse {
public:
  explicit GuaranteeUse(const std::map<WorkspaceId, std::int32_t> &Guarantees)
      : Guarantees(Guarantees) {}

  /// Adds the demand of an unfinished urgent job: the accelerators of its
  /// initial steps together or of its widest step, whichever is more.
  void addDemand(const JobSpec &Spec);
  void addHeld(const WorkspaceId &Workspace, std::int32_t Accelerators) {
    Usages[Workspace].HeldAccelerators += Accelerators;
  }
  void removeHeld(const WorkspaceId &Workspace, std::int32_t Accelerators) {
    Usages[Workspace].HeldAccelerators -= Accelerators;
  }

  /// Whether the demand of all urgent work of the workspace fits into its
  /// guarantee.
  bool isWithinGuarantee(const WorkspaceId &Workspace) const;
  /// Whether the workspace demands more than its guarantee and still holds the
  /// guarantee after giving up \p Accelerators.
  bool canReturn(const WorkspaceId &Workspace, std::int32_t Accelerators) const;

private:
  struct Usage {
    std::int64_t Demand = 0;
    std::int64_t HeldAccelerators = 0;
  };

  std::int32_t guarantee(const WorkspaceId &Workspace) const;

  const std::map<WorkspaceId, std::int32_t> &Guarantees;
  std::map<WorkspaceId, Usage> Usages;
};

} // namespace banyanworks::pool

#endif
