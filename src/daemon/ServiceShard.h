/// \file
/// Defines ServiceShard, which runs one service's router under a lock and
/// stores the request bodies and answers that the router refers to by id.
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

  /// Passes an event to the router and carries out the resulting actions.
  void post(const RequestEvent &Event);
  /// Blocks until the request has its final answer.
  HttpResponse serve(const CallerRequest &Request, const Method &Declared,
                     const WorkspaceId &Workspace);
  std::optional<HttpResponse> retainedAnswer(const WorkspaceId &Workspace,
                                             const IdempotencyKey &Key);
  void tick();
  std::size_t openRequests() const;
  ServiceSnapshot snapshot() const;

private:
  /// A request that has no final answer yet.
  struct OpenRequest {
    CallerRequest Request;
    WorkspaceId Workspace;
    bool Repeatable = false;
    /// Results of ended attempts; the router may still select one as the final
    /// answer.
    std::map<AttemptId, EndpointResult> Results;
    std::condition_variable Answered;
    std::optional<HttpResponse> Response;
  };
  using RetainedAnswerId = std::pair<WorkspaceId, IdempotencyKey>;

  struct ActionVisitor;

  void perform(const std::vector<RequestAction> &Actions);
  void send(const SendAttempt &Action);
  void handleAttemptEnded(const SendAttempt &Action, EndpointResult Result);
  void handleAnswer(const Answer &Action);
  void respond(OpenRequest &Target, HttpResponse Response);
  void fetchRetained(const RequestId &Request, const RetainedAnswer &Earlier);
  void retain(const OpenRequest &Target, const HttpResponse &Response);
  void recordClaims(const RecordClaims &Action);
  void openClaimLog(const OpenClaimLog &Action);
  void loadClaims(const LoadClaims &Action);

  Context &Shared;
  EndpointAdapter &Endpoints;
  ClaimLog &Claims;
  Executor &Attempts;
  const RouterPeers &Peers;
  ServiceId Service;
  mutable std::mutex Lock;
  RequestRouter Router;
  std::map<RequestId, std::shared_ptr<OpenRequest>> OpenRequests;
  std::map<RetainedAnswerId, HttpResponse> RetainedAnswers;
  std::deque<RetainedAnswerId> RetentionOrder;
};

} // namespace banyanworks

#endif
