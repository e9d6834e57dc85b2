/// \file
/// Defines StoreAdapter, the interface to the platform's key-value store.
/// Adapters are registered plug-ins, selected by a setting.
#ifndef BANYANWORKS_EDGE_STOREADAPTER_H
#define BANYANWORKS_EDGE_STOREADAPTER_H

#include "kernel/Registry.h"
#include "state/Store.h"

#include <string>

namespace banyanworks {

class HttpClient;

/// Sends calls to the store; may be used from several threads.
class StoreAdapter {
public:
  virtual ~StoreAdapter() = default;

  /// Blocks until the store answers; returns UnavailableAnswer if it does not
  /// answer within \p Timeout.
  virtual StoreAnswer call(const StoreRequest &Request, Duration Timeout) = 0;
};

/// Creates an adapter for the address of a store.
using StoreAdapterRegistry =
    Registry<StoreAdapter, HttpClient &, const std::string &>;

} // namespace banyanworks

#endif
