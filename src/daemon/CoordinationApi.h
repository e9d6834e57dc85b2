/// \file
/// Defines CoordinationApi, what the daemons tell each other about ownership
/// and the configuration.
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

/// Carries the messages of the state machines between daemons. Nothing here
/// blocks its caller, but for the methods that peers call.
class CoordinationApi {
public:
  CoordinationApi(Context &Shared, PeerLink &Peers, OwnershipLoop &Ownership,
                  ConfigurationSync &Sync, ConfigurationHolder &Holder);

  /// Tells the daemons of this failure domain of a claim.
  void announceClaim(const OwnerClaim &Claim);
  /// Asks a daemon to take this failure domain over.
  void offerHandOver(const DaemonId &Successor, const OwnerClaim &From);
  /// Asks the owner of each failure domain for its version.
  void requestOwnerVersions();
  /// Fetches a peer's configuration.
  void pullSnapshot(const DaemonId &Peer);
  /// Takes what a peer said of itself.
  void handlePeerState(const PeerState &State);
  /// Tells the ownership which daemons of the domain live.
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
