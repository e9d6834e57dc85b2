/// \file
/// Defines Daemon, which builds the parts of one banyanworksd process, ties
/// them together and ends them in order.
#ifndef BANYANWORKS_DAEMON_DAEMON_H
#define BANYANWORKS_DAEMON_DAEMON_H

#include "base/Error.h"
#include "edge/Settings.h"

#include <memory>

namespace banyanworks {

/// One process of the system; serves both planes.
class Daemon {
public:
  explicit Daemon(Settings Values);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Opens both addresses and starts all loops.
  Outcome<void> start();

  /// Leaves the balancer, finishes every request, gives ownership back and
  /// stops. Returns false if requests had to be cut at the limit.
  bool drainAndStop();

private:
  struct Impl;
  std::unique_ptr<Impl> Parts;
};

} // namespace banyanworks

#endif
