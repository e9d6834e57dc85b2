/// \file
/// Implements ServiceShard.
#include "daemon/ServiceShard.h"

#include "daemon/ClaimLog.h"
#include "daemon/Context.h"
#include "daemon/Refusal.h"
#include "edge/Executor.h"
#include "edge/Log.h"
#include "edge/Metrics.h"
#include "edge/SteadyClock.h"

#include <algorithm>
#include <atomic>

#include <xxhash.h>

namespace banyanworks {

namespace {

/// The most answers to keyed requests that are retained for retries, and the
/// size limit of one in bytes.
constexpr std::size_t MaxRetainedAnswers = 2000;
constexpr std::size_t MaxRetainedAnswerBytes = 64 << 10;

std::string idToString(RequestId Id) { return std::to_string(Id.value()); }

/// Returns an id that no other process of the deployment returns.
RequestId nextRequestId(const Context &Shared) {
  static std::atomic<std::uint64_t> Counter = 0;
  std::uint64_t Parts[] = {
      XXH3_64bits(Shared.Self.str().data(), Shared.Self.str().size()),
      Shared.SelfIncarnation.value(), ++Counter};
  return RequestId(XXH3_64bits(Parts, sizeof(Parts)));
}

RouterSettings routerSettings(const Context &Shared, const ServiceId &Service) {
  RouterSettings Result;
  Result.Service = Service;
  Result.Self = Shared.Self;
  Result.SelfIncarnation = Shared.SelfIncarnation;
  Result.Domain = Shared.DaemonSettings.Domain;
  Result.Seed = Shared.SelfIncarnation.value();
  return Result;
}

} // namespace

/// Carries out one action; called with the lock held.
struct ServiceShard::ActionVisitor {
  ServiceShard &Shard;

