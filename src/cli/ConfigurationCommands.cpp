/// \file
/// Implements publish and config.
#include "cli/Commands.h"
#include "cli/Session.h"
#include "model/ConfigurationDiff.h"
#include "model/ConfigurationJson.h"
#include "model/Declarations.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

namespace banyanworks {

namespace {

using nlohmann::json;

struct PublishOptions {
  std::vector<std::string> Folders;
  bool DryRun = false;
  std::string Author;
  std::string Comment;
};

SourceFile readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  return {Path, Text.str()};
}

/// Every declaration file below the folders, in a fixed order.
std::vector<SourceFile> collect(const std::vector<std::string> &Folders) {
  std::vector<std::string> Paths;
  for (const std::string &Folder : Folders) {
    for (const auto &Entry :
         std::filesystem::recursive_directory_iterator(Folder))
      if (Entry.path().filename() == DeclarationFileName)
        Paths.push_back(Entry.path().string());
  }
  std::sort(Paths.begin(), Paths.end());
  std::vector<SourceFile> Result;
  Result.reserve(Paths.size());
  for (const std::string &Path : Paths)
    Result.push_back(readFile(Path));
  return Result;
}

void printFaults(const std::vector<Diagnostic> &Faults) {
  for (const Diagnostic &Fault : Faults)
    std::cerr << Fault.str() << '\n';
  std::cerr << "banyanworks: " << Faults.size()
            << " fault(s); nothing was published\n";
}

/// Tells what the daemons said about a version.
void printConfirmation(const json &Answer) {
  std::cout << "version " << field(Answer, "version");
  if (Answer.value("in_force", false)) {
    std::cout << " is in force on " << Answer.at("confirmed").size()
              << " daemons\n";
    return;
  }
  std::cout << " is accepted; not confirmed yet by:\n";
  for (const json &Each : Answer.at("unconfirmed")) {
    std::cout << "  " << field(Each, "daemon") << " in "
              << field(Each, "domain") << ", its permission to start ends in "
              << field(Each, "permission_ends_in_ms") << " ms\n";
  }
}

int sendConfiguration(Session &Calls, const Configuration &Next) {
  ApiCall Post;
  Post.Verb = "POST";
  Post.Path = "/v1/configuration";
  Post.Body = configurationToJson(Next);
  Post.Repeatable = false;
  ApiAnswer Answer = Calls.call(Post);
  if (!Answer.done())
    return Calls.fail(Answer);
  if (Calls.asJson())
    std::cout << Answer.Body << '\n';
  else
    printConfirmation(Answer.json());
  return 0;
}

int publish(Session &Calls, const PublishOptions &Options) {
  std::vector<SourceFile> Files = collect(Options.Folders);
  if (Files.empty()) {
    std::cerr << "banyanworks: no " << DeclarationFileName << " was found\n";
    return static_cast<int>(ExitCode::Usage);
  }
  DeclarationResult Read = readDeclarations(Files);
  if (!Read.Diagnostics.empty()) {
    printFaults(Read.Diagnostics);
    return static_cast<int>(ExitCode::Usage);
  }
  ApiCall Get;
  Get.Path = "/v1/configuration";
  ApiAnswer Answer = Calls.call(Get);
  if (!Answer.done())
    return Calls.fail(Answer);
  Outcome<Configuration> Current = configurationFromJson(Answer.Body);
  if (!Current) {
    std::cerr << "banyanworks: " << Current.error().Message << '\n';
    return static_cast<int>(ExitCode::Refused);
  }
  Configuration Next = std::move(Read.Config);
  keepOperatorState(*Current, Next);
  std::vector<std::string> Changes = configurationDiff(*Current, Next);
  if (!Calls.asJson())
    for (const std::string &Line : Changes)
      std::cout << Line << '\n';
  if (Options.DryRun || Changes.empty()) {
    if (Calls.asJson())
      std::cout << json{{"changes", Changes}}.dump() << '\n';
    else
      std::cout << Changes.size() << " change(s), nothing published\n";
    return 0;
  }
  Next.Version = Current->Version;
  Next.Author = Options.Author;
  Next.Comment = Options.Comment;
  return sendConfiguration(Calls, Next);
}

void addPublish(CLI::App &Program, Session &Calls) {
  CLI::App *Command = Program.add_subcommand(
      "publish", "collect declaration files and publish them as one version");
  auto Options = std::make_shared<PublishOptions>();
  Command
      ->add_option("folder", Options->Folders,
                   "folders with banyanworks.toml files")
      ->required()
      ->check(CLI::ExistingDirectory);
  Command->add_flag("--dry-run", Options->DryRun,
                    "check and show the difference only");
  Command->add_option("--author", Options->Author, "shown in the history")
      ->envname("USER");
  Command->add_option("--comment", Options->Comment, "shown in the history");
  Command->footer("Example:\n  banyanworks publish samples/hanbit --dry-run");
  onChosen(*Command, [Options, &Calls] { return publish(Calls, *Options); });
}

int showHistory(Session &Calls) {
  ApiCall Get;
  Get.Path = "/v1/configuration/history";
  ApiAnswer Answer = Calls.call(Get);
  if (!Answer.done())
    return Calls.fail(Answer);
  if (Calls.asJson()) {
    std::cout << Answer.Body << '\n';
    return 0;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"VERSION", "AUTHOR", "COMMENT"}};
  for (const json &Each : Answer.json())
    Rows.push_back({field(Each, "version"), field(Each, "author"),
                    field(Each, "comment")});
  printTable(Rows);
  return 0;
}

int showConfiguration(Session &Calls) {
  ApiCall Get;
  Get.Path = "/v1/configuration";
  ApiAnswer Answer = Calls.call(Get);
  if (!Answer.done())
    return Calls.fail(Answer);
  std::cout << (Calls.asJson() ? Answer.Body : Answer.json().dump(2)) << '\n';
  return 0;
}

} // namespace

void addConfigurationCommands(CLI::App &Program, Session &Calls) {
  addPublish(Program, Calls);
  CLI::App *Config =
      Program.add_subcommand("config", "the configuration in force");
  Config->require_subcommand(1);
  Config->footer("Example:\n  banyanworks config history");
  onChosen(*Config->add_subcommand("show", "the whole configuration"),
           [&Calls] { return showConfiguration(Calls); });
  onChosen(*Config->add_subcommand("history", "all published versions"),
           [&Calls] { return showHistory(Calls); });
}

} // namespace banyanworks
