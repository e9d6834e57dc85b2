/// \file
/// Defines PoolConfiguration, one version of the operators' configuration as
/// the pool of workers uses it.
#ifndef BANYANWORKS_POOL_POOLCONFIGURATION_H
#define BANYANWORKS_POOL_POOLCONFIGURATION_H

#include "pool/QueueSpec.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanworks::pool {

struct PoolConfiguration {
  ConfigVersion Version;
  std::vector<QueueSpec> Queues;
  /// Services whose workers themselves refuse what does not fit.
  std::map<ServiceId, bool> EnforcesCapacity;
  /// Accelerators that belong to a workspace for its work of priority 0.
  std::map<WorkspaceId, std::int32_t> Guarantees;
  /// The workspace of each caller's key.
  std::unordered_map<std::string, WorkspaceId> WorkspaceOfKey;
  /// The longest body of a request that is read, in bytes.
  std::uint64_t MaxBodyBytes = 1 << 18;

  /// The queue with the longest matching prefix; null if there is none.
  const QueueSpec *matchQueue(const std::string &Host,
                              const std::string &Path) const;
  /// The queue of that name; null if there is none.
  const QueueSpec *findQueue(const QueueId &Id) const;
};

} // namespace banyanworks::pool

#endif
