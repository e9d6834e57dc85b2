/// \file
/// Defines ServiceShard, one service's router under its lock, with the bodies
/// and answers that the router only knows by their ids.
#ifndef BANYANWORKS_DAEMON_SERVICESHARD_H
#define BANYANWORKS_DAEMON_SERVICESHARD_H

#include "daemon/RequestPlane.h"
#include "edge/EndpointAdapter.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace banyanworks {

/// Runs one service's requests. May be used from several threads.
class ServiceShard : public std::enable_shared_from_this<ServiceShard> {
public:
  ServiceShard(Context &Shared, EndpointAdapter &Endpoints, ClaimLog &Claims,
               Executor &Attempts, const RouterPeers &Peers,
               const ServiceId &Service);

  /// Gives the router an event and carries out what it decides.
  void post(const RequestEvent &Event);
  /// Blocks until the request has its final answer.
  HttpResponse serve(const CallerRequest &Request, const Method &Declared,
                     const WorkspaceId &Workspace);
  std::optional<HttpResponse> keptAnswer(const WorkspaceId &Workspace,
                                         const IdempotencyKey &Key);
  void tick();
  std::size_t open() const;
  ServiceSnapshot snapshot() const;

private:
  /// A request without its final answer.
  struct OpenRequest {
    CallerRequest Request;
    WorkspaceId Workspace;
    bool Repeatable = false;
    /// Ends of attempts whose bodies may still be asked for.
    std::map<AttemptId, EndpointResult> Results;
    std::condition_variable Answered;
    std::optional<HttpResponse> Response;
  };
  using KeptId = std::pair<WorkspaceId, IdempotencyKey>;

  struct Performer;

  void perform(const std::vector<RequestAction> &Actions);
  void send(const SendAttempt &Action);
  void attemptOver(const SendAttempt &Action, EndpointResult Result);
  void answer(const Answer &Action);
  void respond(OpenRequest &Target, HttpResponse Response);
  void fetchKept(const RequestId &Request, const RetainedAnswer &Kept);
  void keep(const OpenRequest &Target, const HttpResponse &Response);
  void record(const RecordClaims &Action);
  void openLog(const OpenClaimLog &Action);
  void load(const LoadClaims &Action);

  Context &Daemon;
  EndpointAdapter &Endpoints;
  ClaimLog &Claims;
  Executor &Attempts;
  const RouterPeers &Peers;
  ServiceId Service;
  mutable std::mutex Lock;
  RequestRouter Router;
  std::map<RequestId, std::shared_ptr<OpenRequest>> Open;
  std::map<KeptId, HttpResponse> Kept;
  std::deque<KeptId> KeptOrder;
};

} // namespace banyanworks

#endif
