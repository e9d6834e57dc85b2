/// \file
/// Defines WorkspaceUsage, which counts the resources that the runs of each
/// workspace hold and limits starts to the workspace's cap.
#ifndef BANYANWORKS_POOL_WORKSPACEUSAGE_H
#define BANYANWORKS_POOL_WORKSPACEUSAGE_H

#include "base/Ids.h"
#include "base/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace banyanworks::pool {

struct StepSpec;

/// Addresses workspaces that submit more than their cap while other workspaces
/// wait. Workers start whatever they are told to start, so the scheduler alone
/// keeps the rule: no start brings a workspace above its cap x (1 + overage)
/// plus one task, in any of cores, memory and accelerators.
///
/// All runs that may be on a worker count, from their planning until they are
/// known to have ended, each with what its task may use. A best-effort task
/// counts with its full cores, although none are allocated to it.
class WorkspaceUsage {
public:
  /// \p Overage is the fraction of the cap by which a start may exceed it.
  explicit WorkspaceUsage(double Overage) : Overage(Overage) {}

  /// Replaces the caps; a component of 0 is no limit. Held resources may exceed
  /// a new cap; the workspace then starts nothing until enough runs have ended.
  void setCaps(std::map<WorkspaceId, Resources> NewCaps) {
    Caps = std::move(NewCaps);
  }
  bool hasCaps() const { return !Caps.empty(); }

  void addRun(const WorkspaceId &Workspace, const Resources &Charged);
  void removeRun(const WorkspaceId &Workspace, const Resources &Charged);
  /// Returns what the runs of the workspace hold.
  Resources held(const WorkspaceId &Workspace) const;

  /// Returns how many of \p Count waiting tasks of a step may start within the
  /// cap: all or none of a gang. \p Pending is what the workspace will hold
  /// soon, in addition to its runs.
  ///
  /// A workspace that holds nothing may start a gang that fits only into
  /// cap x (1 + overage), and one task that is larger than the cap, since they
  /// could never run otherwise.
  std::uint32_t startableTasks(const WorkspaceId &Workspace,
                               const StepSpec &Step, std::uint32_t Count,
                               const Resources &Pending = {}) const;
  /// Whether a planned group of \p Members tasks may still be started. The cap
  /// may have been lowered since it was planned.
  bool mayOrder(const WorkspaceId &Workspace, const Resources &PerTask,
                std::uint32_t Members) const;

private:
  struct Usage {
    Resources Held;
    std::size_t Runs = 0;
  };

  double Overage;
  std::map<WorkspaceId, Resources> Caps;
  /// Only workspaces that have runs.
  std::map<WorkspaceId, Usage> Usages;
};

} // namespace banyanworks::pool

#endif
