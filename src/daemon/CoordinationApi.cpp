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
              [this](const std::string &) { return serveConfiguration(); });
  Peers.serve("owner_version",
              [this](const std::string &) { return serveOwnerVersion(); });
  Peers.serve("owner_claim",
              [this](const std::string &P) { return handleClaim(P); });
  Peers.serve("hand_over",
              [this](const std::string &P) { return handleHandOverOffer(P); });
}

void CoordinationApi::announceClaim(const OwnerClaim &Claim) {
  std::string Text = encode(Claim).dump();
  for (const PeerEntry &Peer : Peers.peers()) {
    if (Peer.State.Domain != Shared.DaemonSettings.Domain)
      continue;
    DaemonId Recipient = Peer.State.Daemon;
    Shared.ControlExecutor.run(
        "claim/" + Recipient.str(), [this, Recipient, Text] {
          Peers.call(Recipient, "owner_claim", Text, MessageTimeout);
        });
  }
}

void CoordinationApi::offerHandOver(const DaemonId &Successor,
                                    const OwnerClaim &CurrentClaim) {
  Shared.ControlExecutor.run(
      "offer", [this, Successor, Text = encode(CurrentClaim).dump()] {
        Peers.call(Successor, "hand_over", Text, MessageTimeout);
      });
}

void CoordinationApi::requestOwnerVersions() {
  ConfigurationHolder::Pointer Config = Holder.current();
  for (const auto &[Domain, Declared] : Config->Domains) {
    if (Domain == Shared.DaemonSettings.Domain) {
      DomainId OwnDomain = Domain;
      Shared.ControlExecutor.run("statement", [this, OwnDomain] {
        if (Ownership.owns())
          Sync.handle(OwnerVersionReported{OwnDomain, Holder.current()->Version,
                                           steadyNow()});
      });
      continue;
    }
    if (std::optional<OwnerClaim> Owner = Peers.ownerOf(Domain))
      requestOwnerVersion(Domain, Owner->Daemon);
  }
}

void CoordinationApi::requestOwnerVersion(const DomainId &Domain,
                                          const DaemonId &Owner) {
  Shared.ControlExecutor.run("statement/" + Domain.str(), [this, Domain,
                                                           Owner] {
    TimePoint SentAt = steadyNow();
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
      Sync.handle(OwnerVersionReported{Domain, *Version, SentAt});
  });
}

void CoordinationApi::pullSnapshot(const DaemonId &Peer) {
  Shared.ControlExecutor.run("pull", [this, Peer] {
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

void CoordinationApi::handlePeerState(const PeerState &State) {
  if (State.Version.value() > 0)
    Sync.handle(PeerVersionReported{State.Daemon, State.Version});
  bool ClaimsOwnership = State.Owner && State.Owner->Daemon == State.Daemon;
  if (ClaimsOwnership && State.Domain == Shared.DaemonSettings.Domain)
    Ownership.handle(ClaimReceived{*State.Owner, {}});
}

void CoordinationApi::updateMembers() {
  DomainMembersChanged Event;
  Event.Members.push_back(Shared.Self);
  for (const PeerEntry &Peer : Peers.peers()) {
    if (Peer.Alive && !Peer.State.Draining &&
        Peer.State.Domain == Shared.DaemonSettings.Domain)
      Event.Members.push_back(Peer.State.Daemon);
  }
  Ownership.handle(Event);
}

std::string CoordinationApi::serveConfiguration() const {
  ConfigurationSnapshotPtr Snapshot = Sync.snapshot();
  if (!Snapshot)
    return "{}";
  json Out = {
      {"manifest", encodeManifest(Snapshot->Manifest,
                                  WriteIdentity{Shared.SelfIncarnation, 0})},
      {"payload", Snapshot->Payload}};
  return Out.dump();
}

std::string CoordinationApi::serveOwnerVersion() const {
  json Out = {{"owns", Ownership.owns()},
              {"version", Holder.current()->Version}};
  return Out.dump();
}

std::string CoordinationApi::handleClaim(const std::string &Parameters) {
  if (Outcome<OwnerClaim> Claim = decodeJson(Parameters, decodeClaim))
    Ownership.handle(ClaimReceived{*Claim, {}});
  return "{}";
}

std::string
CoordinationApi::handleHandOverOffer(const std::string &Parameters) {
  if (Outcome<OwnerClaim> Claim = decodeJson(Parameters, decodeClaim))
    Ownership.handle(HandOverOfferReceived{*Claim});
  return "{}";
}

} // namespace banyanworks
