/// \file
/// Implements the simulation of configuration replicas.
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
  Started.PendingOperations.clear();
  Started.HighestVersion = ConfigVersion();
  Started.Driver =
      std::make_unique<StoreDriver>(Store, StoreClientOptions(), Starts);
  Started.IsWatcher = Index % PerDomain == 0;
  handle(Index, WatcherChanged{Started.IsWatcher});
}

void ConfigurationFleet::restart(std::size_t Index) { start(Index); }

void ConfigurationFleet::cutFromStore(std::size_t Index, bool Cut) {
  Daemons[Index].CutFromStore = Cut;
}

void ConfigurationFleet::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End; Now += StepLength)
    step();
}

void ConfigurationFleet::step() {
  for (std::size_t I = 0; I != Daemons.size(); ++I) {
    if (!Daemons[I].CutFromStore)
      stepStore(I);
    handle(I, ReplicaTick());
  }
  if (++Steps % StepsPerDigest == 0)
    exchangeDigests();
}

void ConfigurationFleet::stepStore(std::size_t Index) {
  Daemon &Running = Daemons[Index];
  for (StoreOutcome &Outcome : Running.Driver->step(Now)) {
    auto Found = Running.PendingOperations.find(Outcome.Operation);
    if (Found == Running.PendingOperations.end())
      continue;
    StoreTag Tag = Found->second;
    Running.PendingOperations.erase(Found);
    handle(Index, ReplicaStoreAnswered{Tag, std::move(Outcome)});
  }
}

void ConfigurationFleet::handle(std::size_t Index, const ReplicaEvent &Event) {
  for (const ReplicaAction &Action : Daemons[Index].Replica.handle(Event, Now))
    perform(Index, Action);
  ConfigVersion Version = Daemons[Index].Replica.version();
  if (Version < Daemons[Index].HighestVersion)
    ++Reversions;
  Daemons[Index].HighestVersion =
      std::max(Daemons[Index].HighestVersion, Version);
}

void ConfigurationFleet::perform(std::size_t Index,
                                 const ReplicaAction &Action) {
  Daemon &Running = Daemons[Index];
  if (const auto *Command = std::get_if<StoreCommand>(&Action)) {
    StoreOperationId Id = Running.Driver->client().submit(
        Command->Request, Now, Now + Command->Timeout);
    Running.PendingOperations[Id] = Command->Tag;
  } else if (const auto *Announcement = std::get_if<AnnounceVersion>(&Action)) {
    announce(Index, Announcement->Version);
  } else if (const auto *Pull = std::get_if<PullConfiguration>(&Action)) {
    std::size_t Peer = std::stoul(Pull->Peer.str());
    ConfigurationSnapshotPtr Snapshot = Daemons[Peer].Replica.snapshot();
    handle(Index, PeerSnapshotReceived{Pull->Peer, Snapshot});
  } else if (const auto *Restore = std::get_if<RestoreConfiguration>(&Action)) {
    publish({Restore->StoreVersion, Restore->Snapshot->Manifest.Version,
             Restore->Snapshot->Payload, Restore->Snapshot->Manifest.Author,
             Restore->Snapshot->Manifest.Comment});
  }
}

void ConfigurationFleet::announce(std::size_t Sender, ConfigVersion Version) {
  std::size_t First = Sender / PerDomain * PerDomain;
  for (std::size_t I = First; I != First + PerDomain; ++I)
    if (I != Sender)
      handle(I, PeerVersionReported{nameOf(Sender), Version});
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
  StoreDriver OperatorDriver(Store, StoreClientOptions(),
                             100000 + Publications);
  ConfigurationPublisher Publisher(std::move(Change),
                                   {Incarnation(99), ++Publications});
  std::optional<StoreCommand> Command = Publisher.start();
  while (Command) {
    StoreOutcome Outcome =
        OperatorDriver.run(Command->Request, Now, Command->Timeout);
    Command = Publisher.handleOutcome(Outcome);
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

bool ConfigurationFleet::allInForce(ConfigVersion Version) const {
  for (const Daemon &Each : Daemons)
    if (Each.Replica.version() != Version)
      return false;
  return true;
}

} // namespace banyanworks::testing
