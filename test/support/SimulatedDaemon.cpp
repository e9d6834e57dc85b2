/// \file
/// Implements SimulatedDaemon.
#include "support/SimulatedDaemon.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(300);
constexpr Duration ContactInterval = std::chrono::milliseconds(500);
constexpr Duration ConfirmInterval = std::chrono::milliseconds(200);
constexpr Duration MemberTimeout = std::chrono::milliseconds(1500);
constexpr Duration RootReadTimeout = std::chrono::milliseconds(700);

} // namespace

DomainId simulatedDomainId(std::uint32_t Domain) {
  return DomainId("d" + std::to_string(Domain));
}

DaemonId simulatedDaemonId(std::uint32_t Daemon) {
  return DaemonId(std::to_string(Daemon));
}

SchedulerSettings simulatedSchedulerSettings() {
  SchedulerSettings Settings;
  Settings.SessionLease = std::chrono::seconds(5);
  Settings.RestartBackoff = std::chrono::milliseconds(500);
  Settings.RestartBackoffLimit = std::chrono::seconds(2);
  return Settings;
}

SimulatedDaemon::SimulatedDaemon(const DaemonPlacement &Placement,
                                 const SimulationProtections &Protections,
                                 FakeStore &Store, SimulatedNetwork &Network)
    : Placement(Placement), Protections(Protections), Network(Network),
      Driver(Store, Protections.ForStore, Placement.Process),
      Rng(Placement.Process),
      Owner(simulatedDomainId(Placement.Domain),
            simulatedDaemonId(Placement.Index), Placement.Process,
            Protections.ForOwnership),
      Permission(simulatedDomainId(Placement.Domain),
                 Protections.ForPermission),
      Journal(simulatedDomainId(Placement.Domain), Placement.Process) {}

void SimulatedDaemon::step(TimePoint StepTime, bool StoreReachable) {
  Now = StepTime;
  handleOwnership(OwnershipTick{});
  std::vector<StoreOutcome> Ended;
  if (StoreReachable)
    Ended = Driver.step(Now);
  else
    Ended = Driver.client().poll(Now).Outcomes;
  for (const StoreOutcome &Each : Ended)
    handleOutcome(Each);
  updateMembers();
  handlePermission(PermissionOwnershipStatus{
      Owner.owns(Now) && !Owner.runsWithoutStore(), majorityHeardAt()});
  if (Owner.owns(Now))
    handlePermission(PermissionTick{});
  handleReplica(ReplicaTick{});
  if (Owner.owns(Now) || Journal.pending() > 0)
    handleJournal(JournalTick{});
  if (owns()) {
    renewSessions();
    if (Scheduler->nextDeadline() <= Now)
      handleJobEvent(Tick{});
  }
  if (Now >= NextHeartbeat) {
    NextHeartbeat = Now + HeartbeatInterval;
    sendHeartbeats();
  }
  confirmChange();
}

void SimulatedDaemon::submitCommand(Component Requester,
                                    const StoreCommand &Command) {
  StoreOperationId Id =
      Driver.client().submit(Command.Request, Now, Now + Command.Timeout);
  Operations[Id] = {Requester, Command.Tag};
}

void SimulatedDaemon::handleOutcome(const StoreOutcome &Outcome) {
  auto Found = Operations.find(Outcome.Operation);
  if (Found == Operations.end())
    return;
  PendingOperation Pending = Found->second;
  Operations.erase(Found);
  switch (Pending.Requester) {
  case Component::Owner:
    handleOwnership(OwnershipStoreAnswered{Pending.Tag, Outcome});
    return;
  case Component::Replica:
    handleReplica(ReplicaStoreAnswered{Pending.Tag, Outcome});
    return;
  case Component::Journal:
    handleJournal(JournalStoreAnswered{Pending.Tag, Outcome});
    return;
  case Component::Root:
    handleRootRead(Outcome);
    return;
  case Component::Publisher:
    if (!CurrentChange)
      return;
    if (auto Next = CurrentChange->Publisher.handleOutcome(Outcome))
      submitCommand(Component::Publisher, *Next);
    return;
  }
}

