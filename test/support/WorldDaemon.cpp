/// \file
/// Implements how a daemon's parts work together.
#include "support/WorldDaemon.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration BeatInterval = std::chrono::milliseconds(300);
constexpr Duration ContactInterval = std::chrono::milliseconds(500);
constexpr Duration ConfirmInterval = std::chrono::milliseconds(200);
constexpr Duration MemberTime = std::chrono::milliseconds(1500);
constexpr Duration RootLimit = std::chrono::milliseconds(700);

} // namespace

DomainId worldDomain(std::uint32_t Domain) {
  return DomainId("d" + std::to_string(Domain));
}

DaemonId worldDaemon(std::uint32_t Daemon) {
  return DaemonId(std::to_string(Daemon));
}

SchedulerSettings worldScheduler() {
  SchedulerSettings Settings;
  Settings.SessionLease = std::chrono::seconds(5);
  Settings.RestartBackoff = std::chrono::milliseconds(500);
  Settings.RestartBackoffLimit = std::chrono::seconds(2);
  return Settings;
}

WorldDaemon::WorldDaemon(const WorldPlace &Place,
                         const WorldProtections &Protections, FakeStore &Store,
                         WorldLinks &Links)
    : Place(Place), Protections(Protections), Links(Links),
      Driver(Store, Protections.ForStore, Place.Process), Dice(Place.Process),
      Owner(worldDomain(Place.Domain), worldDaemon(Place.Index), Place.Process,
            Protections.ForOwnership),
      Permission(worldDomain(Place.Domain), Protections.ForPermission),
      Journal(worldDomain(Place.Domain), Place.Process) {}

void WorldDaemon::step(TimePoint At, bool StoreReachable) {
  Now = At;
  owner(OwnershipTick{});
  std::vector<StoreOutcome> Ended;
  if (StoreReachable)
    Ended = Driver.step(Now);
  else
    Ended = Driver.client().poll(Now).Outcomes;
  for (const StoreOutcome &Each : Ended)
    outcome(Each);
  updateMembers();
  permit(PermissionOwnershipStatus{Owner.owns(Now) && !Owner.runsWithoutStore(),
                                   heardDomainAt()});
  if (Owner.owns(Now))
    permit(PermissionTick{});
  replicaEvent(ReplicaTick{});
  if (Owner.owns(Now) || Journal.pending() > 0)
    journal(JournalTick{});
  if (owns()) {
    sessions();
    if (Scheduler->nextDeadline() <= Now)
      giveScheduler(Tick{});
  }
  if (Now >= NextBeat) {
    NextBeat = Now + BeatInterval;
    sendHeartbeats();
  }
  confirmChange();
}

void WorldDaemon::ask(Part For, const StoreCommand &Ask) {
  StoreOperationId Id =
      Driver.client().submit(Ask.Request, Now, Now + Ask.Timeout);
  Operations[Id] = {For, Ask.Tag};
}

void WorldDaemon::outcome(const StoreOutcome &Outcome) {
  auto Found = Operations.find(Outcome.Operation);
  if (Found == Operations.end())
    return;
  Asked For = Found->second;
  Operations.erase(Found);
  switch (For.For) {
  case Part::Owner:
    owner(OwnershipStoreAnswered{For.Tag, Outcome});
    return;
  case Part::Replica:
    replicaEvent(ReplicaStoreAnswered{For.Tag, Outcome});
    return;
  case Part::Journal:
    journal(JournalStoreAnswered{For.Tag, Outcome});
    return;
  case Part::Root:
    rootRead(Outcome);
    return;
  case Part::Publisher:
    if (!Changing)
      return;
    if (auto Next = Changing->Publisher.handleOutcome(Outcome))
      ask(Part::Publisher, *Next);
    return;
  }
}

void WorldDaemon::rootRead(const StoreOutcome &Outcome) {
  const auto *Read = std::get_if<EntryAnswer>(&Outcome.Answer.Result);
  if (Outcome.Status != StoreStatus::Done || !Read || !Read->Entry)
    return;
  auto Root = decodeManifest(Read->Entry->Value);
  if (!Root)
    return;
  TimePoint Fresh =
      Protections.TrustsReads ? Outcome.SentAt : Outcome.FreshSince;
  permit(RootConfirmed{Root->Version, Fresh});
  replicaEvent(RootObserved{*Root});
}

void WorldDaemon::owner(const OwnershipEvent &Event) {
  for (const OwnershipAction &Action : Owner.handle(Event, Now))
    perform(Action);
}

void WorldDaemon::replicaEvent(const ReplicaEvent &Event) {
  for (const ReplicaAction &Action : Replica.handle(Event, Now))
    perform(Action);
}

