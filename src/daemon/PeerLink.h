/// \file
/// Defines PeerLink, the daemon's calls to and from the other daemons.
#ifndef BANYANWORKS_DAEMON_PEERLINK_H
#define BANYANWORKS_DAEMON_PEERLINK_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "edge/JsonRpcServer.h"
#include "state/Ownership.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace banyanworks {

struct Context;

/// What a daemon tells of itself with each heartbeat.
struct PeerState {
  DaemonId Daemon;
  Incarnation DaemonIncarnation;
  DomainId Domain;
  /// Its address for callers.
  std::string Listen;
  ConfigVersion Version;
  /// Who schedules its failure domain, as far as it knows.
  std::optional<OwnerClaim> Owner;
  bool Draining = false;
  /// Its failure domain may start work for this long yet.
  Duration StartPermission{};
};

/// A peer and when it was heard last.
struct PeerEntry {
  PeerState State;
  TimePoint LastSeen;
  bool Alive = false;
};

/// Exchanges heartbeats with every peer and carries JSON-RPC calls.
class PeerLink {
public:
  struct Callbacks {
    /// What this daemon says of itself.
    std::function<PeerState()> LocalState;
    /// Called once in each heartbeat's interval.
    std::function<void()> IntervalElapsed;
    /// A peer said this of itself.
    std::function<void(const PeerState &)> PeerStateReceived;
  };

  PeerLink(Context &Shared, Callbacks Notify);

  /// Methods for peers; all are added before start().
  void serve(const std::string &Method, JsonRpcServer::Method Handler);
  /// Answers the text of a peer's request.
  std::string handle(const std::string &Request) const;

  void start();
  void stop();

  /// Sends a heartbeat to each peer now.
  void announce();

  /// Calls a peer's method with the text of a JSON object; blocks.
  Outcome<std::string> call(const DaemonId &Peer, const std::string &Method,
                            const std::string &Parameters, Duration Timeout);

  std::vector<PeerEntry> peers() const;
  /// The owner of a failure domain: the highest epoch that a living peer of
  /// that domain names.
  std::optional<OwnerClaim> ownerOf(const DomainId &Domain) const;

private:
  void run();
  void sendHeartbeats();
  void sendHeartbeat(const DaemonId &Peer);
  std::string handleHeartbeat(const std::string &Parameters);
  void updatePeer(const PeerState &State);

  Context &Shared;
  Callbacks Notify;
  JsonRpcServer Server;
  mutable std::mutex Lock;
  std::map<DaemonId, PeerEntry> Entries;
  std::uint64_t HeartbeatRounds = 0;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace banyanworks

#endif