void SimulatedDaemon::handleRootRead(const StoreOutcome &Outcome) {
  const auto *Read = std::get_if<EntryAnswer>(&Outcome.Answer.Result);
  if (Outcome.Status != StoreStatus::Done || !Read || !Read->Entry)
    return;
  auto Root = decodeManifest(Read->Entry->Value);
  if (!Root)
    return;
  TimePoint FreshSince =
      Protections.TrustReads ? Outcome.SentAt : Outcome.FreshSince;
  handlePermission(RootConfirmed{Root->Version, FreshSince});
  handleReplica(RootObserved{*Root});
}

void SimulatedDaemon::handleOwnership(const OwnershipEvent &Event) {
  for (const OwnershipAction &Action : Owner.handle(Event, Now))
    perform(Action);
}

void SimulatedDaemon::handleReplica(const ReplicaEvent &Event) {
  for (const ReplicaAction &Action : Replica.handle(Event, Now))
    perform(Action);
}

void SimulatedDaemon::handleJournal(const JournalEvent &Event) {
  for (const JournalAction &Action : Journal.handle(Event, Now))
    perform(Action);
}

void SimulatedDaemon::handlePermission(const PermissionEvent &Event) {
  for (const PermissionAction &Action : Permission.handle(Event, Now))
    perform(Action);
}

void SimulatedDaemon::handleJobEvent(const JobEvent &Event) {
  if (!owns())
    return;
  for (const JobAction &Action : Scheduler->handle(Now, Event)) {
    if (const auto *Progress = std::get_if<JobProgressed>(&Action)) {
      if (!isTerminalPhase(Progress->Phase))
        continue;
      Network.onJobEnded(Progress->Job, Progress->Phase);
      handleJournal(
          JournalEnd{Progress->Job, Progress->Phase, Progress->StatusReason});
    } else if (!std::holds_alternative<StepDown>(Action)) {
      Network.sendOrder(Placement.Index, Action);
    }
  }
}

void SimulatedDaemon::perform(const OwnershipAction &Action) {
  if (const auto *Command = std::get_if<StoreCommand>(&Action)) {
    submitCommand(Component::Owner, *Command);
  } else if (std::holds_alternative<OwnershipTaken>(Action)) {
    Network.onOwnershipTaken(Placement.Index);
    Scheduler.reset();
    handlePermission(PermissionOwnershipGained{});
    handleJournal(JournalLoad{Owner.term()});
  } else if (std::holds_alternative<OwnershipReleased>(Action)) {
    Scheduler.reset();
  } else if (const auto *Announcement = std::get_if<AnnounceClaim>(&Action)) {
    ClaimHeardAt = Now;
    NextHeartbeat = Now;
    static_cast<void>(Announcement);
  }
}

void SimulatedDaemon::perform(const ReplicaAction &Action) {
  if (const auto *Command = std::get_if<StoreCommand>(&Action)) {
    submitCommand(Component::Replica, *Command);
  } else if (const auto *Pull = std::get_if<PullConfiguration>(&Action)) {
    auto Peer = static_cast<std::uint32_t>(std::stoul(Pull->Peer.str()));
    std::uint32_t Self = Placement.Index;
    SimulatedNetwork &ReplyNetwork = Network;
    Network.send(
        Self, Peer, [Self, Peer, &ReplyNetwork](SimulatedDaemon &Other) {
          ConfigurationSnapshotPtr Snapshot = Other.Replica.snapshot();
          ReplyNetwork.send(
              Peer, Self, [Peer, Snapshot](SimulatedDaemon &Asker) {
                if (Snapshot)
                  Asker.handleReplica(
                      PeerSnapshotReceived{simulatedDaemonId(Peer), Snapshot});
              });
        });
  } else if (const auto *NewConfiguration =
                 std::get_if<ConfigurationInForce>(&Action)) {
    handleConfiguration(NewConfiguration->Snapshot);
  } else if (std::holds_alternative<AnnounceVersion>(Action)) {
    NextHeartbeat = Now;
  }
}

