/// \file
/// Implements ConfigurationApi.
#include "daemon/ConfigurationApi.h"

#include "daemon/ConfigurationHolder.h"
#include "daemon/ConfigurationSync.h"
#include "daemon/Context.h"
#include "daemon/PeerLink.h"
#include "daemon/Refusal.h"
#include "edge/HttpServer.h"
#include "edge/Log.h"
#include "edge/SteadyClock.h"
#include "model/ConfigurationJson.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

/// How long a publication waits for the daemons' confirmations.
constexpr Duration ConfirmLimit = std::chrono::seconds(3);
constexpr auto ConfirmStep = std::chrono::milliseconds(100);
/// Attempts to move a failure domain while other operators publish.
constexpr int MoveAttempts = 8;

} // namespace

ConfigurationApi::ConfigurationApi(Context &Shared, ConfigurationHolder &Holder,
                                   ConfigurationSync &Sync, PeerLink &Peers)
    : Shared(Shared), Holder(Holder), Sync(Sync), Peers(Peers) {}

void ConfigurationApi::addRoutes(HttpServer &Server) {
  Server.route("GET", "/v1/configuration",
               [this](const HttpRequest &) { return show(); });
  Server.route("POST", "/v1/configuration",
               [this](const HttpRequest &R) { return publish(R); });
  Server.route("GET", "/v1/configuration/history",
               [this](const HttpRequest &) { return history(); });
  Server.route("GET", "/v1/domains",
               [this](const HttpRequest &) { return domains(); });
  Server.route("POST", "/v1/domains/:domain/out",
               [this](const HttpRequest &R) { return move(R, false); });
  Server.route("POST", "/v1/domains/:domain/in",
               [this](const HttpRequest &R) { return move(R, true); });
}

HttpResponse ConfigurationApi::show() {
  return {200, configurationToJson(*Holder.current()), "application/json", {}};
}

HttpResponse ConfigurationApi::publish(const HttpRequest &Request) {
  Outcome<Configuration> Next = configurationFromJson(Request.Body);
  if (!Next)
    return refusal(Next.error());
  std::string Author = Next->Author;
  Outcome<ConfigVersion> Published = Sync.publish(*std::move(Next));
  if (!Published)
    return refusal(Published.error());
  logInfo(
      "configuration_accepted",
      {{"version", std::to_string(Published->value())}, {"author", Author}});
  return confirm(*Published);
}

HttpResponse ConfigurationApi::history() {
  json Out = json::array();
  for (const ConfigurationSummary &Entry : Sync.history()) {
    Out.push_back({{"version", Entry.Version},
                   {"author", Entry.Author},
                   {"comment", Entry.Comment}});
  }
  return {200, Out.dump(), "application/json", {}};
}

HttpResponse ConfigurationApi::domains() {
  json Out = json::array();
  for (const auto &[Id, Domain] : Holder.current()->Domains) {
    Out.push_back({{"id", Id},
                   {"region", Domain.Region},
                   {"in", Domain.InService},
                   {"drain", Domain.Drain}});
  }
  return {200, Out.dump(), "application/json", {}};
}

HttpResponse ConfigurationApi::move(const HttpRequest &Request, bool In) {
  DomainId Domain(Request.variable("domain"));
  Outcome<ConfigVersion> Published =
      publishMove(Domain, In, Request.header("x-author"));
  if (!Published)
    return refusal(Published.error());
  logInfo(In ? "domain_in" : "domain_out",
          {{"domain", Domain.str()},
           {"version", std::to_string(Published->value())}});
  return confirm(*Published);
}

Outcome<ConfigVersion>
ConfigurationApi::publishMove(const DomainId &Domain, bool In,
                              const std::string &Author) {
  for (int Attempt = 1;; ++Attempt) {
    Configuration Next = *Holder.current();
    auto Found = Next.Domains.find(Domain);
    if (Found == Next.Domains.end())
      return fail(Reason::UnknownDomain,
                  "no failure domain '" + Domain.str() + "' is configured");
    if (Found->second.InService == In)
      return Next.Version;
    Found->second.InService = In;
    Next.Author = Author;
    Next.Comment = Domain.str() + (In ? " in" : " out");
    Outcome<ConfigVersion> Published = Sync.publish(std::move(Next));
    bool Raced =
        !Published && reasonOf(Published.error()) == Reason::VersionConflict;
    if (!Raced || Attempt == MoveAttempts)
      return Published;
    // The version that came first has to be in force here to build on it.
    std::this_thread::sleep_for(ConfirmStep);
  }
}

HttpResponse ConfigurationApi::confirm(ConfigVersion Version) {
  TimePoint End = steadyNow() + ConfirmLimit;
  json Out;
  do {
    Out = {{"version", Version},
           {"confirmed", json::array()},
           {"unconfirmed", json::array()}};
    Peers.announce();
    std::this_thread::sleep_for(ConfirmStep);
    TimePoint Now = steadyNow();
    if (Holder.current()->Version >= Version)
      Out["confirmed"].push_back(Shared.Self);
    else {
      Out["unconfirmed"].push_back({{"daemon", Shared.Self},
                                    {"domain", Shared.Config.Domain},
                                    {"alive", true},
                                    {"permission_ends_in_ms", nullptr}});
    }
    for (const PeerEntry &Peer : Peers.peers()) {
      if (Peer.State.Domain.empty())
        continue;
      if (Peer.State.Version >= Version) {
        Out["confirmed"].push_back(Peer.State.Daemon);
        continue;
      }
      Duration Left = Peer.State.StartPermission - (Now - Peer.HeardAt);
      Out["unconfirmed"].push_back(
          {{"daemon", Peer.State.Daemon},
           {"domain", Peer.State.Domain},
           {"alive", Peer.Alive},
           {"permission_ends_in_ms",
            std::max<std::int64_t>(0, Left.count() / 1000)}});
    }
  } while (!Out["unconfirmed"].empty() && steadyNow() < End);
  Out["in_force"] = Out["unconfirmed"].empty();
  return {200, Out.dump(), "application/json", {}};
}

} // namespace banyanworks