void WorldDaemon::journal(const JournalEvent &Event) {
  for (const JournalAction &Action : Journal.handle(Event, Now))
    perform(Action);
}

void WorldDaemon::permit(const PermissionEvent &Event) {
  for (const PermissionAction &Action : Permission.handle(Event, Now))
    perform(Action);
}

void WorldDaemon::giveScheduler(const JobEvent &Event) {
  if (!owns())
    return;
  for (const JobAction &Action : Scheduler->handle(Now, Event)) {
    if (const auto *Progress = std::get_if<JobProgressed>(&Action)) {
      if (!isTerminalPhase(Progress->Phase))
        continue;
      Links.jobEnded(Progress->Job, Progress->Phase);
      journal(
          JournalEnd{Progress->Job, Progress->Phase, Progress->StatusReason});
    } else if (!std::holds_alternative<StepDown>(Action)) {
      Links.order(Place.Index, Action);
    }
  }
}

void WorldDaemon::perform(const OwnershipAction &Action) {
  if (const auto *Ask = std::get_if<StoreCommand>(&Action)) {
    ask(Part::Owner, *Ask);
  } else if (std::holds_alternative<OwnershipTaken>(Action)) {
    Links.ownershipTaken(Place.Index);
    Scheduler.reset();
    permit(PermissionOwnershipGained{});
    journal(JournalLoad{Owner.term()});
  } else if (std::holds_alternative<OwnershipReleased>(Action)) {
    Scheduler.reset();
  } else if (const auto *Said = std::get_if<AnnounceClaim>(&Action)) {
    ClaimHeardAt = Now;
    NextBeat = Now;
    static_cast<void>(Said);
  }
}

void WorldDaemon::perform(const ReplicaAction &Action) {
  if (const auto *Ask = std::get_if<StoreCommand>(&Action)) {
    ask(Part::Replica, *Ask);
  } else if (const auto *Pull = std::get_if<PullConfiguration>(&Action)) {
    auto Peer = static_cast<std::uint32_t>(std::stoul(Pull->Peer.str()));
    std::uint32_t Me = Place.Index;
    WorldLinks &Carrier = Links;
    Links.send(Me, Peer, [Me, Peer, &Carrier](WorldDaemon &Other) {
      ConfigurationSnapshotPtr Snapshot = Other.Replica.snapshot();
      Carrier.send(Peer, Me, [Peer, Snapshot](WorldDaemon &Asker) {
        if (Snapshot)
          Asker.replicaEvent(PeerSnapshotReceived{worldDaemon(Peer), Snapshot});
      });
    });
  } else if (const auto *Force = std::get_if<ConfigurationInForce>(&Action)) {
    inForce(Force->Snapshot);
  } else if (std::holds_alternative<AnnounceVersion>(Action)) {
    NextBeat = Now;
  }
}

void WorldDaemon::inForce(const ConfigurationSnapshotPtr &Snapshot) {
  Links.versionInForce(Place.Index, Snapshot->Manifest.Version,
                       Snapshot->Payload);
  std::vector<DomainId> All;
  for (std::uint32_t I = 0; I != Place.Domains; ++I)
    All.push_back(worldDomain(I));
  bool In = Snapshot->Payload.at(Place.Domain) == '1';
  permit(PermissionConfiguration{Snapshot->Manifest.Version, In, All});
  giveScheduler(ConfigurationChanged{configuration()});
}

void WorldDaemon::perform(const JournalAction &Action) {
  if (const auto *Ask = std::get_if<StoreCommand>(&Action)) {
    ask(Part::Journal, *Ask);
  } else if (const auto *Answer = std::get_if<AcceptCompleted>(&Action)) {
    if (Answer->Result != AcceptResult::Accepted)
      return;
    Links.jobAccepted(Answer->Job);
    giveScheduler(JobSubmitted{Links.specOf(Answer->Job)});
  } else if (const auto *Known = std::get_if<AcceptResolved>(&Action)) {
    if (Known->Recorded)
      giveScheduler(JobSubmitted{Links.specOf(Known->Job)});
  } else if (const auto *Over = std::get_if<EndRecorded>(&Action)) {
    giveScheduler(OutcomeRecorded{Over->Job});
  } else if (const auto *Loaded = std::get_if<JournalLoaded>(&Action)) {
    if (!Loaded->Complete && !Owner.runsWithoutStore()) {
      journal(JournalLoad{Owner.term()});
      return;
    }
    if (!Loaded->Complete)
      owner(RecordsIncomplete{});
    gainRecords(*Loaded);
  }
}

