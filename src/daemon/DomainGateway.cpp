/// \file
/// Implements DomainGateway.
#include "daemon/DomainGateway.h"

#include "daemon/ConfigurationHolder.h"
#include "daemon/Context.h"
#include "daemon/JobPlane.h"
#include "daemon/JobViewJson.h"
#include "daemon/OwnershipLoop.h"
#include "daemon/PeerLink.h"
#include "daemon/Refusal.h"
#include "edge/Log.h"
#include "edge/SteadyClock.h"
#include "model/JobJson.h"
#include "model/JsonFields.h"

#include <thread>

namespace banyanworks {

namespace {

using nlohmann::json;

/// The time-out of one forwarded operation; then the current owner is looked up
/// again, as the previous one may be paused.
constexpr Duration ForwardTimeout = std::chrono::milliseconds(1200);
constexpr Duration RouteTimeout = std::chrono::seconds(5);
constexpr auto RouteRetryInterval = std::chrono::milliseconds(100);

/// True if no owner answered the operation.
bool isRetryable(const HttpResponse &Response) {
  auto ReasonHeader = Response.Headers.find("X-Reason");
  if (ReasonHeader == Response.Headers.end())
    return false;
  for (Reason Code :
       {Reason::NotOwner, Reason::DomainUnreachable, Reason::OutcomeUnknown})
    if (ReasonHeader->second == reasonInfo(Code).Name)
      return true;
  return false;
}

HttpResponse respond(const json &Body, int Status = 200) {
  return {Status, Body.dump(), "application/json", {}};
}

} // namespace

DomainGateway::DomainGateway(Context &Shared, ConfigurationHolder &Holder,
                             JobPlane &Jobs, OwnershipLoop &Ownership,
                             PeerLink &Peers)
    : Shared(Shared), Holder(Holder), Jobs(Jobs), Ownership(Ownership),
      Peers(Peers) {}

HttpResponse DomainGateway::route(const DomainId &Domain,
                                  const json &Operation) {
  TimePoint Deadline = steadyNow() + RouteTimeout;
  bool MayHaveRun = false;
  while (true) {
    HttpResponse Response = tryRoute(Domain, Operation);
    if (!isRetryable(Response))
      return Response;
    auto Unknown = reasonInfo(Reason::OutcomeUnknown).Name;
    MayHaveRun = MayHaveRun || Response.Headers.at("X-Reason") == Unknown;
    bool IsNotSubmission = Operation.at("operation") != "submit";
    if (steadyNow() >= Deadline || (IsNotSubmission && !MayHaveRun))
      return MayHaveRun ? refusal(Reason::OutcomeUnknown) : Response;
    std::this_thread::sleep_for(RouteRetryInterval);
  }
}

HttpResponse DomainGateway::tryRoute(const DomainId &Domain,
                                     const json &Operation) {
  bool IsLocal = Domain == Shared.DaemonSettings.Domain;
  if (IsLocal && Jobs.owns())
    return execute(Operation);
  std::optional<OwnerClaim> Owner =
      IsLocal ? Ownership.owner() : Peers.ownerOf(Domain);
  if (!Owner || Owner->Daemon == Shared.Self)
    return refusal(Reason::DomainUnreachable,
                   "no daemon is known to schedule " + Domain.str());
  Outcome<std::string> Answer =
      Peers.call(Owner->Daemon, "domain", Operation.dump(), ForwardTimeout);
  if (!Answer)
    return refusal(Answer.error());
  json Decoded = json::parse(*Answer);
  return {Decoded.at("status"), Decoded.at("body"), "application/json",
          Decoded.at("headers").get<HttpHeaders>()};
}

json DomainGateway::routeToAll(const json &Operation) {
  json Out = {{"domains", json::array()}, {"unreachable", json::array()}};
  for (const auto &[Id, Declared] : Holder.current()->Domains) {
    HttpResponse Response = route(Id, Operation);
    if (Response.Status == 200)
      Out["domains"].push_back(json::parse(Response.Body));
    else
      Out["unreachable"].push_back(Id);
  }
  return Out;
}

HttpResponse DomainGateway::routeToJob(const json &Operation) {
  std::string Unreachable;
  for (const auto &[Id, Declared] : Holder.current()->Domains) {
    HttpResponse Response = route(Id, Operation);
    if (Response.Status == 200)
      return Response;
    if (Response.Status != reasonInfo(Reason::UnknownJob).HttpStatus)
      Unreachable += (Unreachable.empty() ? "" : ", ") + Id.str();
  }
  if (Unreachable.empty())
    return refusal(Reason::UnknownJob);
  return refusal(Reason::DomainUnreachable,
                 "the job is not known elsewhere, and these failure domains "
                 "cannot be reached: " +
                     Unreachable);
}

std::string DomainGateway::serve(const std::string &Parameters) {
  HttpResponse Response = refusal(Reason::NotOwner);
  if (Jobs.owns())
    Response = execute(json::parse(Parameters));
  return json{{"status", Response.Status},
              {"body", Response.Body},
              {"headers", Response.Headers}}
      .dump();
}

HttpResponse DomainGateway::execute(const json &Operation) {
  std::string Kind = Operation.at("operation");
  if (Kind == "submit")
    return submit(Operation);
  if (Kind == "show" || Kind == "cancel" || Kind == "explain")
    return executeOnJob(Operation);
  DomainSnapshot Snapshot = Jobs.snapshot();
  TimePoint Now = steadyNow();
  json Out = domainToJson(Snapshot, Now);
  Out["owner"] = Shared.Self;
  if (Kind == "jobs")
    for (const JobView &View : Snapshot.Jobs)
      Out["jobs"].push_back(jobViewToJson(View, Now));
  if (Kind == "workers")
    Out["worker_list"] = workersToJson(Snapshot);
  if (Kind == "workspaces")
    Out["workspaces"] = workspacesToJson(Snapshot);
  return respond(Out);
}

HttpResponse DomainGateway::submit(const json &Operation) {
  Outcome<JobSpec> Spec = jobFromJson(Operation.at("spec").dump());
  if (!Spec)
    return refusal(Spec.error());
  Outcome<JobView> View = Jobs.submit(*Spec);
  if (!View)
    return refusal(View.error());
  if (View->Phase == JobPhase::Refused)
    return refusal(View->StatusReason);
  logInfo("job_accepted", {{"job", std::to_string(Spec->Id.value())},
                           {"workspace", Spec->Workspace.str()},
                           {"domain", Shared.DaemonSettings.Domain.str()}});
  json Out = jobViewToJson(*View, steadyNow());
  Out["domain"] = Shared.DaemonSettings.Domain;
  return respond(Out);
}

HttpResponse DomainGateway::executeOnJob(const json &Operation) {
  JobId Id = Operation.at("job");
  std::string Kind = Operation.at("operation");
  if (Kind == "cancel" && !Jobs.cancel(Id))
    return refusal(Reason::UnknownJob);
  json Out;
  if (Kind == "explain") {
    std::optional<JobExplanation> Explained = Jobs.explain(Id);
    if (!Explained)
      return refusal(Reason::UnknownJob);
    Out = explanationToJson(*Explained, steadyNow());
  } else {
    std::optional<JobView> View = Jobs.job(Id);
    if (!View)
      return refusal(Reason::UnknownJob);
    Out = jobViewToJson(*View, steadyNow());
  }
  Out["domain"] = Shared.DaemonSettings.Domain;
  return respond(Out);
}

} // namespace banyanworks
