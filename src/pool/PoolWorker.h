/// \file
/// Defines PoolWorker, a worker as the platform's directory describes it.
#ifndef BANYANWORKS_POOL_POOLWORKER_H
#define BANYANWORKS_POOL_POOLWORKER_H

#include "base/Ids.h"
#include "base/Units.h"
#include "base/WallTime.h"

#include <string>
#include <vector>

namespace banyanworks::pool {

struct PoolWorker {
  WorkerId Id;
  /// "host:port".
  std::string Address;
  DomainId Domain;
  ServiceId Service;
  RackId Rack;
  Resources Capacity;
  std::vector<std::string> Labels;
  /// A draining worker accepts no new tasks and leaves soon.
  bool Draining = false;
  /// Minimum time until the worker leaves, as of its notice to drain.
  Duration LeavesIn{};
  /// Identifies this incarnation of the worker among those that used the same
  /// id.
  Incarnation WorkerIncarnation;

  bool operator==(const PoolWorker &) const = default;
};

} // namespace banyanworks::pool

#endif
