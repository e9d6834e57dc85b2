/// \file
/// Defines InternalApi, the routes on the internal address for workers and
/// peers.
#ifndef BANYANWORKS_DAEMON_INTERNALAPI_H
#define BANYANWORKS_DAEMON_INTERNALAPI_H

#include "edge/Http.h"
#include "requests/PeerMessages.h"

#include <optional>
#include <string>

namespace banyanworks {

class DomainGateway;
class HttpServer;
class JobPlane;
class OwnershipLoop;
class PeerLink;
class RequestPlane;
struct Context;

/// Serves reports of workers and JSON-RPC calls of peers.
class InternalApi {
public:
  InternalApi(Context &Shared, JobPlane &Jobs, OwnershipLoop &Ownership,
              PeerLink &Peers, DomainGateway &Gateway, RequestPlane &Requests);

  void addRoutes(HttpServer &Server);

  /// Sends a router's message to a peer without blocking; delivery is not
  /// guaranteed.
  void sendRouterMessage(const DaemonId &Recipient, const PeerMessage &Message);

  /// Fetches the answer that another daemon retained under a key; blocks. Empty
  /// if the daemon does not have the answer or cannot be reached.
  std::optional<HttpResponse> fetchRetainedAnswer(const DaemonId &Holder,
                                                  const ServiceId &Service,
                                                  const WorkspaceId &Workspace,
                                                  const IdempotencyKey &Key);

private:
  HttpResponse handleReport(const HttpRequest &Request);
  std::string handleRouterMessage(const std::string &Parameters);
  std::string serveRetainedAnswer(const std::string &Parameters);

  Context &Shared;
  JobPlane &Jobs;
  OwnershipLoop &Ownership;
  PeerLink &Peers;
  DomainGateway &Gateway;
  RequestPlane &Requests;
};

} // namespace banyanworks

#endif
