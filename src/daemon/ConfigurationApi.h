/// \file
/// Defines ConfigurationApi, the operators' routes for the configuration, its
/// history, and putting failure domains in and out of service.
#ifndef BANYANWORKS_DAEMON_CONFIGURATIONAPI_H
#define BANYANWORKS_DAEMON_CONFIGURATIONAPI_H

#include "base/Error.h"
#include "base/Ids.h"
#include "edge/Http.h"

namespace banyanworks {

class ConfigurationHolder;
class ConfigurationSync;
class HttpServer;
class PeerLink;
struct Context;

/// Serves /v1/configuration and /v1/domains.
class ConfigurationApi {
public:
  ConfigurationApi(Context &Shared, ConfigurationHolder &Holder,
                   ConfigurationSync &Sync, PeerLink &Peers);

  void addRoutes(HttpServer &Server);

private:
  HttpResponse show();
  HttpResponse publish(const HttpRequest &Request);
  HttpResponse history();
  HttpResponse domains();
  HttpResponse setInService(const HttpRequest &Request, bool InService);
  Outcome<ConfigVersion> publishServiceChange(const DomainId &Domain,
                                              bool InService,
                                              const std::string &Author);
  /// Waits until every known daemon has the version or the wait times out. The
  /// response lists the daemons that have confirmed the version and those that
  /// have not.
  HttpResponse awaitConfirmations(ConfigVersion Version);

  Context &Shared;
  ConfigurationHolder &Holder;
  ConfigurationSync &Sync;
  PeerLink &Peers;
};

} // namespace banyanworks

#endif