void SimulatedDaemon::handleConfiguration(
    const ConfigurationSnapshotPtr &Snapshot) {
  Network.onVersionInForce(Placement.Index, Snapshot->Manifest.Version,
                           Snapshot->Payload);
  std::vector<DomainId> All;
  for (std::uint32_t I = 0; I != Placement.Domains; ++I)
    All.push_back(simulatedDomainId(I));
  bool InService = Snapshot->Payload.at(Placement.Domain) == '1';
  handlePermission(
      PermissionConfiguration{Snapshot->Manifest.Version, InService, All});
  handleJobEvent(ConfigurationChanged{configuration()});
}

void SimulatedDaemon::perform(const JournalAction &Action) {
  if (const auto *Command = std::get_if<StoreCommand>(&Action)) {
    submitCommand(Component::Journal, *Command);
  } else if (const auto *Answer = std::get_if<AcceptCompleted>(&Action)) {
    if (Answer->Result != AcceptResult::Accepted)
      return;
    Network.onJobAccepted(Answer->Job);
    handleJobEvent(JobSubmitted{Network.specOf(Answer->Job)});
  } else if (const auto *Resolved = std::get_if<AcceptResolved>(&Action)) {
    if (Resolved->Recorded)
      handleJobEvent(JobSubmitted{Network.specOf(Resolved->Job)});
  } else if (const auto *Recorded = std::get_if<EndRecorded>(&Action)) {
    handleJobEvent(OutcomeRecorded{Recorded->Job});
  } else if (const auto *Loaded = std::get_if<JournalLoaded>(&Action)) {
    if (!Loaded->Complete && !Owner.runsWithoutStore()) {
      handleJournal(JournalLoad{Owner.term()});
      return;
    }
    if (!Loaded->Complete)
      handleOwnership(RecordsIncomplete{});
    startScheduler(*Loaded);
  }
}

void SimulatedDaemon::startScheduler(const JournalLoaded &Loaded) {
  if (!Owner.owns(Now))
    return;
  Scheduler = std::make_unique<DomainScheduler>(
      simulatedSchedulerSettings(), simulatedDomainId(Placement.Domain));
  if (Replica.snapshot())
    handleJobEvent(ConfigurationChanged{configuration()});
  handleJobEvent(PermissionRenewed{Permission.startUntil()});
  OwnershipGained GainedEvent;
  GainedEvent.Term = Owner.term();
  GainedEvent.RecordsComplete = Loaded.Complete;
  for (const auto &[Job, Entry] : Loaded.Jobs)
    GainedEvent.Jobs.push_back(Network.specOf(Job));
  GainedEvent.ExpectedWorkers = Network.workersOf(Placement.Domain);
  LastContact.clear();
  for (const WorkerId &Worker : GainedEvent.ExpectedWorkers)
    LastContact[Worker] = Now;
  handleJobEvent(GainedEvent);
  NextContact = Now;
}

void SimulatedDaemon::perform(const PermissionAction &Action) {
  if (std::holds_alternative<ConfirmRoot>(Action)) {
    GetRequest Root{std::string(ConfigurationRootKey)};
    submitCommand(Component::Root,
                  {StoreTag(), std::move(Root), RootReadTimeout});
  } else if (std::holds_alternative<AskOwners>(Action)) {
    requestOwnerVersions();
  } else if (const auto *Renewed = std::get_if<StartUntilChanged>(&Action)) {
    handleJobEvent(PermissionRenewed{Renewed->StartUntil});
  }
}

void SimulatedDaemon::requestOwnerVersions() {
  TimePoint AskedAt = Now;
  std::uint32_t Self = Placement.Index;
  SimulatedNetwork &ReplyNetwork = Network;
  for (std::uint32_t Receiver = 0;
       Receiver != Placement.Domains * Placement.DaemonsPerDomain; ++Receiver) {
    if (Receiver / Placement.DaemonsPerDomain == Placement.Domain)
      continue;
    Network.send(
        Self, Receiver,
        [Self, Receiver, AskedAt, &ReplyNetwork](SimulatedDaemon &Other) {
          if (!Other.Owner.owns(Other.Now) ||
              !Other.Permission.mayVote(Other.Now))
            return;
          OwnerVersionReported Report{simulatedDomainId(Other.Placement.Domain),
                                      Other.Replica.version(), AskedAt};
          ReplyNetwork.send(Receiver, Self, [Report](SimulatedDaemon &Asker) {
            Asker.handlePermission(Report);
          });
        });
  }
}

