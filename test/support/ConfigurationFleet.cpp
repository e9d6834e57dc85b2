/// \file
/// Implements the fleet of configuration replicas.
#include "support/ConfigurationFleet.h"

#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(10);
constexpr std::uint64_t StepsPerDigest = 50;

} // namespace

ConfigurationFleet::ConfigurationFleet(std::size_t Domains,
                                       std::size_t DaemonsPerDomain)
    : PerDomain(DaemonsPerDomain), Daemons(Domains * DaemonsPerDomain) {
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    start(I);
}

DaemonId ConfigurationFleet::nameOf(std::size_t Index) const {
  return DaemonId(std::to_string(Index));
}

void ConfigurationFleet::start(std::size_t Index) {
  ++Starts;
  Daemon &Started = Daemons[Index];
  Started.Replica = ConfigurationReplica();
  Started.Asked.clear();
  Started.Highest = ConfigVersion();
  Started.Driver =
      std::make_unique<StoreDriver>(Store, StoreClientOptions(), Starts);
  Started.Watches = Index % PerDomain == 0;
  handle(Index, WatcherChanged{Started.Watches});
}

void ConfigurationFleet::restart(std::size_t Index) { start(Index); }

void ConfigurationFleet::cutFromStore(std::size_t Index, bool Cut) {
  Daemons[Index].Cut = Cut;
}

void ConfigurationFleet::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End; Now += StepLength)
    step();
}

void ConfigurationFleet::step() {
  for (std::size_t I = 0; I != Daemons.size(); ++I) {
    if (!Daemons[I].Cut)
      stepStore(I);
    handle(I, ReplicaTick());
  }
  if (++Steps % StepsPerDigest == 0)
    exchangeDigests();
}

void ConfigurationFleet::stepStore(std::size_t Index) {
  Daemon &Running = Daemons[Index];
  for (StoreOutcome &Outcome : Running.Driver->step(Now)) {
    auto Found = Running.Asked.find(Outcome.Operation);
    if (Found == Running.Asked.end())
      continue;
    StoreTag Tag = Found->second;
    Running.Asked.erase(Found);
    handle(Index, ReplicaStoreAnswered{Tag, std::move(Outcome)});
  }
}

void ConfigurationFleet::handle(std::size_t Index, const ReplicaEvent &Event) {
  for (const ReplicaAction &Action : Daemons[Index].Replica.handle(Event, Now))
    perform(Index, Action);
  ConfigVersion Version = Daemons[Index].Replica.version();
  if (Version < Daemons[Index].Highest)
    ++Reversions;
  Daemons[Index].Highest = std::max(Daemons[Index].Highest, Version);
}

void ConfigurationFleet::perform(std::size_t Index,
                                 const ReplicaAction &Action) {
  Daemon &Running = Daemons[Index];
  if (const auto *Ask = std::get_if<StoreCommand>(&Action)) {
    StoreOperationId Id =
        Running.Driver->client().submit(Ask->Request, Now, Now + Ask->Timeout);
    Running.Asked[Id] = Ask->Tag;
  } else if (const auto *Said = std::get_if<AnnounceVersion>(&Action)) {
    announce(Index, Said->Version);
  } else if (const auto *Pull = std::get_if<PullConfiguration>(&Action)) {
    std::size_t Peer = std::stoul(Pull->Peer.str());
    ConfigurationSnapshotPtr Snapshot = Daemons[Peer].Replica.snapshot();
    handle(Index, PeerSnapshotReceived{Pull->Peer, Snapshot});
  } else if (const auto *Lost = std::get_if<RestoreConfiguration>(&Action)) {
    publish({Lost->StoreVersion, Lost->Snapshot->Manifest.Version,
             Lost->Snapshot->Payload, Lost->Snapshot->Manifest.Author,
             Lost->Snapshot->Manifest.Comment});
  }
}

void ConfigurationFleet::announce(std::size_t From, ConfigVersion Version) {
  std::size_t First = From / PerDomain * PerDomain;
  for (std::size_t I = First; I != First + PerDomain; ++I)
    if (I != From)
      handle(I, PeerVersionReported{nameOf(From), Version});
}

void ConfigurationFleet::exchangeDigests() {
  if (Daemons.size() < 2)
    return;
  std::size_t Shift = Steps / StepsPerDigest;
  for (std::size_t I = 0; I != Daemons.size(); ++I) {
    std::size_t Peer = (I + 1 + Shift % (Daemons.size() - 1)) % Daemons.size();
    handle(I,
           PeerVersionReported{nameOf(Peer), Daemons[Peer].Replica.version()});
  }
}

PublishResult ConfigurationFleet::publish(Publication Change) {
  StoreDriver Operator(Store, StoreClientOptions(), 100000 + Publications);
  ConfigurationPublisher Publisher(std::move(Change),
                                   {Incarnation(99), ++Publications});
  std::optional<StoreCommand> Ask = Publisher.start();
  while (Ask) {
    StoreOutcome Outcome = Operator.run(Ask->Request, Now, Ask->Timeout);
    Ask = Publisher.handleOutcome(Outcome);
  }
  return *Publisher.result();
}

PublishResult ConfigurationFleet::publishNext(const std::string &Payload) {
  ConfigVersion Base;
  auto Found = Store.entries().find(std::string(ConfigurationRootKey));
  if (Found != Store.entries().end())
    Base = decodeManifest(Found->second.Value)->Version;
  return publish({Base, Base.next(), Payload, "operator", "change"});
}

bool ConfigurationFleet::allHave(ConfigVersion Version) const {
  for (const Daemon &Each : Daemons)
    if (Each.Replica.version() != Version)
      return false;
  return true;
}

} // namespace banyanworks::testing
