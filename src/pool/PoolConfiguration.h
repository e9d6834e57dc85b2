/// \file
/// Defines PoolConfiguration, one version of the operators' configuration as
/// used by the worker pool.
#ifndef BANYANWORKS_POOL_POOLCONFIGURATION_H
#define BANYANWORKS_POOL_POOLCONFIGURATION_H

#include "base/Units.h"
#include "pool/QueueSpec.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanworks::pool {

struct PoolConfiguration {
  ConfigVersion Version;
  std::vector<QueueSpec> Queues;
  /// Services whose workers reject tasks that exceed their capacity.
  std::map<ServiceId, bool> EnforcesCapacity;
  /// Number of accelerators guaranteed to a workspace for its work of priority
  /// 0.
  std::map<WorkspaceId, std::int32_t> Guarantees;
  /// Resources that the runs of a workspace may hold together; a component of 0
  /// is no limit. A workspace without an entry has no cap.
  std::map<WorkspaceId, Resources> Caps;
  /// Share of a workspace relative to the others when all capacity is in use;
  /// 1 for a workspace without an entry.
  std::map<WorkspaceId, double> Weights;
  /// Workspaces whose cap or weight in this version is negative or malformed.
  std::set<WorkspaceId> MalformedCaps;
  std::set<WorkspaceId> MalformedWeights;
  /// The workspace of each caller's API key.
  std::unordered_map<std::string, WorkspaceId> WorkspaceOfKey;
  /// Maximum accepted size of a request body, in bytes.
  std::uint64_t MaxBodyBytes = 1 << 18;

  /// Returns the queue for \p Host with the longest prefix of \p Path; null if
  /// there is none.
  const QueueSpec *matchQueue(const std::string &Host,
                              const std::string &Path) const;
  /// Returns the queue with this id; null if there is none.
  const QueueSpec *findQueue(const QueueId &Id) const;
  /// Takes over malformed caps and weights from \p Previous. One that the
  /// previous version has none for stays without an entry.
  void keepLastValidLimits(const PoolConfiguration &Previous);
};

} // namespace banyanworks::pool

#endif