void SimulatedDaemon::sendHeartbeats() {
  Heartbeat Message{Placement.Index, Replica.version(), Owner.claim(), {}};
  if (Owner.owns(Now))
    ClaimHeardAt = Now;
  Message.ClaimAge = Now - ClaimHeardAt;
  for (std::uint32_t I = 0; I != Placement.DaemonsPerDomain; ++I) {
    std::uint32_t Receiver = Placement.Domain * Placement.DaemonsPerDomain + I;
    if (Receiver != Placement.Index) {
      Network.send(Placement.Index, Receiver,
                   [Message](SimulatedDaemon &Other) {
                     Other.handleHeartbeat(Message);
                   });
    }
  }
  std::uint32_t RemoteDaemon =
      Rng.below(Placement.Domains * Placement.DaemonsPerDomain);
  if (RemoteDaemon / Placement.DaemonsPerDomain != Placement.Domain) {
    Network.send(
        Placement.Index, RemoteDaemon,
        [Message](SimulatedDaemon &Other) { Other.handleHeartbeat(Message); });
  }
}

void SimulatedDaemon::handleHeartbeat(const Heartbeat &Message) {
  handleReplica(
      PeerVersionReported{simulatedDaemonId(Message.Sender), Message.Version});
  if (Message.Sender / Placement.DaemonsPerDomain != Placement.Domain)
    return;
  HeardFrom[Message.Sender] = Now;
  if (!Message.Claim)
    return;
  ClaimHeardAt = std::max(ClaimHeardAt, Now - Message.ClaimAge);
  handleOwnership(ClaimReceived{*Message.Claim, Message.ClaimAge});
}

void SimulatedDaemon::updateMembers() {
  std::vector<DaemonId> Members{simulatedDaemonId(Placement.Index)};
  for (const auto &[Daemon, LastSeen] : HeardFrom)
    if (Now - LastSeen <= MemberTimeout)
      Members.push_back(simulatedDaemonId(Daemon));
  std::vector<DaemonId> Order =
      successionOrder(simulatedDomainId(Placement.Domain), Members);
  handleOwnership(DomainMembersChanged{std::move(Members)});
  handleReplica(WatcherChanged{configurationWatcher(Order) ==
                               simulatedDaemonId(Placement.Index)});
}

TimePoint SimulatedDaemon::majorityHeardAt() const {
  std::vector<TimePoint> Times{Now};
  for (const auto &Entry : HeardFrom)
    Times.push_back(Entry.second);
  std::sort(Times.begin(), Times.end(), std::greater<>());
  std::size_t Majority = Placement.DaemonsPerDomain / 2 + 1;
  return Times.size() >= Majority ? Times[Majority - 1] : TimePoint::min();
}

void SimulatedDaemon::submit(JobId Job) {
  if (!owns())
    return;
  handleJournal(JournalAccept{Job, std::to_string(Job.value())});
}

void SimulatedDaemon::publish(std::uint32_t Domain, bool InService) {
  ConfigurationSnapshotPtr Snapshot = Replica.snapshot();
  if (!Snapshot)
    return;
  Publication Next{Snapshot->Manifest.Version,
                   Snapshot->Manifest.Version.next(), Snapshot->Payload,
                   "operator", ""};
  Next.Payload.at(Domain) = InService ? '1' : '0';
  WriteIdentity Identity{Incarnation(Placement.Process),
                         (1ULL << 32) + ++Publications};
  CurrentChange.emplace(
      PendingChange{ConfigurationPublisher(std::move(Next), Identity), Domain,
                    InService, std::nullopt, false});
  submitCommand(Component::Publisher, CurrentChange->Publisher.start());
}