  void operator()(const SendAttempt &Action) const { Shard.send(Action); }
  /// A cancelled attempt is not aborted; it ends by its deadline, and its
  /// result is ignored.
  void operator()(const CancelAttempt &) const {}
  void operator()(const Answer &Action) const { Shard.handleAnswer(Action); }
  void operator()(const RecordClaims &Action) const {
    Shard.recordClaims(Action);
  }
  void operator()(const OpenClaimLog &Action) const {
    Shard.openClaimLog(Action);
  }
  void operator()(const LoadClaims &Action) const { Shard.loadClaims(Action); }
  void operator()(const SendPeerMessage &Action) const {
    Shard.Peers.Send(Action.Recipient, Action.Message);
  }
  void operator()(const RetryCounted &Action) const {
    Shard.Shared.Counters.recordRetry(Action.Cause);
  }
  void operator()(const Drained &) const {
    logInfo("router_drained", {{"service", Shard.Service.str()}});
  }
};

ServiceShard::ServiceShard(Context &Shared, EndpointAdapter &Endpoints,
                           ClaimLog &Claims, Executor &Attempts,
                           const RouterPeers &Peers, const ServiceId &Service)
    : Shared(Shared), Endpoints(Endpoints), Claims(Claims), Attempts(Attempts),
      Peers(Peers), Service(Service), Router(routerSettings(Shared, Service)) {}

void ServiceShard::post(const RequestEvent &Event) {
  std::lock_guard Guard(Lock);
  perform(Router.handle(steadyNow(), Event));
}

void ServiceShard::perform(const std::vector<RequestAction> &Actions) {
  for (const RequestAction &Action : Actions)
    std::visit(ActionVisitor{*this}, Action);
}

HttpResponse ServiceShard::serve(const CallerRequest &Request,
                                 const Method &Declared,
                                 const WorkspaceId &Workspace) {
  auto Pending = std::make_shared<OpenRequest>();
  Pending->Request = Request;
  Pending->Workspace = Workspace;
  Pending->Repeatable = Declared.Repeatable;
  RequestArrived Event;
  Event.Request = nextRequestId(Shared);
  Event.Workspace = Workspace;
  Event.Service = Service;
  Event.Method = Request.Method;
  Event.Key = Request.Key;
  Event.Digest =
      BodyDigest(XXH3_64bits(Request.Body.data(), Request.Body.size()));
  Event.BodyBytes = Request.Body.size();
  Duration Timeout = Declared.Deadline;
  if (Request.Timeout.count() > 0)
    Timeout = std::min(Timeout, Request.Timeout);
  Event.Origin = Request.Origin;

  std::unique_lock Guard(Lock);
  TimePoint Now = steadyNow();
  Event.Deadline = Now + Timeout;
  OpenRequests[Event.Request] = Pending;
  perform(Router.handle(Now, Event));
  Pending->Answered.wait(Guard, [&] { return Pending->Response.has_value(); });
  OpenRequests.erase(Event.Request);
  Pending->Response->Headers["X-Request-Id"] = idToString(Event.Request);
  return *std::move(Pending->Response);
}

void ServiceShard::send(const SendAttempt &Action) {
  auto Found = OpenRequests.find(Action.Request);
  if (Found == OpenRequests.end())
    return;
  auto Self = shared_from_this();
  std::string Name = std::to_string(Action.Attempt.value());
  Attempts.run(Name, [Self, Action, Target = Found->second] {
    EndpointCall Call;
    Call.Attempt = Action.Attempt;
    Call.Address = Action.Address;
    Call.Service = Self->Service;
    Call.Method = Target->Request.Method;
    Call.Key = Target->Request.Key;
    Call.ContentType = Target->Request.ContentType;
    Call.Body = &Target->Request.Body;
    Call.Repeatable = Target->Repeatable;
    Call.Timeout = Action.Deadline - steadyNow();
    EndpointResult Result;
    if (Call.Timeout.count() > 0)
      Result = Self->Endpoints.call(Call);
    Self->handleAttemptEnded(Action, std::move(Result));
  });
}

void ServiceShard::handleAttemptEnded(const SendAttempt &Action,
                                      EndpointResult Result) {
  std::lock_guard Guard(Lock);
  AttemptEnded Event;
  Event.Attempt = Action.Attempt;
  Event.Result = Result.End;
  Event.Status = Result.Status;
  auto Found = OpenRequests.find(Action.Request);
  if (Found != OpenRequests.end())
    Found->second->Results[Action.Attempt] = std::move(Result);
  perform(Router.handle(steadyNow(), Event));
}

void ServiceShard::handleAnswer(const Answer &Action) {
  auto Found = OpenRequests.find(Action.Request);
  if (Found == OpenRequests.end())
    return;
  OpenRequest &Target = *Found->second;
  if (auto *Complete = std::get_if<CompleteAnswer>(&Action.Result)) {
    EndpointResult &Result = Target.Results[Complete->Attempt];
    HttpResponse Response{Result.Status,
                          std::move(Result.Body),
                          std::move(Result.ContentType),
                          {}};
    retain(Target, Response);
    return respond(Target, std::move(Response));
  }
  if (auto *Earlier = std::get_if<RetainedAnswer>(&Action.Result))
    return fetchRetained(Action.Request, *Earlier);
  const auto &Refused = std::get<Refusal>(Action.Result);
  Shared.Counters.recordRefusal(Refused.Cause);
  logInfo("request_refused",
          {{"request", idToString(Action.Request)},
           {"service", Service.str()},
           {"method", Target.Request.Method.str()},
           {"reason", std::string(reasonInfo(Refused.Cause).Name)}});
  respond(Target, refusal(Refused.Cause, "", Refused.RetryAfter));
}

void ServiceShard::respond(OpenRequest &Target, HttpResponse Response) {
  if (Target.Response)
    return;
  Target.Response = std::move(Response);
  Target.Answered.notify_one();
}

/// Fetches the answer from the daemon that retained it, without holding the
/// lock.
void ServiceShard::fetchRetained(const RequestId &Request,
                                 const RetainedAnswer &Earlier) {
  auto Self = shared_from_this();
  Attempts.run("kept/" + idToString(Request), [Self, Request, Earlier] {
    std::optional<HttpResponse> Response;
    if (Earlier.Identity.Daemon == Self->Shared.Self)
      Response = Self->retainedAnswer(Earlier.Workspace, Earlier.Key);
    else {
      Response = Self->Peers.FetchRetainedAnswer(
          Earlier.Identity.Daemon, Self->Service, Earlier.Workspace,
          Earlier.Key);
    }
    std::lock_guard Guard(Self->Lock);
    auto Found = Self->OpenRequests.find(Request);
    if (Found == Self->OpenRequests.end())
      return;
    if (!Response)
      Response = refusal(Reason::AlreadyRan);
    Self->respond(*Found->second, *std::move(Response));
  });
}

void ServiceShard::retain(const OpenRequest &Target,
                          const HttpResponse &Response) {
  if (Target.Request.Key.empty() || Target.Repeatable ||
      Response.Body.size() > MaxRetainedAnswerBytes)
    return;
  RetainedAnswerId Id{Target.Workspace, Target.Request.Key};
  if (RetainedAnswers.insert_or_assign(Id, Response).second)
    RetentionOrder.push_back(Id);
  if (RetentionOrder.size() <= MaxRetainedAnswers)
    return;
  RetainedAnswers.erase(RetentionOrder.front());
  RetentionOrder.pop_front();
}

std::optional<HttpResponse>
ServiceShard::retainedAnswer(const WorkspaceId &Workspace,
                             const IdempotencyKey &Key) {
  std::lock_guard Guard(Lock);
  auto Found = RetainedAnswers.find({Workspace, Key});
  if (Found == RetainedAnswers.end())
    return std::nullopt;
  return Found->second;
}

void ServiceShard::recordClaims(const RecordClaims &Action) {
  auto Self = shared_from_this();
  Shared.ControlExecutor.run("claims/" + Service.str(), [Self, Action] {
    Self->post(Self->Claims.record(Self->Service, Action));
  });
}

void ServiceShard::openClaimLog(const OpenClaimLog &Action) {
  auto Self = shared_from_this();
  Shared.ControlExecutor.run("claims/" + Service.str(), [Self, Action] {
    Self->post(Self->Claims.open(Self->Service, Action));
  });
}

void ServiceShard::loadClaims(const LoadClaims &Action) {
  auto Self = shared_from_this();
  Shared.ControlExecutor.run("claims/" + Service.str(), [Self, Action] {
    Self->post(Self->Claims.load(Self->Service, Action));
  });
}

void ServiceShard::tick() {
  std::lock_guard Guard(Lock);
  TimePoint Now = steadyNow();
  std::optional<TimePoint> Due = Router.nextDeadline();
  if (Due && *Due <= Now)
    perform(Router.handle(Now, Tick{}));
}

std::size_t ServiceShard::openRequests() const {
  std::lock_guard Guard(Lock);
  return OpenRequests.size();
}

ServiceSnapshot ServiceShard::snapshot() const {
  std::lock_guard Guard(Lock);
  return {Service, Router.view(), Router.endpoints()};
}

} // namespace banyanworks
