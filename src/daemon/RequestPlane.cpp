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
    const std::shared_ptr<const Configuration> &Next) {
  std::vector<std::shared_ptr<ServiceShard>> Added;
  std::vector<PeerInfo> Known;
  {
    std::lock_guard Guard(Lock);
    Config = Next;
    Known = KnownPeers;
    for (const auto &[Id, Declared] : Next->Services) {
      if (Shards.contains(Id))
        continue;
      Added.push_back(std::make_shared<ServiceShard>(Shared, Endpoints, Claims,
                                                     Attempts, Peers, Id));
      Shards[Id] = Added.back();
    }
  }
  for (const auto &Shard : all())
    Shard->post(ConfigurationChanged{Next});
  for (const auto &Shard : Added)
    Shard->post(PeersChanged{Known});
}

void RequestPlane::peersChanged(const std::vector<PeerInfo> &Known) {
  {
    std::lock_guard Guard(Lock);
    if (KnownPeers == Known)
      return;
    KnownPeers = Known;
  }
  for (const auto &Shard : all())
    Shard->post(PeersChanged{Known});
}

void RequestPlane::received(const PeerMessage &Message) {
  if (auto Shard = find(serviceOf(Message)))
    Shard->post(PeerMessageReceived{Message});
}

HttpResponse RequestPlane::serve(const CallerRequest &Request) {
  std::shared_ptr<const Configuration> InForce;
  bool Refuse = false;
  {
    std::lock_guard Guard(Lock);
    InForce = Config;
    Refuse = ShuttingDown;
  }
  Reason Why = Reason::None;
  const Service *Declared = nullptr;
  const Method *Asked = nullptr;
  if (InForce && InForce->Services.contains(Request.Service)) {
    Declared = &InForce->Services.at(Request.Service);
    auto Found = Declared->Methods.find(Request.Method);
    Asked = Found == Declared->Methods.end() ? nullptr : &Found->second;
  }
  if (Refuse)
    Why = Reason::ShuttingDown;
  else if (!Declared)
    Why = Reason::UnknownService;
  else if (!Asked)
    Why = Reason::UnknownMethod;
  if (Why != Reason::None) {
    Shared.Counters.recordRefusal(Why);
    return refusal(Why);
  }
  return find(Request.Service)->serve(Request, *Asked, Declared->Workspace);
}

std::optional<HttpResponse>
RequestPlane::keptAnswer(const ServiceId &Service, const WorkspaceId &Workspace,
                         const IdempotencyKey &Key) {
  auto Shard = find(Service);
  return Shard ? Shard->keptAnswer(Workspace, Key) : std::nullopt;
}

void RequestPlane::shutDown() {
  {
    std::lock_guard Guard(Lock);
    ShuttingDown = true;
  }
  for (const auto &Shard : all())
    Shard->post(Shutdown{});
}

std::size_t RequestPlane::open() const {
  std::size_t Sum = 0;
  for (const auto &Shard : all())
    Sum += Shard->open();
  return Sum;
}

void RequestPlane::tick() {
  for (const auto &Shard : all())
    Shard->tick();
}

std::vector<ServiceSnapshot> RequestPlane::snapshot() const {
  std::vector<ServiceSnapshot> Result;
  for (const auto &Shard : all())
    Result.push_back(Shard->snapshot());
  return Result;
}

std::shared_ptr<ServiceShard>
RequestPlane::find(const ServiceId &Service) const {
  std::lock_guard Guard(Lock);
  auto Found = Shards.find(Service);
  return Found == Shards.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<ServiceShard>> RequestPlane::all() const {
  std::lock_guard Guard(Lock);
  std::vector<std::shared_ptr<ServiceShard>> Result;
  for (const auto &[Id, Shard] : Shards)
    Result.push_back(Shard);
  return Result;
}

} // namespace banyanworks
