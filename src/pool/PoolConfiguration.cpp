/// \file
/// Implements the lookups in a PoolConfiguration.
#include "pool/PoolConfiguration.h"

namespace banyanworks::pool {

const QueueSpec *PoolConfiguration::matchQueue(const std::string &Host,
                                               const std::string &Path) const {
  const QueueSpec *Best = nullptr;
  for (const QueueSpec &Queue : Queues) {
    if (Queue.Host != Host || !Path.starts_with(Queue.PathPrefix))
      continue;
    if (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Queue;
  }
  return Best;
}

const QueueSpec *PoolConfiguration::findQueue(const QueueId &Id) const {
  for (const QueueSpec &Queue : Queues)
    if (Queue.Id == Id)
      return &Queue;
  return nullptr;
}

void PoolConfiguration::keepLastValidLimits(const PoolConfiguration &Previous) {
  auto Keep = [](const std::set<WorkspaceId> &Malformed, const auto &LastValid,
                 auto &Current) {
    for (const WorkspaceId &Workspace : Malformed)
      if (auto Found = LastValid.find(Workspace); Found != LastValid.end())
        Current[Workspace] = Found->second;
  };
  Keep(MalformedCaps, Previous.Caps, Caps);
  Keep(MalformedWeights, Previous.Weights, Weights);
}

} // namespace banyanworks::pool
