/// \file
/// Implements the subcommand "explain".
#include "cli/Commands.h"
#include "cli/Session.h"
#include "edge/LogHistory.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

#include <CLI/CLI.hpp>

namespace banyanworks {

namespace {

struct ExplainOptions {
  std::string Id;
  std::vector<std::string> Files;
};

int explain(const ExplainOptions &Options) {
  LogHistory History(Options.Id);
  for (const std::string &File : Options.Files) {
    std::ifstream In(File);
    if (!In) {
      std::cerr << "cannot read " << File << '\n';
      return static_cast<int>(ExitCode::Usage);
    }
    History.read(In, std::filesystem::path(File).stem().string());
  }
  if (History.write(std::cout))
    return 0;
  std::cerr << "no log line mentions " << Options.Id << '\n';
  return static_cast<int>(ExitCode::Usage);
}

} // namespace

void addExplainCommand(CLI::App &Program) {
  CLI::App *Command = Program.add_subcommand(
      "explain", "print the history of a job, task or worker from daemon logs");
  auto Options = std::make_shared<ExplainOptions>();
  Command->add_option("id", Options->Id, "id of a job, task or worker")
      ->required();
  Command->add_option("--from", Options->Files, "log files, one per process")
      ->required();
  Command->footer("Example:\n  banyanworks explain 5c0e7a21d94b36f8 --from "
                  "logs/*.log");
  setAction(*Command, [Options] { return explain(*Options); });
}

} // namespace banyanworks
