/// \file
/// Implements InternalApi.
#include "daemon/InternalApi.h"

#include "daemon/Context.h"
#include "daemon/DomainGateway.h"
#include "daemon/JobPlane.h"
#include "daemon/OwnershipLoop.h"
#include "daemon/PeerLink.h"
#include "daemon/Refusal.h"
#include "daemon/RequestPlane.h"
#include "edge/Executor.h"
#include "edge/HttpServer.h"
#include "edge/PeerMessageJson.h"
#include "edge/WorkerJson.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr Duration MessageTimeout = std::chrono::milliseconds(500);
constexpr Duration FetchTimeout = std::chrono::seconds(1);

} // namespace

InternalApi::InternalApi(Context &Shared, JobPlane &Jobs,
                         OwnershipLoop &Ownership, PeerLink &Peers,
                         DomainGateway &Gateway, RequestPlane &Requests)
    : Shared(Shared), Jobs(Jobs), Ownership(Ownership), Peers(Peers),
      Gateway(Gateway), Requests(Requests) {
  Peers.serve("domain",
              [this](const std::string &P) { return this->Gateway.serve(P); });
  Peers.serve("router",
              [this](const std::string &P) { return handleRouterMessage(P); });
  Peers.serve("kept_answer",
              [this](const std::string &P) { return serveRetainedAnswer(P); });
}

void InternalApi::addRoutes(HttpServer &Server) {
  Server.route("POST", "/rpc", [this](const HttpRequest &Request) {
    return HttpResponse{
        200, Peers.handle(Request.Body), "application/json", {}};
  });
  Server.route("POST", "/worker/report",
               [this](const HttpRequest &R) { return handleReport(R); });
}

HttpResponse InternalApi::handleReport(const HttpRequest &Request) {
  Outcome<WorkerReport> Report = workerReportFromJson(Request.Body);
  if (!Report)
    return refusal(Report.error());
  ReportAnswer Answer = Jobs.report(*Report);
  if (!Answer.Accepted) {
    std::optional<OwnerClaim> Owner = Ownership.owner();
    if (Owner && Owner->Daemon != Shared.Self)
      Answer.OwnerAddress = Owner->Daemon.str();
  }
  return {200, reportAnswerToJson(Answer), "application/json", {}};
}

std::string InternalApi::handleRouterMessage(const std::string &Parameters) {
  Outcome<PeerMessage> Message = peerMessageFromJson(Parameters);
  if (Message)
    Requests.handlePeerMessage(*Message);
  return "{}";
}

void InternalApi::sendRouterMessage(const DaemonId &Recipient,
                                    const PeerMessage &Message) {
  std::string Text = peerMessageToJson(Message);
  Shared.ControlExecutor.run(
      "router/" + Recipient.str(), [this, Recipient, Text] {
        Peers.call(Recipient, "router", Text, MessageTimeout);
      });
}

std::string InternalApi::serveRetainedAnswer(const std::string &Parameters) {
  json In = json::parse(Parameters);
  std::optional<HttpResponse> Retained = Requests.retainedAnswer(
      In.at("service"), In.at("workspace"), In.at("key"));
  if (!Retained)
    return "{}";
  return json{{"status", Retained->Status},
              {"body", Retained->Body},
              {"content_type", Retained->ContentType}}
      .dump();
}

std::optional<HttpResponse> InternalApi::fetchRetainedAnswer(
    const DaemonId &Holder, const ServiceId &Service,
    const WorkspaceId &Workspace, const IdempotencyKey &Key) {
  json Parameters = {
      {"service", Service}, {"workspace", Workspace}, {"key", Key}};
  Outcome<std::string> Answer =
      Peers.call(Holder, "kept_answer", Parameters.dump(), FetchTimeout);
  if (!Answer)
    return std::nullopt;
  json In = json::parse(*Answer);
  if (!In.contains("status"))
    return std::nullopt;
  return HttpResponse{
      In.at("status"), In.at("body"), In.at("content_type"), {}};
}

} // namespace banyanworks
