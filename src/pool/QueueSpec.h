/// \file
/// Defines QueueSpec, the operators' settings of one job queue.
#ifndef BANYANWORKS_POOL_QUEUESPEC_H
#define BANYANWORKS_POOL_QUEUESPEC_H

#include "pool/JobSpec.h"
#include "pool/QueueTerms.h"

#include <string>

namespace banyanworks::pool {

struct QueueSpec {
  QueueId Id;
  /// Requests to this host whose path starts with PathPrefix belong to the
  /// queue.
  std::string Host;
  std::string PathPrefix;
  /// Whether callers may submit jobs without an API key.
  bool AllowsAnonymous = false;
  QueueTerms Terms;

  bool operator==(const QueueSpec &) const = default;
};

} // namespace banyanworks::pool

#endif
