/// \file
/// Implements Daemon.
#include "daemon/Daemon.h"

#include "daemon/ClaimLog.h"
#include "daemon/ConfigurationApi.h"
#include "daemon/ConfigurationHolder.h"
#include "daemon/ConfigurationSync.h"
#include "daemon/Context.h"
#include "daemon/CoordinationApi.h"
#include "daemon/DomainGateway.h"
#include "daemon/InternalApi.h"
#include "daemon/JobPlane.h"
#include "daemon/OwnershipLoop.h"
#include "daemon/PeerLink.h"
#include "daemon/RequestPlane.h"
#include "daemon/StoreLink.h"
#include "daemon/StoreOperations.h"
#include "daemon/Telemetry.h"
#include "daemon/WorkApi.h"
#include "edge/EndpointAdapter.h"
#include "edge/Executor.h"
#include "edge/HttpClient.h"
#include "edge/HttpServer.h"
#include "edge/Log.h"
#include "edge/Metrics.h"
#include "edge/PeerMessageJson.h"
#include "edge/SteadyClock.h"
#include "edge/WorkerAdapter.h"

#include <atomic>
#include <thread>

namespace banyanworks {

namespace {

constexpr auto TimerInterval = std::chrono::milliseconds(10);
constexpr auto DrainPollInterval = std::chrono::milliseconds(20);
constexpr Duration HandOverTimeout = std::chrono::seconds(3);
/// The most calls to the store in progress at once.
constexpr unsigned MaxStoreCalls = 32;
/// The most requests to endpoints in progress at once.
constexpr unsigned MaxAttempts = 512;

/// Returns the wall-clock time in microseconds, so that incarnations increase
/// from process to process at one address.
Incarnation newIncarnation() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(std::chrono::duration_cast<Duration>(SinceEpoch).count());
}

} // namespace

struct Daemon::Impl {
  Settings Values;
  Metrics Counters;
  HttpClient ControlClient;
  HttpClient AttemptClient;
  Executor ControlExecutor;
  Executor Attempts;
  Executor StoreCalls;
  StoreLink Store;
  std::unique_ptr<WorkerAdapter> Workers;
  std::unique_ptr<EndpointAdapter> Endpoints;
  Context Shared;
  ConfigurationHolder Holder;
  JobPlane Jobs;
  StoreOperations Operations;
  OwnershipLoop Ownership;
  PeerLink Peers;
  ConfigurationSync Sync;
  CoordinationApi Coordination;
  ClaimLog Claims;
  RequestPlane Requests;
  DomainGateway Gateway;
  HttpServer PublicServer;
  HttpServer InternalServer;
  ConfigurationApi ConfigurationRoutes;
  WorkApi WorkRoutes;
  InternalApi InternalRoutes;
  Telemetry TelemetryRoutes;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Stopping = false;
  std::thread Timer;

  explicit Impl(Settings InitialSettings);

  PeerState localPeerState();
  RouterPeers routerPeers();
  OwnershipLoop::Callbacks ownershipCallbacks();
  ConfigurationSync::Callbacks configurationCallbacks();
  void updateAlivePeers();
  void runTimer();
};

Daemon::Impl::Impl(Settings InitialSettings)
    : Values(std::move(InitialSettings)), ControlExecutor(Values.Threads),
      Attempts(MaxAttempts), StoreCalls(MaxStoreCalls),
      Store(StoreAdapterRegistry::instance().make(Values.StoreAdapter,
                                                  ControlClient, Values.Store),
            Counters),
      Workers(WorkerAdapterRegistry::instance().make(Values.WorkerAdapter,
                                                     ControlClient)),
      Endpoints(EndpointAdapterRegistry::instance().make(Values.EndpointAdapter,
                                                         AttemptClient)),
      Shared{Values,
             DaemonId(Values.InternalListen),
             newIncarnation(),
             ControlClient,
             Store,
             ControlExecutor,
             Counters},
      Jobs(Shared, *Workers,
           [this](Epoch Term) {
             // Ownership takes locks that may be held when JobPlane calls this.
             ControlExecutor.run("ownership", [this, Term] {
               Ownership.handle(WorkerEpochReported{Term});
             });
           }),
      Operations(Store, StoreCalls, Shared.SelfIncarnation.value()),
      Ownership(Shared, Operations, ownershipCallbacks()),
      Peers(Shared, {[this] { return localPeerState(); },
                     [this] { updateAlivePeers(); },
                     [this](const PeerState &State) {
                       Coordination.handlePeerState(State);
                     }}),
      Sync(Shared, Operations, Holder, configurationCallbacks()),
      Coordination(Shared, Peers, Ownership, Sync, Holder), Claims(Store),
      Requests(Shared, *Endpoints, Claims, Attempts, routerPeers()),
      Gateway(Shared, Holder, Jobs, Ownership, Peers),
      ConfigurationRoutes(Shared, Holder, Sync, Peers),
      WorkRoutes(Shared, Holder, Gateway, Requests, Peers,
                 [this] { return Draining.load(); }),
      InternalRoutes(Shared, Jobs, Ownership, Peers, Gateway, Requests),
      TelemetryRoutes(Shared, Jobs, Requests, InternalServer) {
  Holder.subscribe([this](const ConfigurationHolder::Pointer &Next) {
    Jobs.configurationChanged(Next);
    Requests.configurationChanged(Next);
  });
  ConfigurationRoutes.addRoutes(PublicServer);
  WorkRoutes.addRoutes(PublicServer);
  TelemetryRoutes.addRoutes(PublicServer, [this] {
    return !Draining && Holder.current()->Version.value() > 0;
  });
  InternalRoutes.addRoutes(InternalServer);
}

