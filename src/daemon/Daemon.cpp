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

constexpr auto TimerStep = std::chrono::milliseconds(10);
constexpr auto DrainStep = std::chrono::milliseconds(20);
constexpr Duration HandOverLimit = std::chrono::seconds(3);
/// Calls to the store that one daemon has in progress at most.
constexpr unsigned MostStoreCalls = 32;
/// Requests to endpoints that one daemon has in progress at most.
constexpr unsigned MostAttempts = 512;

/// Grows from process to process at one address.
Incarnation thisLife() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(std::chrono::duration_cast<Duration>(SinceEpoch).count());
}

} // namespace

struct Daemon::Impl {
  Settings Values;
  Metrics Counters;
  HttpClient ControlClient;
  HttpClient AttemptClient;
  Executor Pool;
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
  Telemetry Watcher;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Stopping = false;
  std::thread Timer;

  explicit Impl(Settings Given);

  PeerState describe();
  RouterPeers routerPeers();
  OwnershipLoop::Listener ownershipListener();
  ConfigurationSync::Listener configurationListener();
  void beat();
  void runTimer();
};

Daemon::Impl::Impl(Settings Given)
    : Values(std::move(Given)), Pool(Values.Threads), Attempts(MostAttempts),
      StoreCalls(MostStoreCalls),
      Store(StoreAdapterRegistry::instance().make(Values.StoreAdapter,
                                                  ControlClient, Values.Store),
            Counters),
      Workers(WorkerAdapterRegistry::instance().make(Values.WorkerAdapter,
                                                     ControlClient)),
      Endpoints(EndpointAdapterRegistry::instance().make(Values.EndpointAdapter,
                                                         AttemptClient)),
      Shared{Values,     DaemonId(Values.InternalListen),
             thisLife(), ControlClient,
             Store,      Pool,
             Counters},
      Jobs(Shared, *Workers,
           [this](Epoch Term) {
             // The machine takes locks that are held while this is called.
             Pool.run("ownership", [this, Term] {
               Ownership.handle(WorkerEpochReported{Term});
             });
           }),
      Operations(Store, StoreCalls, Shared.Life.value()),
      Ownership(Shared, Operations, ownershipListener()),
      Peers(Shared,
            {[this] { return describe(); }, [this] { beat(); },
             [this](const PeerState &State) { Coordination.heard(State); }}),
      Sync(Shared, Operations, Holder, configurationListener()),
      Coordination(Shared, Peers, Ownership, Sync, Holder), Claims(Store),
      Requests(Shared, *Endpoints, Claims, Attempts, routerPeers()),
      Gateway(Shared, Holder, Jobs, Ownership, Peers),
      ConfigurationRoutes(Shared, Holder, Sync, Peers),
      WorkRoutes(Shared, Holder, Gateway, Requests, Peers,
                 [this] { return Draining.load(); }),
      InternalRoutes(Shared, Jobs, Ownership, Peers, Gateway, Requests),
      Watcher(Shared, Jobs, Requests, InternalServer) {
  Holder.subscribe([this](const ConfigurationHolder::Pointer &Next) {
    Jobs.configurationChanged(Next);
    Requests.configurationChanged(Next);
  });
  ConfigurationRoutes.addRoutes(PublicServer);
  WorkRoutes.addRoutes(PublicServer);
  Watcher.addRoutes(PublicServer, [this] {
    return !Draining && Holder.current()->Version.value() > 0;
  });
  InternalRoutes.addRoutes(InternalServer);
}

PeerState Daemon::Impl::describe() {
  PeerState State;
  State.Daemon = Shared.Self;
  State.Life = Shared.Life;
  State.Domain = Values.Domain;
  State.Listen = Values.Listen;
  State.Version = Holder.current()->Version;
  State.Owner = Ownership.owner();
  State.Draining = Draining;
  TimePoint Now = steadyNow();
  TimePoint Until = Sync.startUntil();
  State.StartPermission = Until <= Now ? Duration(0) : Until - Now;
  return State;
}

