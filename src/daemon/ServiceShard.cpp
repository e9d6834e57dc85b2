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

/// Answers to keyed requests that are kept for retries, and the longest one.
constexpr std::size_t KeptAnswers = 2000;
constexpr std::size_t LongestKeptAnswer = 64 << 10;

std::string text(RequestId Id) { return std::to_string(Id.value()); }

/// Ids that no other process of the deployment gives.
RequestId nextRequestId(const Context &Daemon) {
  static std::atomic<std::uint64_t> Counter = 0;
  std::uint64_t Parts[] = {
      XXH3_64bits(Daemon.Self.str().data(), Daemon.Self.str().size()),
      Daemon.Life.value(), ++Counter};
  return RequestId(XXH3_64bits(Parts, sizeof(Parts)));
}

RouterSettings routerSettings(const Context &Daemon, const ServiceId &Service) {
  RouterSettings Result;
  Result.Service = Service;
  Result.Self = Daemon.Self;
  Result.SelfIncarnation = Daemon.Life;
  Result.Domain = Daemon.Config.Domain;
  Result.Seed = Daemon.Life.value();
  return Result;
}

} // namespace

/// Carries out one action; called under the lock.
struct ServiceShard::Performer {
  ServiceShard &Shard;

  void operator()(const SendAttempt &Action) const { Shard.send(Action); }
  /// The attempt's own deadline ends it; its answer is not looked at.
  void operator()(const CancelAttempt &) const {}
  void operator()(const Answer &Action) const { Shard.answer(Action); }
  void operator()(const RecordClaims &Action) const { Shard.record(Action); }
  void operator()(const OpenClaimLog &Action) const { Shard.openLog(Action); }
  void operator()(const LoadClaims &Action) const { Shard.load(Action); }
  void operator()(const SendPeerMessage &Action) const {
    Shard.Peers.Send(Action.To, Action.Message);
  }
  void operator()(const RetryCounted &Action) const {
    Shard.Daemon.Counters.retried(Action.Why);
  }
  void operator()(const Drained &) const {
    logInfo("router_drained", {{"service", Shard.Service.str()}});
  }
};

ServiceShard::ServiceShard(Context &Shared, EndpointAdapter &Endpoints,
                           ClaimLog &Claims, Executor &Attempts,
                           const RouterPeers &Peers, const ServiceId &Service)
    : Daemon(Shared), Endpoints(Endpoints), Claims(Claims), Attempts(Attempts),
      Peers(Peers), Service(Service), Router(routerSettings(Shared, Service)) {}

void ServiceShard::post(const RequestEvent &Event) {
  std::lock_guard Guard(Lock);
  perform(Router.handle(steadyNow(), Event));
}

void ServiceShard::perform(const std::vector<RequestAction> &Actions) {
  for (const RequestAction &Action : Actions)
    std::visit(Performer{*this}, Action);
}

HttpResponse ServiceShard::serve(const CallerRequest &Request,
                                 const Method &Declared,
                                 const WorkspaceId &Workspace) {
  auto Waiting = std::make_shared<OpenRequest>();
  Waiting->Request = Request;
  Waiting->Workspace = Workspace;
  Waiting->Repeatable = Declared.Repeatable;
  RequestArrived Event;
  Event.Request = nextRequestId(Daemon);
  Event.Workspace = Workspace;
  Event.Service = Service;
  Event.Method = Request.Method;
  Event.Key = Request.Key;
  Event.Digest =
      BodyDigest(XXH3_64bits(Request.Body.data(), Request.Body.size()));
  Event.BodyBytes = Request.Body.size();
  Duration Span = Declared.Deadline;
  if (Request.Timeout.count() > 0)
    Span = std::min(Span, Request.Timeout);
  Event.Origin = Request.Origin;

  std::unique_lock Guard(Lock);
  TimePoint Now = steadyNow();
  Event.Deadline = Now + Span;
  Open[Event.Request] = Waiting;
  perform(Router.handle(Now, Event));
  Waiting->Answered.wait(Guard, [&] { return Waiting->Response.has_value(); });
  Open.erase(Event.Request);
  Waiting->Response->Headers["X-Request-Id"] = text(Event.Request);
  return *std::move(Waiting->Response);
}

void ServiceShard::send(const SendAttempt &Action) {
  auto Found = Open.find(Action.Request);
  if (Found == Open.end())
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
    Self->attemptOver(Action, std::move(Result));
  });
}

