/// \file
/// Defines CoordinationApi, the calls between daemons about ownership and the
/// configuration.
#ifndef BANYANWORKS_DAEMON_COORDINATIONAPI_H
#define BANYANWORKS_DAEMON_COORDINATIONAPI_H

#include "state/Ownership.h"

#include <string>

namespace banyanworks {

class ConfigurationHolder;
class ConfigurationSync;
class OwnershipLoop;
class PeerLink;
struct Context;
struct PeerState;

/// Exchanges messages between the state machines of the daemons. Calls to peers
/// run on the executor, so that no public function blocks its caller.
class CoordinationApi {
public:
  CoordinationApi(Context &Shared, PeerLink &Peers, OwnershipLoop &Ownership,
                  ConfigurationSync &Sync, ConfigurationHolder &Holder);

  /// Sends an ownership claim to the daemons of this failure domain.
  void announceClaim(const OwnerClaim &Claim);
  /// Asks \p Successor to take over this failure domain.
  void offerHandOver(const DaemonId &Successor, const OwnerClaim &CurrentClaim);
  /// Asks the owner of each failure domain for its configuration version.
  void requestOwnerVersions();
  /// Fetches a peer's configuration.
  void pullSnapshot(const DaemonId &Peer);
  /// Passes the state from a peer's heartbeat to the configuration replica and
  /// the ownership state machine.
  void handlePeerState(const PeerState &State);
  /// Notifies the ownership state machine of the alive, non-draining daemons of
  /// this failure domain.
  void updateMembers();

private:
  std::string serveConfiguration() const;
  std::string serveOwnerVersion() const;
  std::string handleClaim(const std::string &Parameters);
  std::string handleHandOverOffer(const std::string &Parameters);
  void requestOwnerVersion(const DomainId &Domain, const DaemonId &Owner);

  Context &Shared;
  PeerLink &Peers;
  OwnershipLoop &Ownership;
  ConfigurationSync &Sync;
  ConfigurationHolder &Holder;
};

} // namespace banyanworks

#endif
