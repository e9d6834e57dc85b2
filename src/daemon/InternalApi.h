/// \file
/// Defines InternalApi, the routes for workers and peers.
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

/// Serves workers' reports and peers' JSON-RPC calls.
class InternalApi {
public:
  InternalApi(Context &Shared, JobPlane &Jobs, OwnershipLoop &Ownership,
              PeerLink &Peers, DomainGateway &Gateway, RequestPlane &Requests);

  void addRoutes(HttpServer &Server);

  /// Sends a router's message; it may be lost.
  void sendRouterMessage(const DaemonId &To, const PeerMessage &Message);

  /// Asks another daemon for the answer that it kept under a key.
  std::optional<HttpResponse> fetchRetainedAnswer(const DaemonId &From,
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
