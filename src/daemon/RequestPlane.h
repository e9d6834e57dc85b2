/// \file
/// Defines RequestPlane, the shards of the request plane: one router a service,
/// each under its own lock, and the calls that their actions lead to.
#ifndef BANYANWORKS_DAEMON_REQUESTPLANE_H
#define BANYANWORKS_DAEMON_REQUESTPLANE_H

#include "edge/Http.h"
#include "model/Configuration.h"
#include "requests/RequestEvents.h"
#include "requests/RequestRouter.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace banyanworks {

class ClaimLog;
class EndpointAdapter;
class Executor;
class ServiceShard;
struct Context;

/// One caller's request as the API took it.
struct CallerRequest {
  ServiceId Service;
  MethodId Method;
  IdempotencyKey Key;
  /// How long the caller waits; zero for the method's own deadline.
  Duration Timeout{};
  std::string ContentType;
  std::string Body;
  std::string Origin;
};

/// What a request plane asks of other daemons.
struct RouterPeers {
  std::function<void(const DaemonId &, const PeerMessage &)> Send;
  /// The answer that another daemon kept under a key, if it has it.
  std::function<std::optional<HttpResponse>(const DaemonId &, const ServiceId &,
                                            const WorkspaceId &,
                                            const IdempotencyKey &)>
      FetchRetainedAnswer;
};

/// One service's router as operators see it.
struct ServiceSnapshot {
  ServiceId Service;
  RouterView Router;
  std::vector<EndpointView> Endpoints;
};

/// Routes requests. May be used from several threads.
class RequestPlane {
public:
  RequestPlane(Context &Shared, EndpointAdapter &Endpoints, ClaimLog &Claims,
               Executor &Attempts, RouterPeers Peers);
  ~RequestPlane();

  void configurationChanged(const std::shared_ptr<const Configuration> &Next);
  void peersChanged(const std::vector<PeerInfo> &Peers);
  void handlePeerMessage(const PeerMessage &Message);

  /// Blocks until the request has its final answer.
  HttpResponse serve(const CallerRequest &Request);

  /// The answer kept under a key, for another daemon that was asked again.
  std::optional<HttpResponse> retainedAnswer(const ServiceId &Service,
                                             const WorkspaceId &Workspace,
                                             const IdempotencyKey &Key);

  /// Refuses new requests from now on.
  void shutDown();
  /// Requests that have no answer yet.
  std::size_t openRequests() const;

  void tick();
  std::vector<ServiceSnapshot> snapshot() const;

private:
  std::shared_ptr<ServiceShard> findShard(const ServiceId &Service) const;
  std::vector<std::shared_ptr<ServiceShard>> allShards() const;

  Context &Shared;
  EndpointAdapter &Endpoints;
  ClaimLog &Claims;
  Executor &Attempts;
  RouterPeers Peers;
  mutable std::mutex Lock;
  std::shared_ptr<const Configuration> Config;
  std::vector<PeerInfo> KnownPeers;
  bool ShuttingDown = false;
  std::map<ServiceId, std::shared_ptr<ServiceShard>> Shards;
};

} // namespace banyanworks

#endif
