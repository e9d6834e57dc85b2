/// \file
/// Implements WorkApi.
#include "daemon/WorkApi.h"

#include "daemon/ConfigurationHolder.h"
#include "daemon/Context.h"
#include "daemon/DomainGateway.h"
#include "daemon/JobViewJson.h"
#include "daemon/PeerLink.h"
#include "daemon/Refusal.h"
#include "daemon/RequestPlane.h"
#include "edge/HttpServer.h"
#include "edge/Metrics.h"
#include "edge/SteadyClock.h"
#include "model/ConfigurationJson.h"
#include "model/JobFile.h"
#include "model/JobJson.h"
#include "model/JsonFields.h"

#include <atomic>

#include <xxhash.h>

namespace banyanworks {

namespace {

using nlohmann::json;

HttpResponse respond(const json &Body) {
  return {200, Body.dump(), "application/json", {}};
}

/// Returns an id for a job that was submitted without a key.
JobId uniqueJobId(const Context &Shared) {
  static std::atomic<std::uint64_t> Counter = 0;
  std::uint64_t Parts[] = {
      XXH3_64bits(Shared.Self.str().data(), Shared.Self.str().size()),
      Shared.SelfIncarnation.value(), ++Counter};
  return JobId(XXH3_64bits(Parts, sizeof(Parts)));
}

/// Selects the failure domain of a job by rendezvous hashing. All daemons with
/// the same configuration select the same one, so that a repeated submission
/// finds its job.
DomainId chooseDomain(const JobSpec &Spec, const Configuration &Config) {
  if (!Spec.Domain.empty())
    return Spec.Domain;
  DomainId Best;
  std::uint64_t BestScore = 0;
  for (const auto &[Id, Domain] : Config.Domains) {
    if (!Domain.InService)
      continue;
    std::uint64_t Score =
        XXH3_64bits_withSeed(Id.str().data(), Id.str().size(), Spec.Id.value());
    if (!Best.empty() && Score <= BestScore)
      continue;
    Best = Id;
    BestScore = Score;
  }
  return Best;
}

} // namespace

WorkApi::WorkApi(Context &Shared, ConfigurationHolder &Holder,
                 DomainGateway &Gateway, RequestPlane &Requests,
                 PeerLink &Peers, std::function<bool()> Draining)
    : Shared(Shared), Holder(Holder), Gateway(Gateway), Requests(Requests),
      Peers(Peers), Draining(std::move(Draining)) {}

void WorkApi::addRoutes(HttpServer &Server) {
  Server.route("POST", "/v1/jobs",
               [this](const HttpRequest &R) { return submit(R); });
  Server.route("GET", "/v1/jobs", [this](const HttpRequest &) {
    return respond(Gateway.routeToAll({{"operation", "jobs"}}));
  });
  Server.route("GET", "/v1/jobs/:job", [this](const HttpRequest &R) {
    return routeJobOperation(R, "show");
  });
  Server.route(
      "GET", "/v1/jobs/:job/explanation",
      [this](const HttpRequest &R) { return routeJobOperation(R, "explain"); });
  Server.route("POST", "/v1/jobs/:job/cancel", [this](const HttpRequest &R) {
    return routeJobOperation(R, "cancel");
  });
  Server.route("POST", "/v1/services/:service/methods/:method",
               [this](const HttpRequest &R) { return call(R); });
  Server.route("GET", "/v1/workers", [this](const HttpRequest &) {
    return respond(Gateway.routeToAll({{"operation", "workers"}}));
  });
  Server.route("GET", "/v1/workspaces",
               [this](const HttpRequest &) { return workspaces(); });
  Server.route("GET", "/v1/endpoints",
               [this](const HttpRequest &) { return endpoints(); });
  Server.route("GET", "/v1/status",
               [this](const HttpRequest &) { return status(); });
}

HttpResponse WorkApi::submit(const HttpRequest &Request) {
  if (Draining())
    return refusal(Reason::ShuttingDown);
  Outcome<JobRequest> Parsed = jobRequestFromJson(Request.Body);
  if (!Parsed)
    return refusal(Parsed.error());
  std::shared_ptr<const Configuration> Config = Holder.current();
  Outcome<JobSpec> Spec = resolveJob(*Parsed, *Config, uniqueJobId(Shared));
  if (!Spec) {
    Shared.Counters.recordRefusal(reasonOf(Spec.error()));
    return refusal(Spec.error());
  }
  DomainId Domain = chooseDomain(*Spec, *Config);
  if (Domain.empty())
    return refusal(Reason::DomainOut, "every failure domain is out");
  return Gateway.route(Domain, {{"operation", "submit"},
                                {"spec", json::parse(jobToJson(*Spec))}});
}

HttpResponse WorkApi::routeJobOperation(const HttpRequest &Request,
                                        const char *Operation) {
  json Parameters = {{"operation", Operation},
                     {"job", Request.variable("job")}};
  if (Request.variable("job").find_first_not_of("0123456789") !=
      std::string::npos)
    return refusal(Reason::InvalidArgument, "a job's id is a number");
  return Gateway.routeToJob(Parameters);
}

HttpResponse WorkApi::call(const HttpRequest &Request) {
  CallerRequest Call;
  Call.Service = ServiceId(Request.variable("service"));
  Call.Method = MethodId(Request.variable("method"));
  Call.Key = IdempotencyKey(Request.header("idempotency-key"));
  Call.ContentType = Request.header("content-type");
  Call.Body = Request.Body;
  std::string TimeoutMs = Request.header("x-timeout-ms");
  if (!TimeoutMs.empty())
    Call.Timeout =
        std::chrono::milliseconds(std::strtoul(TimeoutMs.c_str(), nullptr, 10));
  TimePoint Begin = steadyNow();
  HttpResponse Response = Requests.serve(Call);
  Shared.Counters.recordAnswer("request", Response.Status, steadyNow() - Begin);
  return Response;
}

HttpResponse WorkApi::workspaces() {
  json Out = Gateway.routeToAll({{"operation", "workspaces"}});
  Out["declared"] =
      json::parse(configurationToJson(*Holder.current())).at("workspaces");
  return respond(Out);
}

HttpResponse WorkApi::endpoints() {
  json Out = json::array();
  for (const ServiceSnapshot &Snapshot : Requests.snapshot())
    for (json &View : endpointsToJson(Snapshot))
      Out.push_back(std::move(View));
  return respond(Out);
}

json WorkApi::daemons() {
  json Out = json::array();
  Out.push_back({{"daemon", Shared.Self},
                 {"domain", Shared.DaemonSettings.Domain},
                 {"listen", Shared.DaemonSettings.Listen},
                 {"version", Holder.current()->Version},
                 {"alive", true},
                 {"draining", Draining()}});
  for (const PeerEntry &Peer : Peers.peers()) {
    Out.push_back({{"daemon", Peer.State.Daemon},
                   {"domain", Peer.State.Domain},
                   {"listen", Peer.State.Listen},
                   {"version", Peer.State.Version},
                   {"alive", Peer.Alive},
                   {"draining", Peer.State.Draining}});
  }
  return Out;
}

HttpResponse WorkApi::status() {
  json Out = Gateway.routeToAll({{"operation", "status"}});
  Out["version"] = Holder.current()->Version;
  Out["daemons"] = daemons();
  for (const ServiceSnapshot &Snapshot : Requests.snapshot()) {
    Out["services"].push_back({{"id", Snapshot.Service},
                               {"queued", Snapshot.Router.Queued},
                               {"open", Snapshot.Router.Open},
                               {"endpoints", Snapshot.Endpoints.size()}});
  }
  return respond(Out);
}

} // namespace banyanworks
