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

} // namespace banyanworks::pool
