/// \file
/// Defines WorkApi, the routes for jobs and requests and the operators' status
/// views.
#ifndef BANYANWORKS_DAEMON_WORKAPI_H
#define BANYANWORKS_DAEMON_WORKAPI_H

#include "edge/Http.h"

#include <functional>

#include <nlohmann/json_fwd.hpp>

namespace banyanworks {

class ConfigurationHolder;
class DomainGateway;
class HttpServer;
class PeerLink;
class RequestPlane;
struct Context;

/// Serves /v1/jobs, /v1/services, /v1/workers, /v1/workspaces, /v1/endpoints
/// and /v1/status.
class WorkApi {
public:
  WorkApi(Context &Shared, ConfigurationHolder &Holder, DomainGateway &Gateway,
          RequestPlane &Requests, PeerLink &Peers,
          std::function<bool()> Draining);

  void addRoutes(HttpServer &Server);

private:
  HttpResponse submit(const HttpRequest &Request);
  HttpResponse routeJobOperation(const HttpRequest &Request,
                                 const char *Operation);
  HttpResponse call(const HttpRequest &Request);
  HttpResponse endpoints();
  HttpResponse status();
  HttpResponse workspaces();
  nlohmann::json daemons();

  Context &Shared;
  ConfigurationHolder &Holder;
  DomainGateway &Gateway;
  RequestPlane &Requests;
  PeerLink &Peers;
  std::function<bool()> Draining;
};

} // namespace banyanworks

#endif
