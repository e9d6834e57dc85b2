/// \file
/// Defines StoreLink, the daemon's access to the platform's store with call
/// metrics.
#ifndef BANYANWORKS_DAEMON_STORELINK_H
#define BANYANWORKS_DAEMON_STORELINK_H

#include "edge/StoreAdapter.h"

#include <atomic>
#include <memory>

namespace banyanworks {

class HttpClient;
class Metrics;

/// Calls the store through the adapter selected in the settings and records the
/// count and latency of the calls. May be used from several threads.
class StoreLink {
public:
  StoreLink(std::unique_ptr<StoreAdapter> Adapter, Metrics &Counters);

  /// Sends a request and blocks for the answer; without \p Timeout a default
  /// applies.
  StoreAnswer call(const StoreRequest &Request, Duration Timeout);
  StoreAnswer call(const StoreRequest &Request);

  /// True if the store answered the latest call.
  bool available() const;

private:
  std::unique_ptr<StoreAdapter> Adapter;
  Metrics &Counters;
  std::atomic<bool> Available = false;
};

} // namespace banyanworks

#endif
