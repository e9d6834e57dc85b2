/// \file
/// Defines WorkerAdapter, the interface to the workers. Adapters are registered
/// plug-ins, selected by a setting.
#ifndef BANYANWORKS_EDGE_WORKERADAPTER_H
#define BANYANWORKS_EDGE_WORKERADAPTER_H

#include "base/Error.h"
#include "edge/WorkerMessages.h"
#include "kernel/Registry.h"

#include <string>

namespace banyanworks {

class HttpClient;

/// Sends orders to workers; may be used from several threads.
class WorkerAdapter {
public:
  virtual ~WorkerAdapter() = default;

  /// Blocks until the worker answers; returns OrderResult::Unknown if it does
  /// not.
  virtual OrderResult order(const std::string &Address,
                            const WorkerOrder &Order) = 0;

  /// Requests the complete inventory of a worker.
  virtual Outcome<WorkerInventory> inventory(const std::string &Address,
                                             const WorkerId &Worker) = 0;
};

using WorkerAdapterRegistry = Registry<WorkerAdapter, HttpClient &>;

} // namespace banyanworks

#endif
