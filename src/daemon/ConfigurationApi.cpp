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

/// The longest wait for the daemons to confirm a published version.
constexpr Duration ConfirmTimeout = std::chrono::seconds(3);
constexpr auto ConfirmPollInterval = std::chrono::milliseconds(100);
/// The most attempts to put a failure domain in or out of service when other
/// operators publish at the same time.
constexpr int MaxServiceChangeAttempts = 8;

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
               [this](const HttpRequest &R) { return setInService(R, false); });
  Server.route("POST", "/v1/domains/:domain/in",
               [this](const HttpRequest &R) { return setInService(R, true); });
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
  return awaitConfirmations(*Published);
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

HttpResponse ConfigurationApi::setInService(const HttpRequest &Request,
                                            bool InService) {
  DomainId Domain(Request.variable("domain"));
  Outcome<ConfigVersion> Published =
      publishServiceChange(Domain, InService, Request.header("x-author"));
  if (!Published)
    return refusal(Published.error());
  logInfo(InService ? "domain_in" : "domain_out",
          {{"domain", Domain.str()},
           {"version", std::to_string(Published->value())}});
  return awaitConfirmations(*Published);
}

Outcome<ConfigVersion>
ConfigurationApi::publishServiceChange(const DomainId &Domain, bool InService,
                                       const std::string &Author) {
  for (int Attempt = 1;; ++Attempt) {
    Configuration Next = *Holder.current();
    auto Found = Next.Domains.find(Domain);
    if (Found == Next.Domains.end())
      return fail(Reason::UnknownDomain,
                  "no failure domain '" + Domain.str() + "' is configured");
    if (Found->second.InService == InService)
      return Next.Version;
    Found->second.InService = InService;
    Next.Author = Author;
    Next.Comment = Domain.str() + (InService ? " in" : " out");
    Outcome<ConfigVersion> Published = Sync.publish(std::move(Next));
    bool Conflicted =
        !Published && reasonOf(Published.error()) == Reason::VersionConflict;
    if (!Conflicted || Attempt == MaxServiceChangeAttempts)
      return Published;
    // The next attempt builds on the conflicting version, which has to be in
    // force on this daemon first.
    std::this_thread::sleep_for(ConfirmPollInterval);
  }
}

HttpResponse ConfigurationApi::awaitConfirmations(ConfigVersion Version) {
  TimePoint Deadline = steadyNow() + ConfirmTimeout;
  json Out;
  do {
    Out = {{"version", Version},
           {"confirmed", json::array()},
           {"unconfirmed", json::array()}};
    Peers.announce();
    std::this_thread::sleep_for(ConfirmPollInterval);
    TimePoint Now = steadyNow();
    if (Holder.current()->Version >= Version)
      Out["confirmed"].push_back(Shared.Self);
    else {
      Out["unconfirmed"].push_back({{"daemon", Shared.Self},
                                    {"domain", Shared.DaemonSettings.Domain},
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
      Duration PermissionLeft =
          Peer.State.StartPermission - (Now - Peer.LastSeen);
      Out["unconfirmed"].push_back(
          {{"daemon", Peer.State.Daemon},
           {"domain", Peer.State.Domain},
           {"alive", Peer.Alive},
           {"permission_ends_in_ms",
            std::max<std::int64_t>(0, PermissionLeft.count() / 1000)}});
    }
  } while (!Out["unconfirmed"].empty() && steadyNow() < Deadline);
  Out["in_force"] = Out["unconfirmed"].empty();
  return {200, Out.dump(), "application/json", {}};
}

} // namespace banyanworks