void ServiceShard::attemptOver(const SendAttempt &Action,
                               EndpointResult Result) {
  std::lock_guard Guard(Lock);
  AttemptEnded Event;
  Event.Attempt = Action.Attempt;
  Event.Result = Result.End;
  Event.Status = Result.Status;
  auto Found = Open.find(Action.Request);
  if (Found != Open.end())
    Found->second->Results[Action.Attempt] = std::move(Result);
  perform(Router.handle(steadyNow(), Event));
}

void ServiceShard::answer(const Answer &Action) {
  auto Found = Open.find(Action.Request);
  if (Found == Open.end())
    return;
  OpenRequest &Target = *Found->second;
  if (auto *Whole = std::get_if<CompleteAnswer>(&Action.Result)) {
    EndpointResult &Result = Target.Results[Whole->Attempt];
    HttpResponse Response{Result.Status,
                          std::move(Result.Body),
                          std::move(Result.ContentType),
                          {}};
    keep(Target, Response);
    return respond(Target, std::move(Response));
  }
  if (auto *Earlier = std::get_if<RetainedAnswer>(&Action.Result))
    return fetchKept(Action.Request, *Earlier);
  const auto &Refused = std::get<Refusal>(Action.Result);
  Daemon.Counters.refused(Refused.Why);
  logInfo("request_refused",
          {{"request", text(Action.Request)},
           {"service", Service.str()},
           {"method", Target.Request.Method.str()},
           {"reason", std::string(reasonInfo(Refused.Why).Name)}});
  respond(Target, refusal(Refused.Why, "", Refused.RetryAfter));
}

void ServiceShard::respond(OpenRequest &Target, HttpResponse Response) {
  if (Target.Response)
    return;
  Target.Response = std::move(Response);
  Target.Answered.notify_one();
}

/// Looks for the answer where it was given; the lock is not held meanwhile.
void ServiceShard::fetchKept(const RequestId &Request,
                             const RetainedAnswer &Earlier) {
  auto Self = shared_from_this();
  Attempts.run("kept/" + text(Request), [Self, Request, Earlier] {
    std::optional<HttpResponse> Response;
    if (Earlier.Identity.Daemon == Self->Daemon.Self)
      Response = Self->keptAnswer(Earlier.Workspace, Earlier.Key);
    else
      Response = Self->Peers.KeptAnswer(Earlier.Identity.Daemon, Self->Service,
                                        Earlier.Workspace, Earlier.Key);
    std::lock_guard Guard(Self->Lock);
    auto Found = Self->Open.find(Request);
    if (Found == Self->Open.end())
      return;
    if (!Response)
      Response = refusal(Reason::AlreadyRan);
    Self->respond(*Found->second, *std::move(Response));
  });
}

void ServiceShard::keep(const OpenRequest &Target,
                        const HttpResponse &Response) {
  if (Target.Request.Key.empty() || Target.Repeatable ||
      Response.Body.size() > LongestKeptAnswer)
    return;
  KeptId Id{Target.Workspace, Target.Request.Key};
  if (Kept.insert_or_assign(Id, Response).second)
    KeptOrder.push_back(Id);
  if (KeptOrder.size() <= KeptAnswers)
    return;
  Kept.erase(KeptOrder.front());
  KeptOrder.pop_front();
}

std::optional<HttpResponse>
ServiceShard::keptAnswer(const WorkspaceId &Workspace,
                         const IdempotencyKey &Key) {
  std::lock_guard Guard(Lock);
  auto Found = Kept.find({Workspace, Key});
  if (Found == Kept.end())
    return std::nullopt;
  return Found->second;
}

void ServiceShard::record(const RecordClaims &Action) {
  auto Self = shared_from_this();
  Daemon.Pool.run("claims/" + Service.str(), [Self, Action] {
    Self->post(Self->Claims.record(Self->Service, Action));
  });
}

void ServiceShard::openLog(const OpenClaimLog &Action) {
  auto Self = shared_from_this();
  Daemon.Pool.run("claims/" + Service.str(), [Self, Action] {
    Self->post(Self->Claims.open(Self->Service, Action));
  });
}

void ServiceShard::load(const LoadClaims &Action) {
  auto Self = shared_from_this();
  Daemon.Pool.run("claims/" + Service.str(), [Self, Action] {
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

std::size_t ServiceShard::open() const {
  std::lock_guard Guard(Lock);
  return Open.size();
}

ServiceSnapshot ServiceShard::snapshot() const {
  std::lock_guard Guard(Lock);
  return {Service, Router.view(), Router.endpoints()};
}

} // namespace banyanworks
