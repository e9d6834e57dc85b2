/// \file
/// Implements the benchmark program: each registered command is a subcommand
/// that prints its table as Markdown and optionally writes it as JSON.
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace {

using namespace banyanworks;
using namespace banyanworks::bench;

void print(const BenchTable &Table) {
  std::printf("### %s\n\n| measure | case | measured | target | met |\n"
              "|---|---|---|---|---|\n",
              Table.Title.c_str());
  for (const BenchRow &Row : Table.Rows) {
    std::printf("| %s | %s | %s | %s | %s |\n", Row.Measure.c_str(),
                Row.Case.c_str(), Row.Value.c_str(), Row.Target.c_str(),
                Row.Met.c_str());
  }
}

bool writeJson(const BenchTable &Table, const std::string &File) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const BenchRow &Row : Table.Rows) {
    Rows.push_back({{"measure", Row.Measure},
                    {"case", Row.Case},
                    {"value", Row.Value},
                    {"target", Row.Target},
                    {"met", Row.Met}});
  }
  std::ofstream Out(File);
  Out << nlohmann::json{{"title", Table.Title}, {"rows", Rows}}.dump(2) << "\n";
  return Out.good();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Measures the decisions of banyanworks.");
  App.require_subcommand(1);
  std::string JsonFile;
  App.add_option("--json", JsonFile, "Write the table to this file as JSON");
  std::map<std::string, std::unique_ptr<BenchCommand>> Commands;
  const auto &CommandRegistry = Registry<BenchCommand>::instance();
  for (const std::string &Name : CommandRegistry.names()) {
    std::unique_ptr<BenchCommand> Command = CommandRegistry.make(Name);
    CLI::App *Sub = App.add_subcommand(Name, Command->description());
    Sub->fallthrough();
    Command->addFlags(*Sub);
    Commands.emplace(Name, std::move(Command));
  }
  CLI11_PARSE(App, ArgumentCount, Arguments);
  BenchTable Table =
      Commands.at(App.get_subcommands().front()->get_name())->run();
  print(Table);
  if (JsonFile.empty() || writeJson(Table, JsonFile))
    return 0;
  std::fprintf(stderr, "cannot write %s\n", JsonFile.c_str());
  return 1;
}
