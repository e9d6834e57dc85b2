/// \file
/// Implements RequestPlane.
#include "daemon/RequestPlane.h"

#include "daemon/Context.h"
#include "daemon/Refusal.h"
#include "daemon/ServiceShard.h"
#include "edge/Metrics.h"
#include "edge/PeerMessageJson.h"

namespace banyanworks {

RequestPlane::RequestPlane(Context &Shared, EndpointAdapter &Endpoints,
                           ClaimLog &Claims, Executor &Attempts,
                           RouterPeers Peers)
    : Shared(Shared), Endpoints(Endpoints), Claims(Claims), Attempts(Attempts),
      Peers(std::move(Peers)) {}

RequestPlane::~RequestPlane() = default;

void RequestPlane::configurationChanged(
    const std::shared_ptr<const Configuration> &NewConfiguration) {
  std::vector<std::shared_ptr<ServiceShard>> Added;
  std::vector<PeerInfo> CurrentPeers;
  {
    std::lock_guard Guard(Lock);
    Config = NewConfiguration;
    CurrentPeers = KnownPeers;
    for (const auto &[Id, Declared] : NewConfiguration->Services) {
      if (Shards.contains(Id))
        continue;
      Added.push_back(std::make_shared<ServiceShard>(Shared, Endpoints, Claims,
                                                     Attempts, Peers, Id));
      Shards[Id] = Added.back();
    }
  }
  for (const auto &Shard : allShards())
    Shard->post(ConfigurationChanged{NewConfiguration});
  for (const auto &Shard : Added)
    Shard->post(PeersChanged{CurrentPeers});
}

void RequestPlane::peersChanged(const std::vector<PeerInfo> &NewPeers) {
  {
    std::lock_guard Guard(Lock);
    if (KnownPeers == NewPeers)
      return;
    KnownPeers = NewPeers;
  }
  for (const auto &Shard : allShards())
    Shard->post(PeersChanged{NewPeers});
}

void RequestPlane::handlePeerMessage(const PeerMessage &Message) {
  if (auto Shard = findShard(serviceOf(Message)))
    Shard->post(PeerMessageReceived{Message});
}

HttpResponse RequestPlane::serve(const CallerRequest &Request) {
  std::shared_ptr<const Configuration> InForce;
  bool RefuseNew = false;
  {
    std::lock_guard Guard(Lock);
    InForce = Config;
    RefuseNew = ShuttingDown;
  }
  Reason Cause = Reason::None;
  const Service *Declared = nullptr;
  const Method *RequestedMethod = nullptr;
  if (InForce && InForce->Services.contains(Request.Service)) {
    Declared = &InForce->Services.at(Request.Service);
    auto Found = Declared->Methods.find(Request.Method);
    RequestedMethod =
        Found == Declared->Methods.end() ? nullptr : &Found->second;
  }
  if (RefuseNew)
    Cause = Reason::ShuttingDown;
  else if (!Declared)
    Cause = Reason::UnknownService;
  else if (!RequestedMethod)
    Cause = Reason::UnknownMethod;
  if (Cause != Reason::None) {
    Shared.Counters.recordRefusal(Cause);
    return refusal(Cause);
  }
  return findShard(Request.Service)
      ->serve(Request, *RequestedMethod, Declared->Workspace);
}

std::optional<HttpResponse>
RequestPlane::retainedAnswer(const ServiceId &Service,
                             const WorkspaceId &Workspace,
                             const IdempotencyKey &Key) {
  auto Shard = findShard(Service);
  return Shard ? Shard->retainedAnswer(Workspace, Key) : std::nullopt;
}

void RequestPlane::shutDown() {
  {
    std::lock_guard Guard(Lock);
    ShuttingDown = true;
  }
  for (const auto &Shard : allShards())
    Shard->post(Shutdown{});
}

std::size_t RequestPlane::openRequests() const {
  std::size_t Total = 0;
  for (const auto &Shard : allShards())
    Total += Shard->openRequests();
  return Total;
}

void RequestPlane::tick() {
  for (const auto &Shard : allShards())
    Shard->tick();
}

std::vector<ServiceSnapshot> RequestPlane::snapshot() const {
  std::vector<ServiceSnapshot> Result;
  for (const auto &Shard : allShards())
    Result.push_back(Shard->snapshot());
  return Result;
}

std::shared_ptr<ServiceShard>
RequestPlane::findShard(const ServiceId &Service) const {
  std::lock_guard Guard(Lock);
  auto Found = Shards.find(Service);
  return Found == Shards.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<ServiceShard>> RequestPlane::allShards() const {
  std::lock_guard Guard(Lock);
  std::vector<std::shared_ptr<ServiceShard>> Result;
  for (const auto &[Id, Shard] : Shards)
    Result.push_back(Shard);
  return Result;
}

} // namespace banyanworks
