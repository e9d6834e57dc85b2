/// \file
/// Implements the subcommands "worker", "endpoint", "status" and "version".
#include "cli/Commands.h"
#include "cli/Session.h"

#include <iostream>
#include <memory>
#include <thread>

#include <CLI/CLI.hpp>

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr const char *Version = "0.1.0";
constexpr auto RefreshInterval = std::chrono::seconds(2);

/// Reads \p Path from the API and prints it with \p Print, or as JSON.
template <typename Printer>
int show(Session &Api, const std::string &Path, Printer Print) {
  ApiCall Get;
  Get.Path = Path;
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson())
    std::cout << Answer.Body << '\n';
  else
    Print(Answer.json());
  return 0;
}

void printWorkers(const json &Body) {
  std::vector<std::vector<std::string>> Rows = {
      {"WORKER", "DOMAIN", "RACK", "TASKS", "FREE", "OF", "STATE"}};
  for (const json &Domain : Body.at("domains")) {
    for (const json &Each : Domain.value("worker_list", json::array())) {
      Rows.push_back({field(Each, "id"), field(Each, "domain"),
                      field(Each, "rack"), field(Each, "tasks"),
                      field(Each.at("free"), "accelerators"),
                      field(Each.at("capacity"), "accelerators"),
                      Each.value("set_aside", false) ? "set aside" : "ok"});
    }
  }
  printTable(Rows);
}

void printEndpoints(const json &Body) {
  std::vector<std::vector<std::string>> Rows = {{"ENDPOINT", "SERVICE",
                                                 "DOMAIN", "ADDRESS", "SLOTS",
                                                 "IN FLIGHT", "STATE"}};
  for (const json &Each : Body) {
    std::string State = Each.value("draining", false) ? "draining" : "ok";
    if (Each.value("set_aside", false))
      State = "set aside";
    Rows.push_back({field(Each, "id"), field(Each, "service"),
                    field(Each, "domain"), field(Each, "address"),
                    field(Each, "slots"), field(Each, "in_flight"), State});
  }
  printTable(Rows);
}

void printStatus(const json &Body) {
  std::cout << "configuration version " << field(Body, "version") << "\n\n";
  std::vector<std::vector<std::string>> Domains = {{"DOMAIN", "STATE", "OWNER",
                                                    "EPOCH", "WORKERS", "FREE",
                                                    "OF", "WAITING", "ACTIVE"}};
  for (const json &Each : Body.at("domains")) {
    std::string State = Each.value("in", false) ? "in" : "out";
    if (Each.value("recovering", false))
      State += ", recovering";
    Domains.push_back({field(Each, "id"), State, field(Each, "owner"),
                       field(Each, "epoch"), field(Each, "workers"),
                       field(Each, "free_accelerators"),
                       field(Each, "accelerators"), field(Each, "waiting_jobs"),
                       field(Each, "active_jobs")});
  }
  for (const json &Name : Body.at("unreachable"))
    Domains.push_back({Name.get<std::string>(), "not reachable"});
  printTable(Domains);
  std::cout << '\n';
  std::vector<std::vector<std::string>> Daemons = {
      {"DAEMON", "DOMAIN", "CALLERS AT", "VERSION", "STATE"}};
  for (const json &Each : Body.at("daemons")) {
    std::string State = Each.value("alive", false) ? "alive" : "silent";
    if (Each.value("draining", false))
      State = "draining";
    Daemons.push_back({field(Each, "daemon"), field(Each, "domain"),
                       field(Each, "listen"), field(Each, "version"), State});
  }
  printTable(Daemons);
  std::cout << '\n';
  std::vector<std::vector<std::string>> Services = {
      {"SERVICE", "ENDPOINTS", "QUEUED", "OPEN"}};
  for (const json &Each : Body.value("services", json::array()))
    Services.push_back({field(Each, "id"), field(Each, "endpoints"),
                        field(Each, "queued"), field(Each, "open")});
  printTable(Services);
}

int showStatus(Session &Api, bool Watch) {
  while (true) {
    if (Watch)
      std::cout << "\033[H\033[2J";
    int Code = show(Api, "/v1/status", printStatus);
    std::cout << std::flush;
    if (!Watch)
      return Code;
    std::this_thread::sleep_for(RefreshInterval);
  }
}

int showVersion(Session &Api) {
  std::cout << (Api.asJson() ? "{\"version\":\"" : "banyanworks ") << Version
            << (Api.asJson() ? "\"}\n" : "\n");
  return 0;
}

} // namespace

void addViewCommands(CLI::App &Program, Session &Api) {
  CLI::App *Worker = Program.add_subcommand("worker", "workers");
  Worker->require_subcommand(1);
  Worker->footer("Example:\n  banyanworks worker list --output json");
  setAction(*Worker->add_subcommand("list", "list all workers"),
            [&Api] { return show(Api, "/v1/workers", printWorkers); });
  CLI::App *Endpoint = Program.add_subcommand("endpoint", "endpoints");
  Endpoint->require_subcommand(1);
  Endpoint->footer("Example:\n  banyanworks endpoint list");
  setAction(*Endpoint->add_subcommand("list", "list all endpoints"),
            [&Api] { return show(Api, "/v1/endpoints", printEndpoints); });
  CLI::App *Status =
      Program.add_subcommand("status", "show an overview of the deployment");
  auto Watch = std::make_shared<bool>(false);
  Status->add_flag("--watch", *Watch, "refresh every two seconds");
  Status->footer("Example:\n  banyanworks status --watch");
  setAction(*Status, [Watch, &Api] { return showStatus(Api, *Watch); });
  CLI::App *VersionCommand =
      Program.add_subcommand("version", "print the version of the program");
  VersionCommand->footer("Example:\n  banyanworks version");
  setAction(*VersionCommand, [&Api] { return showVersion(Api); });
}

} // namespace banyanworks
