/// \file
/// Implements the subcommands "domain" and "workspace".
#include "cli/Commands.h"
#include "cli/Session.h"

#include <iostream>
#include <memory>

#include <CLI/CLI.hpp>

namespace banyanworks {

namespace {

using nlohmann::json;

int listDomains(Session &Api) {
  ApiCall Get;
  Get.Path = "/v1/domains";
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson()) {
    std::cout << Answer.Body << '\n';
    return 0;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"DOMAIN", "REGION", "STATE", "DRAIN"}};
  for (const json &Each : Answer.json()) {
    Rows.push_back({field(Each, "id"), field(Each, "region"),
                    Each.value("in", false) ? "in" : "out",
                    field(Each, "drain")});
  }
  printTable(Rows);
  return 0;
}

int setDomainState(Session &Api, const std::string &Name, const char *State) {
  ApiCall Post;
  Post.Verb = "POST";
  Post.Path = "/v1/domains/" + Name + "/" + State;
  ApiAnswer Answer = Api.call(Post);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson()) {
    std::cout << Answer.Body << '\n';
    return 0;
  }
  json Body = Answer.json();
  std::cout << Name << " is " << State << " with version "
            << field(Body, "version");
  if (Body.value("in_force", false)) {
    std::cout << ", in force on " << Body.at("confirmed").size()
              << " daemons\n";
    return 0;
  }
  std::cout << "; not yet confirmed by:\n";
  for (const json &Each : Body.at("unconfirmed")) {
    std::cout << "  " << field(Each, "daemon") << " in "
              << field(Each, "domain") << ", start permission ends in "
              << field(Each, "permission_ends_in_ms") << " ms\n";
  }
  return 0;
}

int showWorkspaces(Session &Api, const std::string &Name) {
  ApiCall Get;
  Get.Path = "/v1/workspaces";
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson()) {
    std::cout << Answer.Body << '\n';
    return 0;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"WORKSPACE", "DOMAIN", "GUARANTEED", "USED", "BORROWED", "WAITING",
       "RUNNING"}};
  for (const json &Domain : Answer.json().at("domains")) {
    for (const json &Each : Domain.value("workspaces", json::array())) {
      if (!Name.empty() && field(Each, "id") != Name)
        continue;
      Rows.push_back({field(Each, "id"), field(Each, "domain"),
                      field(Each, "guaranteed_accelerators"),
                      field(Each, "used_accelerators"),
                      field(Each.at("borrowed"), "accelerators"),
                      field(Each, "waiting_jobs"),
                      field(Each, "running_jobs")});
    }
  }
  printTable(Rows);
  return 0;
}

void addStateCommand(CLI::App &Domain, Session &Api, const char *State,
                     const char *Help) {
  CLI::App *Command = Domain.add_subcommand(State, Help);
  auto Name = std::make_shared<std::string>();
  Command->add_option("name", *Name, "id of the failure domain")->required();
  setAction(*Command,
            [Name, State, &Api] { return setDomainState(Api, *Name, State); });
}

} // namespace

void addDomainCommands(CLI::App &Program, Session &Api) {
  CLI::App *Domain = Program.add_subcommand("domain", "manage failure domains");
  Domain->require_subcommand(1);
  Domain->footer("Example:\n  banyanworks domain out kr-south-a");
  setAction(*Domain->add_subcommand("list", "list all failure domains"),
            [&Api] { return listDomains(Api); });
  addStateCommand(*Domain, Api, "out", "take a failure domain out of service");
  addStateCommand(*Domain, Api, "in",
                  "bring a failure domain back into service");

  CLI::App *Workspace = Program.add_subcommand(
      "workspace", "show workspaces and their guarantees");
  Workspace->require_subcommand(1);
  Workspace->footer("Example:\n  banyanworks workspace show research");
  setAction(*Workspace->add_subcommand("list", "list all workspaces"),
            [&Api] { return showWorkspaces(Api, ""); });
  CLI::App *Show = Workspace->add_subcommand("show", "show one workspace");
  auto Name = std::make_shared<std::string>();
  Show->add_option("name", *Name)->required();
  setAction(*Show, [Name, &Api] { return showWorkspaces(Api, *Name); });
}

} // namespace banyanworks
