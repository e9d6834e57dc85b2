/// \file
/// Defines ConfigurationApi, the operators' routes: the configuration, its
/// history, and failure domains out and in.
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
  /// Waits until every living daemon has the version; tells which has not.
  HttpResponse awaitConfirmations(ConfigVersion Version);

  Context &Shared;
  ConfigurationHolder &Holder;
  ConfigurationSync &Sync;
  PeerLink &Peers;
};

} // namespace banyanworks

#endif