void WorldDaemon::gainRecords(const JournalLoaded &Loaded) {
  if (!Owner.owns(Now))
    return;
  Scheduler = std::make_unique<DomainScheduler>(worldScheduler(),
                                                worldDomain(Place.Domain));
  if (Replica.snapshot())
    giveScheduler(ConfigurationChanged{configuration()});
  giveScheduler(PermissionRenewed{Permission.startUntil()});
  OwnershipGained Gained;
  Gained.Term = Owner.term();
  Gained.RecordsComplete = Loaded.Complete;
  for (const auto &[Job, Entry] : Loaded.Jobs)
    Gained.Jobs.push_back(Links.specOf(Job));
  Gained.ExpectedWorkers = Links.workersOf(Place.Domain);
  Contacts.clear();
  for (const WorkerId &Worker : Gained.ExpectedWorkers)
    Contacts[Worker] = Now;
  giveScheduler(Gained);
  NextContact = Now;
}

void WorldDaemon::perform(const PermissionAction &Action) {
  if (std::holds_alternative<ConfirmRoot>(Action)) {
    GetRequest Root{std::string(ConfigurationRootKey)};
    ask(Part::Root, {StoreTag(), std::move(Root), RootLimit});
  } else if (std::holds_alternative<AskOwners>(Action)) {
    askOwners();
  } else if (const auto *Until = std::get_if<StartUntilChanged>(&Action)) {
    giveScheduler(PermissionRenewed{Until->StartUntil});
  }
}

void WorldDaemon::askOwners() {
  TimePoint AskedAt = Now;
  std::uint32_t Me = Place.Index;
  WorldLinks &Carrier = Links;
  for (std::uint32_t To = 0; To != Place.Domains * Place.PerDomain; ++To) {
    if (To / Place.PerDomain == Place.Domain)
      continue;
    Links.send(Me, To, [Me, To, AskedAt, &Carrier](WorldDaemon &Other) {
      if (!Other.Owner.owns(Other.Now) || !Other.Permission.mayVote(Other.Now))
        return;
      OwnerVersionReported Said{worldDomain(Other.Place.Domain),
                                Other.Replica.version(), AskedAt};
      Carrier.send(To, Me, [Said](WorldDaemon &Asker) { Asker.permit(Said); });
    });
  }
}

void WorldDaemon::sendHeartbeats() {
  Heartbeat Beat{Place.Index, Replica.version(), Owner.claim(), {}};
  if (Owner.owns(Now))
    ClaimHeardAt = Now;
  Beat.ClaimAge = Now - ClaimHeardAt;
  for (std::uint32_t I = 0; I != Place.PerDomain; ++I) {
    std::uint32_t To = Place.Domain * Place.PerDomain + I;
    if (To != Place.Index)
      Links.send(Place.Index, To,
                 [Beat](WorldDaemon &Other) { Other.heard(Beat); });
  }
  std::uint32_t Far = Dice.below(Place.Domains * Place.PerDomain);
  if (Far / Place.PerDomain != Place.Domain)
    Links.send(Place.Index, Far,
               [Beat](WorldDaemon &Other) { Other.heard(Beat); });
}

void WorldDaemon::heard(const Heartbeat &Beat) {
  replicaEvent(PeerVersionReported{worldDaemon(Beat.From), Beat.Version});
  if (Beat.From / Place.PerDomain != Place.Domain)
    return;
  HeardFrom[Beat.From] = Now;
  if (!Beat.Claim)
    return;
  ClaimHeardAt = std::max(ClaimHeardAt, Now - Beat.ClaimAge);
  owner(ClaimReceived{*Beat.Claim, Beat.ClaimAge});
}

void WorldDaemon::updateMembers() {
  std::vector<DaemonId> Members{worldDaemon(Place.Index)};
  for (const auto &[Daemon, At] : HeardFrom)
    if (Now - At <= MemberTime)
      Members.push_back(worldDaemon(Daemon));
  std::vector<DaemonId> Order =
      successionOrder(worldDomain(Place.Domain), Members);
  owner(DomainMembersChanged{std::move(Members)});
  replicaEvent(
      WatcherChanged{configurationWatcher(Order) == worldDaemon(Place.Index)});
}

TimePoint WorldDaemon::heardDomainAt() const {
  std::vector<TimePoint> Times{Now};
  for (const auto &Entry : HeardFrom)
    Times.push_back(Entry.second);
  std::sort(Times.begin(), Times.end(), std::greater<>());
  std::size_t Majority = Place.PerDomain / 2 + 1;
  return Times.size() >= Majority ? Times[Majority - 1] : TimePoint::min();
}