RouterPeers Daemon::Impl::routerPeers() {
  return {[this](const DaemonId &To, const PeerMessage &Message) {
            InternalRoutes.sendRouterMessage(To, Message);
          },
          [this](const DaemonId &From, const ServiceId &Service,
                 const WorkspaceId &Workspace, const IdempotencyKey &Key) {
            return InternalRoutes.fetchKeptAnswer(From, Service, Workspace,
                                                  Key);
          }};
}

OwnershipLoop::Listener Daemon::Impl::ownershipListener() {
  return {[this](Epoch Term, bool StoreAnswers) {
            Sync.watches(true);
            Peers.announce();
            Jobs.gainOwnership(Term, StoreAnswers);
          },
          [this] {
            Jobs.loseOwnership();
            Sync.watches(false);
          },
          [this](const OwnerClaim &Claim) { Coordination.announce(Claim); },
          [this](const DaemonId &Successor, const OwnerClaim &From) {
            Coordination.offer(Successor, From);
          }};
}

ConfigurationSync::Listener Daemon::Impl::configurationListener() {
  return {[this](TimePoint Until) { Jobs.permissionRenewed(Until); },
          [this] { Coordination.askOwners(); }, [this] { Peers.announce(); },
          [this](const DaemonId &Peer) { Coordination.pull(Peer); }};
}

/// Tells the machines which peers live.
void Daemon::Impl::beat() {
  std::vector<PeerInfo> Living;
  for (const PeerEntry &Peer : Peers.peers())
    if (Peer.Alive)
      Living.push_back({Peer.State.Daemon, Peer.State.Domain});
  Requests.peersChanged(Living);
  Coordination.tellMembers();
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
    std::this_thread::sleep_for(TimerStep);
  }
}

Daemon::Daemon(Settings Values)
    : Self(std::make_unique<Impl>(std::move(Values))) {}

Daemon::~Daemon() = default;

Outcome<void> Daemon::start() {
  Impl &Parts = *Self;
  Outcome<void> Opened = Parts.InternalServer.start(Parts.Values.InternalListen,
                                                    Parts.Values.MaxBody);
  if (!Opened)
    return Opened;
  Opened = Parts.PublicServer.start(Parts.Values.Listen, Parts.Values.MaxBody);
  if (!Opened)
    return Opened;
  Parts.Timer = std::thread([&Parts] { Parts.runTimer(); });
  Parts.Peers.start();
  logInfo("started", {{"domain", Parts.Values.Domain.str()},
                      {"listen", Parts.Values.Listen},
                      {"internal", Parts.Values.InternalListen}});
  return {};
}

bool Daemon::drainAndStop() {
  Impl &Parts = *Self;
  Parts.Draining = true;
  logInfo("draining", {{"open", std::to_string(Parts.Requests.open())}});
  // Until the balancer has noticed, requests still arrive and are served.
  std::this_thread::sleep_for(Parts.Values.BalancerDelay);
  Parts.Requests.shutDown();
  TimePoint Limit = steadyNow() + Parts.Values.DrainLimit;
  while (Parts.Requests.open() > 0 && steadyNow() < Limit)
    std::this_thread::sleep_for(DrainStep);
  Parts.Ownership.shutDown(HandOverLimit);
  TimePoint Now = steadyNow();
  bool Whole = Parts.PublicServer.drain(
      std::max<Duration>(std::chrono::seconds(1), Limit - Now));
  Parts.PublicServer.stop();
  Parts.Peers.stop();
  Parts.Stopping = true;
  Parts.Timer.join();
  Parts.InternalServer.stop();
  Parts.ControlClient.abort();
  Parts.Attempts.stop();
  Parts.StoreCalls.stop();
  Parts.Pool.stop();
  logInfo("stopped", {{"cut", Whole ? "0" : "some"}});
  return Whole;
}

} // namespace banyanworks
