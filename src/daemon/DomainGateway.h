/// \file
/// Defines DomainGateway, which routes operations on a failure domain to the
/// daemon that owns it.
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

/// Executes operations if this daemon owns the failure domain, and otherwise
/// forwards them to the owner, which does not forward them again.
class DomainGateway {
public:
  DomainGateway(Context &Shared, ConfigurationHolder &Holder, JobPlane &Jobs,
                OwnershipLoop &Ownership, PeerLink &Peers);

  /// Routes an operation to the owner of \p Domain; blocks. While the owner
  /// changes or does not answer, a submission is retried for a few seconds, as
  /// is any operation after an attempt with an unknown outcome. Retries are
  /// safe, since each job id is accepted only once. Refuses with OutcomeUnknown
  /// if an attempt may have been executed.
  HttpResponse route(const DomainId &Domain, const nlohmann::json &Operation);

  /// Routes an operation to the owners of all failure domains. The result lists
  /// the responses in "domains" and the failure domains that did not respond in
  /// "unreachable".
  nlohmann::json routeToAll(const nlohmann::json &Operation);

  /// Routes an operation on a job to each failure domain in turn and returns
  /// the response of the first one that knows the job. Refuses with UnknownJob
  /// if none does, and with DomainUnreachable if some could not be asked.
  HttpResponse routeToJob(const nlohmann::json &Operation);

  /// Executes an operation that a peer forwarded; takes and returns JSON. The
  /// response is a refusal with NotOwner if this daemon does not own its
  /// failure domain.
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
