/// \file
/// Defines DomainGateway, which brings operations on a failure domain to the
/// daemon that schedules it.
#ifndef BANYANWORKS_DAEMON_DOMAINGATEWAY_H
#define BANYANWORKS_DAEMON_DOMAINGATEWAY_H

#include "base/Ids.h"
#include "edge/Http.h"

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace banyanworks {

class ConfigurationHolder;
class JobPlane;
class OwnershipLoop;
class PeerLink;
struct Context;

/// Carries out operations here or forwards them once.
class DomainGateway {
public:
  DomainGateway(Context &Shared, ConfigurationHolder &Holder, JobPlane &Jobs,
                OwnershipLoop &Ownership, PeerLink &Peers);

  /// Brings an operation to the owner of \p Domain. While the owner changes or
  /// does not answer it is tried again for a few seconds; each operation may
  /// be, since a job is accepted once by its id.
  HttpResponse route(const DomainId &Domain, const nlohmann::json &Operation);

  /// Brings an operation to the owners of all failure domains; the result has
  /// the answers in "domains" and the names that did not answer in
  /// "unreachable".
  nlohmann::json routeToAll(const nlohmann::json &Operation);

  /// The first failure domain that knows the job answers.
  HttpResponse routeToJob(const nlohmann::json &Operation);

  /// Carries out a peer's operation; takes and returns JSON.
  std::string serve(const std::string &Parameters);

private:
  HttpResponse tryRoute(const DomainId &Domain,
                        const nlohmann::json &Operation);
  HttpResponse execute(const nlohmann::json &Operation);
  HttpResponse submit(const nlohmann::json &Operation);
  HttpResponse executeOnJob(const nlohmann::json &Operation);

  Context &Shared;
  ConfigurationHolder &Holder;
  JobPlane &Jobs;
  OwnershipLoop &Ownership;
  PeerLink &Peers;
};

} // namespace banyanworks

#endif
