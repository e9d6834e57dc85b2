/// \file
/// Implements the command-line client for operators and callers.
#include "cli/Commands.h"
#include "cli/Session.h"

#include <CLI/CLI.hpp>

namespace banyanworks {

void setAction(CLI::App &Command, std::function<int()> Action) {
  Command.final_callback([Body = std::move(Action)] {
    if (int Code = Body())
      throw CLI::RuntimeError(Code);
  });
}

} // namespace banyanworks

using namespace banyanworks;

namespace {

constexpr const char *Description =
    "banyanworks: jobs, requests and configuration of a deployment.";
constexpr const char *Footer =
    "Examples:\n"
    "  banyanworks publish services/ operators/ --dry-run\n"
    "  banyanworks job submit job.toml --key lot-17 --wait\n"
    "  banyanworks call slate-orders price --data quote.json\n"
    "  banyanworks domain out kr-south-a\n"
    "\n"
    "Exit codes: 0 done, 2 usage or invalid file, 3 refused and not run,\n"
    "4 outcome unknown, 5 no daemon reachable.";

} // namespace

int main(int Count, char **Arguments) {
  Session Api;
  CLI::App Program(Description);
  Program.footer(Footer);
  Program.require_subcommand(1);
  Program.fallthrough();
  Program
      .add_option("--server", Api.Servers,
                  "host:port of a daemon; may be repeated, tried in order")
      ->envname("BANYANWORKS_SERVERS")
      ->delimiter(',')
      ->expected(1, 100)
      ->take_all();
  Program.add_option("--output", Api.Output, "output format: text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  addConfigurationCommands(Program, Api);
  addDomainCommands(Program, Api);
  addJobCommands(Program, Api);
  addCallCommand(Program, Api);
  addExplainCommand(Program);
  addViewCommands(Program, Api);
  try {
    Program.parse(Count, Arguments);
  } catch (const CLI::RuntimeError &Ended) {
    return Ended.get_exit_code();
  } catch (const CLI::ParseError &Fault) {
    int Code = Program.exit(Fault);
    return Code == 0 ? 0 : static_cast<int>(ExitCode::Usage);
  }
  return 0;
}
