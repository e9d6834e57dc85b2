/// \file
/// Defines RequestPlane, which runs one ServiceShard for each service and
/// dispatches requests, peer messages and configuration changes to them.
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

/// A request as received from a caller.
struct CallerRequest {
  ServiceId Service;
  MethodId Method;
  IdempotencyKey Key;
  /// The time the caller waits for the answer; zero selects the deadline of the
  /// method.
  Duration Timeout{};
  std::string ContentType;
  std::string Body;
  std::string Origin;
};

/// The calls of the request plane to other daemons.
struct RouterPeers {
  std::function<void(const DaemonId &, const PeerMessage &)> Send;
  /// Fetches the answer that another daemon retained under a key; empty if it
  /// has none.
  std::function<std::optional<HttpResponse>(const DaemonId &, const ServiceId &,
                                            const WorkspaceId &,
                                            const IdempotencyKey &)>
      FetchRetainedAnswer;
};

/// The state of one service's router as shown to operators.
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

  void configurationChanged(
      const std::shared_ptr<const Configuration> &NewConfiguration);
  void peersChanged(const std::vector<PeerInfo> &Peers);
  void handlePeerMessage(const PeerMessage &Message);

  /// Blocks until the request has its final answer.
  HttpResponse serve(const CallerRequest &Request);

  /// The answer retained under a key, for another daemon that received a retry
  /// of the request. Empty if there is none.
  std::optional<HttpResponse> retainedAnswer(const ServiceId &Service,
                                             const WorkspaceId &Workspace,
                                             const IdempotencyKey &Key);

  /// Refuses new requests and lets the shards drain.
  void shutDown();
  /// The number of requests that have no final answer yet.
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
