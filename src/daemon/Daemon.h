/// \file
/// Defines Daemon, which creates the parts of one banyanworksd process,
/// connects them and stops them in order.
#ifndef BANYANWORKS_DAEMON_DAEMON_H
#define BANYANWORKS_DAEMON_DAEMON_H

#include "base/Error.h"
#include "edge/Settings.h"

#include <memory>

namespace banyanworks {

/// One daemon process; serves the request plane and the job plane.
class Daemon {
public:
  explicit Daemon(Settings Values);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Listens on the public and the internal address and starts all threads.
  /// Fails if an address cannot be opened.
  Outcome<void> start();

  /// Reports not ready to the load balancer, completes the open requests, hands
  /// ownership over and stops. Returns false if requests were aborted at the
  /// drain limit.
  bool drainAndStop();

private:
  struct Impl;
  std::unique_ptr<Impl> Parts;
};

} // namespace banyanworks

#endif
