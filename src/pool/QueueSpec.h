/// \file
/// Defines QueueSpec, an operator's settings of one queue of jobs.
#ifndef BANYANWORKS_POOL_QUEUESPEC_H
#define BANYANWORKS_POOL_QUEUESPEC_H

#include "pool/JobSpec.h"
#include "pool/QueueTerms.h"

#include <string>

namespace banyanworks::pool {

struct QueueSpec {
  QueueId Id;
  /// Requests for this host, with a path that begins so, belong to the queue.
  std::string Host;
  std::string PathPrefix;
  /// True if callers need no key.
  bool AllowsAnonymous = false;
  QueueTerms Terms;

  bool operator==(const QueueSpec &) const = default;
};

} // namespace banyanworks::pool

#endif
