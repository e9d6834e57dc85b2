/// \file
/// Defines Context, the settings and services shared by all parts of a daemon.
#ifndef BANYANWORKS_DAEMON_CONTEXT_H
#define BANYANWORKS_DAEMON_CONTEXT_H

#include "base/Ids.h"
#include "edge/Settings.h"

namespace banyanworks {

class Executor;
class HttpClient;
class Metrics;
class StoreLink;

/// Identity of the process and references to shared objects, which outlive
/// every part of the daemon.
struct Context {
  const Settings &DaemonSettings;
  /// The id of this daemon, which is its internal address.
  DaemonId Self;
  /// Distinguishes this process from earlier ones at the same address.
  Incarnation SelfIncarnation;
  HttpClient &Client;
  StoreLink &Store;
  Executor &ControlExecutor;
  Metrics &Counters;
};

} // namespace banyanworks

#endif
