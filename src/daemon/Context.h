/// \file
/// Defines Context, what all parts of a daemon share.
#ifndef BANYANWORKS_DAEMON_CONTEXT_H
#define BANYANWORKS_DAEMON_CONTEXT_H

#include "base/Ids.h"
#include "edge/Settings.h"

namespace banyanworks {

class Executor;
class HttpClient;
class Metrics;
class StoreLink;

/// References to what outlives every part of the daemon.
struct Context {
  const Settings &DaemonSettings;
  /// This daemon; its internal address.
  DaemonId Self;
  /// Tells this process from earlier ones at the same address.
  Incarnation SelfIncarnation;
  HttpClient &Client;
  StoreLink &Store;
  Executor &ControlExecutor;
  Metrics &Counters;
};

} // namespace banyanworks

#endif
