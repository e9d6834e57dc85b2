/// \file
/// Defines Settings, which a daemon reads from flags and environment variables.
#ifndef BANYANWORKS_EDGE_SETTINGS_H
#define BANYANWORKS_EDGE_SETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <string>
#include <vector>

namespace banyanworks {

/// The settings of a daemon. Each flag "--some-name" can be given as the
/// environment variable BANYANWORKS_SOME_NAME instead.
struct Settings {
  /// Address for callers and operators, "host:port".
  std::string Listen;
  /// Address for peers and workers; also the daemon's id.
  std::string InternalListen;
  DomainId Domain;
  /// The address of the platform's store.
  std::string Store;
  /// Internal addresses of some daemons, from which all others are discovered.
  std::vector<std::string> Peers;
  std::string StoreAdapter = "http-json";
  std::string WorkerAdapter = "http-json";
  std::string EndpointAdapter = "http";
  /// Threads for blocking calls to store, workers, endpoints and peers.
  unsigned Threads = 16;
  /// Limit on a request body, in bytes.
  std::uint64_t MaxBody = 4 << 20;
  /// How long the daemon waits for requests in progress after SIGTERM.
  Duration DrainTimeout = std::chrono::seconds(30);
  /// How long the daemon stays reachable after it has left the balancer.
  Duration BalancerDelay = std::chrono::seconds(1);
  /// Lowest severity that is logged: 0 info, 1 warning, 2 error.
  int LogLevel = 0;
};

/// The action that the command line requests.
enum class SettingsAction { Run, Check, Print, Exit };

/// The parsed settings and all errors found in them.
struct ParsedSettings {
  Settings Values;
  SettingsAction Action = SettingsAction::Run;
  /// One message per error, naming the flag and the variable.
  std::vector<std::string> Faults;
};

/// Reads and validates the flags and environment variables.
ParsedSettings parseSettings(int Count, char **Arguments);

/// The settings as lines of the form "flag = value".
std::string formatSettings(const Settings &Values);

} // namespace banyanworks

#endif