PeerState Daemon::Impl::localPeerState() {
  PeerState State;
  State.Daemon = Shared.Self;
  State.DaemonIncarnation = Shared.SelfIncarnation;
  State.Domain = Values.Domain;
  State.Listen = Values.Listen;
  State.Version = Holder.current()->Version;
  State.Owner = Ownership.owner();
  State.Draining = Draining;
  TimePoint Now = steadyNow();
  TimePoint PermittedUntil = Sync.startUntil();
  State.StartPermission =
      PermittedUntil <= Now ? Duration(0) : PermittedUntil - Now;
  return State;
}

RouterPeers Daemon::Impl::routerPeers() {
  return {[this](const DaemonId &Recipient, const PeerMessage &Message) {
            InternalRoutes.sendRouterMessage(Recipient, Message);
          },
          [this](const DaemonId &HolderDaemon, const ServiceId &Service,
                 const WorkspaceId &Workspace, const IdempotencyKey &Key) {
            return InternalRoutes.fetchRetainedAnswer(HolderDaemon, Service,
                                                      Workspace, Key);
          }};
}

OwnershipLoop::Callbacks Daemon::Impl::ownershipCallbacks() {
  return {
      [this](Epoch Term, bool StoreAnswers) {
        Sync.setWatching(true);
        Peers.announce();
        Jobs.gainOwnership(Term, StoreAnswers);
      },
      [this] {
        Jobs.loseOwnership();
        Sync.setWatching(false);
      },
      [this](const OwnerClaim &Claim) { Coordination.announceClaim(Claim); },
      [this](const DaemonId &Successor, const OwnerClaim &CurrentClaim) {
        Coordination.offerHandOver(Successor, CurrentClaim);
      }};
}

ConfigurationSync::Callbacks Daemon::Impl::configurationCallbacks() {
  return {[this](TimePoint PermittedUntil) {
            Jobs.permissionRenewed(PermittedUntil);
          },
          [this] { Coordination.requestOwnerVersions(); },
          [this] { Peers.announce(); },
          [this](const DaemonId &Peer) { Coordination.pullSnapshot(Peer); }};
}

/// Passes the alive peers to the request plane and the ownership state machine.
void Daemon::Impl::updateAlivePeers() {
  std::vector<PeerInfo> AlivePeers;
  for (const PeerEntry &Peer : Peers.peers())
    if (Peer.Alive)
      AlivePeers.push_back({Peer.State.Daemon, Peer.State.Domain});
  Requests.peersChanged(AlivePeers);
  Coordination.updateMembers();
}

void Daemon::Impl::runTimer() {
  while (!Stopping) {
    Operations.tick();
    Ownership.tick();
    Sync.tick();
    if (Ownership.owns())
      Sync.handle(PermissionTick{});
    Jobs.tick();
    Requests.tick();
    std::this_thread::sleep_for(TimerInterval);
  }
}

Daemon::Daemon(Settings Values)
    : Parts(std::make_unique<Impl>(std::move(Values))) {}

Daemon::~Daemon() = default;

Outcome<void> Daemon::start() {
  Impl &Implementation = *Parts;
  Outcome<void> Opened = Implementation.InternalServer.start(
      Implementation.Values.InternalListen, Implementation.Values.MaxBody);
  if (!Opened)
    return Opened;
  Opened = Implementation.PublicServer.start(Implementation.Values.Listen,
                                             Implementation.Values.MaxBody);
  if (!Opened)
    return Opened;
  Implementation.Timer =
      std::thread([&Implementation] { Implementation.runTimer(); });
  Implementation.Peers.start();
  logInfo("started", {{"domain", Implementation.Values.Domain.str()},
                      {"listen", Implementation.Values.Listen},
                      {"internal", Implementation.Values.InternalListen}});
  return {};
}

bool Daemon::drainAndStop() {
  Impl &Implementation = *Parts;
  Implementation.Draining = true;
  logInfo("draining",
          {{"open", std::to_string(Implementation.Requests.openRequests())}});
  // Requests still arrive and are served until the load balancer has seen that
  // the daemon is not ready.
  std::this_thread::sleep_for(Implementation.Values.BalancerDelay);
  Implementation.Requests.shutDown();
  TimePoint DrainDeadline = steadyNow() + Implementation.Values.DrainTimeout;
  while (Implementation.Requests.openRequests() > 0 &&
         steadyNow() < DrainDeadline)
    std::this_thread::sleep_for(DrainPollInterval);
  Implementation.Ownership.shutDown(HandOverTimeout);
  TimePoint Now = steadyNow();
  bool AllCompleted = Implementation.PublicServer.drain(
      std::max<Duration>(std::chrono::seconds(1), DrainDeadline - Now));
  Implementation.PublicServer.stop();
  Implementation.Peers.stop();
  Implementation.Stopping = true;
  Implementation.Timer.join();
  Implementation.InternalServer.stop();
  Implementation.ControlClient.abort();
  Implementation.Attempts.stop();
  Implementation.StoreCalls.stop();
  Implementation.ControlExecutor.stop();
  logInfo("stopped", {{"cut", AllCompleted ? "0" : "some"}});
  return AllCompleted;
}

} // namespace banyanworks