void WorldDaemon::submit(JobId Job) {
  if (!owns())
    return;
  journal(JournalAccept{Job, std::to_string(Job.value())});
}

void WorldDaemon::publish(std::uint32_t Domain, bool In) {
  ConfigurationSnapshotPtr Snapshot = Replica.snapshot();
  if (!Snapshot)
    return;
  Publication Next{Snapshot->Manifest.Version,
                   Snapshot->Manifest.Version.next(), Snapshot->Payload,
                   "operator", ""};
  Next.Payload.at(Domain) = In ? '1' : '0';
  WriteIdentity Identity{Incarnation(Place.Process),
                         (1ULL << 32) + ++Publications};
  Changing.emplace(Change{ConfigurationPublisher(std::move(Next), Identity),
                          Domain, In, std::nullopt, false});
  ask(Part::Publisher, Changing->Publisher.start());
}

void WorldDaemon::confirmChange() {
  if (!Changing || Changing->Told || Now < NextConfirm ||
      !Changing->Publisher.result())
    return;
  const PublishResult &Result = *Changing->Publisher.result();
  if (Result.Status != PublishStatus::Accepted)
    return;
  NextConfirm = Now + ConfirmInterval;
  ConfigVersion Version = Result.Version;
  if (!Changing->Tracker) {
    std::vector<DomainId> All;
    for (std::uint32_t I = 0; I != Place.Domains; ++I)
      All.push_back(worldDomain(I));
    Changing->Tracker.emplace(Version, All, std::vector<DaemonId>());
  }
  std::uint32_t Me = Place.Index;
  WorldLinks &Carrier = Links;
  TimePoint AskedAt = Now;
  for (std::uint32_t To = 0; To != Place.Domains * Place.PerDomain; ++To) {
    Links.send(
        Me, To, [Me, To, Version, AskedAt, &Carrier](WorldDaemon &Other) {
          Other.replicaEvent(PeerVersionReported{worldDaemon(Me), Version});
          bool Votes = Other.Owner.owns(Other.Now) &&
                       Other.Permission.mayVote(Other.Now) &&
                       Other.Replica.version() >= Version;
          if (!Votes)
            return;
          DomainId Domain = worldDomain(Other.Place.Domain);
          Epoch Term = Other.Owner.term();
          Carrier.send(To, Me,
                       [Domain, Term, Version, AskedAt](WorldDaemon &Asker) {
                         if (Asker.Changing && Asker.Changing->Tracker)
                           Asker.Changing->Tracker->ownerConfirmed(
                               Domain, Term, Version, AskedAt, Asker.Now);
                       });
        });
  }
  OutOfServicePhase Phase = Changing->Tracker->report(Now).Phase;
  if (Phase == OutOfServicePhase::Recorded)
    return;
  Changing->Told = true;
  if (!Changing->In)
    Links.outAccepted(Changing->Domain, Version);
}

void WorldDaemon::sessions() {
  if (Now < NextContact)
    return;
  NextContact = Now + ContactInterval;
  Links.contactWorkers(Place.Index, Owner.term());
  Duration Silence = worldScheduler().SessionLease + ContactInterval;
  std::vector<WorkerId> Gone;
  for (const auto &[Worker, At] : Contacts)
    if (Now - At >= Silence)
      Gone.push_back(Worker);
  for (const WorkerId &Worker : Gone) {
    Contacts.erase(Worker);
    giveScheduler(WorkerDeparted{Worker});
  }
}

void WorldDaemon::workerContacted(const WorkerInventory &Inventory) {
  if (!owns())
    return;
  Contacts[Inventory.Info.Id] = Now;
  giveScheduler(WorkerJoined{Inventory});
}

void WorldDaemon::workerRefused(Epoch Newest) {
  owner(WorkerEpochReported{Newest});
}

std::shared_ptr<const Configuration> WorldDaemon::configuration() const {
  auto Config = std::make_shared<Configuration>();
  const ConfigurationSnapshotPtr &Snapshot = Replica.snapshot();
  Config->Version = Snapshot->Manifest.Version;
  for (std::uint32_t I = 0; I != Place.Domains; ++I) {
    FailureDomain Domain;
    Domain.Id = worldDomain(I);
    Domain.In = Snapshot->Payload.at(I) == '1';
    Domain.Drain = DrainPolicy::Finish;
    Config->Domains[Domain.Id] = Domain;
  }
  WorkspaceId Everyone("alpha");
  Config->Workspaces[Everyone] = Workspace{Everyone, {}, 1.0, {}};
  return Config;
}

} // namespace banyanworks::testing