void SimulatedDaemon::confirmChange() {
  if (!CurrentChange || CurrentChange->Reported || Now < NextConfirm ||
      !CurrentChange->Publisher.result())
    return;
  const PublishResult &Result = *CurrentChange->Publisher.result();
  if (Result.Status != PublishStatus::Accepted)
    return;
  NextConfirm = Now + ConfirmInterval;
  ConfigVersion Version = Result.Version;
  if (!CurrentChange->Tracker) {
    std::vector<DomainId> All;
    for (std::uint32_t I = 0; I != Placement.Domains; ++I)
      All.push_back(simulatedDomainId(I));
    CurrentChange->Tracker.emplace(Version, All, std::vector<DaemonId>());
  }
  std::uint32_t Self = Placement.Index;
  SimulatedNetwork &ReplyNetwork = Network;
  TimePoint AskedAt = Now;
  for (std::uint32_t Receiver = 0;
       Receiver != Placement.Domains * Placement.DaemonsPerDomain; ++Receiver) {
    Network.send(
        Self, Receiver,
        [Self, Receiver, Version, AskedAt,
         &ReplyNetwork](SimulatedDaemon &Other) {
          Other.handleReplica(
              PeerVersionReported{simulatedDaemonId(Self), Version});
          bool Confirms = Other.Owner.owns(Other.Now) &&
                          Other.Permission.mayVote(Other.Now) &&
                          Other.Replica.version() >= Version;
          if (!Confirms)
            return;
          DomainId Domain = simulatedDomainId(Other.Placement.Domain);
          Epoch Term = Other.Owner.term();
          ReplyNetwork.send(
              Receiver, Self,
              [Domain, Term, Version, AskedAt](SimulatedDaemon &Asker) {
                if (Asker.CurrentChange && Asker.CurrentChange->Tracker)
                  Asker.CurrentChange->Tracker->ownerConfirmed(
                      Domain, Term, Version, AskedAt, Asker.Now);
              });
        });
  }
  OutOfServicePhase Phase = CurrentChange->Tracker->report(Now).Phase;
  if (Phase == OutOfServicePhase::Recorded)
    return;
  CurrentChange->Reported = true;
  if (!CurrentChange->InService)
    Network.outOfServiceAccepted(CurrentChange->Domain, Version);
}

void SimulatedDaemon::renewSessions() {
  if (Now < NextContact)
    return;
  NextContact = Now + ContactInterval;
  Network.contactWorkers(Placement.Index, Owner.term());
  Duration ContactTimeout =
      simulatedSchedulerSettings().SessionLease + ContactInterval;
  std::vector<WorkerId> LostWorkers;
  for (const auto &[Worker, LastSeen] : LastContact)
    if (Now - LastSeen >= ContactTimeout)
      LostWorkers.push_back(Worker);
  for (const WorkerId &Worker : LostWorkers) {
    LastContact.erase(Worker);
    handleJobEvent(WorkerDeparted{Worker});
  }
}

void SimulatedDaemon::onWorkerContacted(const WorkerInventory &Inventory) {
  if (!owns())
    return;
  LastContact[Inventory.Info.Id] = Now;
  handleJobEvent(WorkerJoined{Inventory});
}

void SimulatedDaemon::onWorkerRefused(Epoch Newest) {
  handleOwnership(WorkerEpochReported{Newest});
}

std::shared_ptr<const Configuration> SimulatedDaemon::configuration() const {
  auto Config = std::make_shared<Configuration>();
  const ConfigurationSnapshotPtr &Snapshot = Replica.snapshot();
  Config->Version = Snapshot->Manifest.Version;
  for (std::uint32_t I = 0; I != Placement.Domains; ++I) {
    FailureDomain Domain;
    Domain.Id = simulatedDomainId(I);
    Domain.InService = Snapshot->Payload.at(I) == '1';
    Domain.Drain = DrainPolicy::Finish;
    Config->Domains[Domain.Id] = Domain;
  }
  WorkspaceId Everyone("alpha");
  Config->Workspaces[Everyone] = Workspace{Everyone, {}, 1.0, {}};
  return Config;
}

} // namespace banyanworks::testing
