/// \file
/// Defines Settings, what a daemon is told by flags and environment variables.
#ifndef BANYANWORKS_EDGE_SETTINGS_H
#define BANYANWORKS_EDGE_SETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <string>
#include <vector>

namespace banyanworks {

/// Everything that a daemon can be told. Each flag "--some-name" may come from
/// the environment variable BANYANWORKS_SOME_NAME instead.
struct Settings {
  /// Where callers and operators reach the daemon, "host:port".
  std::string Listen;
  /// Where peers and workers reach it; also the daemon's id.
  std::string InternalListen;
  DomainId Domain;
  /// The address of the platform's store.
  std::string Store;
  /// Internal addresses of other daemons, from which all are learnt.
  std::vector<std::string> Peers;
  std::string StoreAdapter = "http-json";
  std::string WorkerAdapter = "http-json";
  std::string EndpointAdapter = "http";
  /// Threads for blocking calls to store, workers, endpoints and peers.
  unsigned Threads = 16;
  /// The longest body of a request that is read, in bytes.
  std::uint64_t MaxBody = 4 << 20;
  /// How long SIGTERM waits for requests in progress.
  Duration DrainTimeout = std::chrono::seconds(30);
  /// How long a daemon stays reachable after it left the balancer.
  Duration BalancerDelay = std::chrono::seconds(1);
  /// The least severity that is logged: 0 info, 1 warning, 2 error.
  int LogLevel = 0;
};

/// What the command line asked for beside running.
enum class SettingsAction { Run, Check, Print, Exit };

/// Settings with every fault that was found in them.
struct ParsedSettings {
  Settings Values;
  SettingsAction Action = SettingsAction::Run;
  /// One sentence each, naming flag and variable.
  std::vector<std::string> Faults;
};

/// Reads flags and environment and checks all of them.
ParsedSettings parseSettings(int Count, char **Arguments);

/// The settings in force, one "flag = value" a line.
std::string formatSettings(const Settings &Values);

} // namespace banyanworks

#endif
