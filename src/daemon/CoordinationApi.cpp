/// \file
/// Implements CoordinationApi.
#include "daemon/CoordinationApi.h"

#include "daemon/ConfigurationHolder.h"
#include "daemon/ConfigurationSync.h"
#include "daemon/Context.h"
#include "daemon/OwnershipLoop.h"
#include "daemon/PeerLink.h"
#include "edge/Executor.h"
#include "edge/SteadyClock.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr Duration MessageTimeout = std::chrono::milliseconds(500);
constexpr Duration PullTimeout = std::chrono::seconds(2);

json encode(const OwnerClaim &Claim) {
  return {{"daemon", Claim.Daemon}, {"term", Claim.Term}};
}

OwnerClaim decodeClaim(const json &In) {
  return {In.at("daemon"), In.at("term")};
}

ConfigurationSnapshotPtr decodeSnapshot(const json &In) {
  auto Manifest = decodeManifest(In.at("manifest").get<std::string>());
  if (!Manifest)
    throw std::invalid_argument("the manifest is damaged");
  return std::make_shared<const ConfigurationSnapshot>(
      ConfigurationSnapshot{*Manifest, In.at("payload")});
}

} // namespace

CoordinationApi::CoordinationApi(Context &Shared, PeerLink &Peers,
                                 OwnershipLoop &Ownership,
                                 ConfigurationSync &Sync,
                                 ConfigurationHolder &Holder)
    : Shared(Shared), Peers(Peers), Ownership(Ownership), Sync(Sync),
      Holder(Holder) {
  Peers.serve("configuration",
              [this](const std::string &) { return configuration(); });
  Peers.serve("owner_version",
              [this](const std::string &) { return ownerVersion(); });
  Peers.serve("owner_claim",
              [this](const std::string &P) { return claimed(P); });
  Peers.serve("hand_over", [this](const std::string &P) { return offered(P); });
}

void CoordinationApi::announce(const OwnerClaim &Claim) {
  std::string Text = encode(Claim).dump();
  for (const PeerEntry &Peer : Peers.peers()) {
    if (Peer.State.Domain != Shared.Config.Domain)
      continue;
    DaemonId To = Peer.State.Daemon;
    Shared.Pool.run("claim/" + To.str(), [this, To, Text] {
      Peers.call(To, "owner_claim", Text, MessageTimeout);
    });
  }
}

void CoordinationApi::offer(const DaemonId &Successor, const OwnerClaim &From) {
  Shared.Pool.run("offer", [this, Successor, Text = encode(From).dump()] {
    Peers.call(Successor, "hand_over", Text, MessageTimeout);
  });
}

void CoordinationApi::askOwners() {
  ConfigurationHolder::Pointer Config = Holder.current();
  for (const auto &[Domain, Declared] : Config->Domains) {
    if (Domain == Shared.Config.Domain) {
      DomainId Own = Domain;
      Shared.Pool.run("statement", [this, Own] {
        if (Ownership.owns())
          Sync.handle(OwnerVersionReported{Own, Holder.current()->Version,
                                           steadyNow()});
      });
      continue;
    }
    if (std::optional<OwnerClaim> Owner = Peers.ownerOf(Domain))
      askOwner(Domain, Owner->Daemon);
  }
}

void CoordinationApi::askOwner(const DomainId &Domain, const DaemonId &Owner) {
  Shared.Pool.run("statement/" + Domain.str(), [this, Domain, Owner] {
    TimePoint Asked = steadyNow();
    Outcome<std::string> Answer =
        Peers.call(Owner, "owner_version", "{}", MessageTimeout);
    if (!Answer)
      return;
    Outcome<ConfigVersion> Version = decodeJson(*Answer, [](const json &In) {
      if (!In.at("owns").get<bool>())
        throw std::invalid_argument("it is not the owner");
      return In.at("version").get<ConfigVersion>();
    });
    if (Version)
      Sync.handle(OwnerVersionReported{Domain, *Version, Asked});
  });
}

void CoordinationApi::pull(const DaemonId &Peer) {
  Shared.Pool.run("pull", [this, Peer] {
    Outcome<std::string> Answer =
        Peers.call(Peer, "configuration", "{}", PullTimeout);
    if (!Answer)
      return;
    Outcome<ConfigurationSnapshotPtr> Snapshot =
        decodeJson(*Answer, decodeSnapshot);
    if (Snapshot)
      Sync.handle(PeerSnapshotReceived{Peer, *Snapshot});
  });
}

void CoordinationApi::heard(const PeerState &State) {
  if (State.Version.value() > 0)
    Sync.handle(PeerVersionReported{State.Daemon, State.Version});
  bool SpeaksForItself = State.Owner && State.Owner->Daemon == State.Daemon;
  if (SpeaksForItself && State.Domain == Shared.Config.Domain)
    Ownership.handle(ClaimReceived{*State.Owner, {}});
}

void CoordinationApi::tellMembers() {
  DomainMembersChanged Event;
  Event.Members.push_back(Shared.Self);
  for (const PeerEntry &Peer : Peers.peers()) {
    if (Peer.Alive && !Peer.State.Draining &&
        Peer.State.Domain == Shared.Config.Domain)
      Event.Members.push_back(Peer.State.Daemon);
  }
  Ownership.handle(Event);
}

std::string CoordinationApi::configuration() const {
  ConfigurationSnapshotPtr Snapshot = Sync.snapshot();
  if (!Snapshot)
    return "{}";
  json Out = {{"manifest", encodeManifest(Snapshot->Manifest,
                                          WriteIdentity{Shared.Life, 0})},
              {"payload", Snapshot->Payload}};
  return Out.dump();
}

std::string CoordinationApi::ownerVersion() const {
  json Out = {{"owns", Ownership.owns()},
              {"version", Holder.current()->Version}};
  return Out.dump();
}

std::string CoordinationApi::claimed(const std::string &Parameters) {
  if (Outcome<OwnerClaim> Claim = decodeJson(Parameters, decodeClaim))
    Ownership.handle(ClaimReceived{*Claim, {}});
  return "{}";
}

std::string CoordinationApi::offered(const std::string &Parameters) {
  if (Outcome<OwnerClaim> Claim = decodeJson(Parameters, decodeClaim))
    Ownership.handle(HandOverOfferReceived{*Claim});
  return "{}";
}

} // namespace banyanworks
