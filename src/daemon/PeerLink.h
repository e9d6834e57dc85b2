/// \file
/// Defines PeerLink, the heartbeats and JSON-RPC calls between this daemon and
/// its peers.
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

/// The state that a daemon sends with each heartbeat.
struct PeerState {
  DaemonId Daemon;
  Incarnation DaemonIncarnation;
  DomainId Domain;
  /// The daemon's public address.
  std::string Listen;
  ConfigVersion Version;
  /// The owner of the daemon's failure domain, as far as the daemon knows.
  std::optional<OwnerClaim> Owner;
  bool Draining = false;
  /// The remaining time in which the daemon's failure domain may start work.
  Duration StartPermission{};
};

/// A peer with the time of its last heartbeat.
struct PeerEntry {
  PeerState State;
  TimePoint LastSeen;
  bool Alive = false;
};

/// Exchanges heartbeats with every peer and sends JSON-RPC calls. May be used
/// from several threads.
class PeerLink {
public:
  struct Callbacks {
    /// Returns the state that this daemon sends to peers.
    std::function<PeerState()> LocalState;
    /// Called once in each heartbeat interval.
    std::function<void()> IntervalElapsed;
    /// Called with the state from each heartbeat of a peer.
    std::function<void(const PeerState &)> PeerStateReceived;
  };

  PeerLink(Context &Shared, Callbacks Notify);

  /// Adds a JSON-RPC method that peers may call; must be called before start().
  void serve(const std::string &Method, JsonRpcServer::Method Handler);
  /// Handles the JSON text of a peer's request and returns the response.
  std::string handle(const std::string &Request) const;

  void start();
  void stop();

  /// Sends a heartbeat to each peer immediately, without blocking.
  void announce();

  /// Calls a peer's method with the text of a JSON object; blocks. Fails with
  /// DomainUnreachable if the request was not sent, and with OutcomeUnknown if
  /// it was sent and no result came back.
  Outcome<std::string> call(const DaemonId &Peer, const std::string &Method,
                            const std::string &Parameters, Duration Timeout);

  std::vector<PeerEntry> peers() const;
  /// The owner of a failure domain: the claim with the highest epoch that an
  /// alive peer of the failure domain reported. Empty if there is none.
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
