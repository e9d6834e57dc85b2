/// \file
/// Implements the subcommands "publish" and "config".
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

/// Reads all declaration files below the folders, sorted by path.
std::vector<SourceFile>
collectDeclarations(const std::vector<std::string> &Folders) {
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

void printDiagnostics(const std::vector<Diagnostic> &Diagnostics) {
  for (const Diagnostic &Each : Diagnostics)
    std::cerr << Each.str() << '\n';
  std::cerr << "banyanworks: " << Diagnostics.size()
            << " error(s); nothing was published\n";
}

/// Prints which daemons have confirmed a version.
void printConfirmations(const json &Answer) {
  std::cout << "version " << field(Answer, "version");
  if (Answer.value("in_force", false)) {
    std::cout << " is in force on " << Answer.at("confirmed").size()
              << " daemons\n";
    return;
  }
  std::cout << " is accepted; not yet confirmed by:\n";
  for (const json &Each : Answer.at("unconfirmed")) {
    std::cout << "  " << field(Each, "daemon") << " in "
              << field(Each, "domain") << ", start permission ends in "
              << field(Each, "permission_ends_in_ms") << " ms\n";
  }
}

int sendConfiguration(Session &Api, const Configuration &Next) {
  ApiCall Post;
  Post.Verb = "POST";
  Post.Path = "/v1/configuration";
  Post.Body = configurationToJson(Next);
  Post.Repeatable = false;
  ApiAnswer Answer = Api.call(Post);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson())
    std::cout << Answer.Body << '\n';
  else
    printConfirmations(Answer.json());
  return 0;
}

int publish(Session &Api, const PublishOptions &Options) {
  std::vector<SourceFile> Files = collectDeclarations(Options.Folders);
  if (Files.empty()) {
    std::cerr << "banyanworks: no " << DeclarationFileName << " found\n";
    return static_cast<int>(ExitCode::Usage);
  }
  DeclarationResult Declared = readDeclarations(Files);
  if (!Declared.Diagnostics.empty()) {
    printDiagnostics(Declared.Diagnostics);
    return static_cast<int>(ExitCode::Usage);
  }
  ApiCall Get;
  Get.Path = "/v1/configuration";
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  Outcome<Configuration> Current = configurationFromJson(Answer.Body);
  if (!Current) {
    std::cerr << "banyanworks: " << Current.error().Message << '\n';
    return static_cast<int>(ExitCode::Refused);
  }
  Configuration Next = std::move(Declared.Config);
  keepOperatorState(*Current, Next);
  std::vector<std::string> Changes = configurationDiff(*Current, Next);
  if (!Api.asJson())
    for (const std::string &Line : Changes)
      std::cout << Line << '\n';
  if (Options.DryRun || Changes.empty()) {
    if (Api.asJson())
      std::cout << json{{"changes", Changes}}.dump() << '\n';
    else
      std::cout << Changes.size() << " change(s), nothing published\n";
    return 0;
  }
  Next.Version = Current->Version;
  Next.Author = Options.Author;
  Next.Comment = Options.Comment;
  return sendConfiguration(Api, Next);
}

void addPublish(CLI::App &Program, Session &Api) {
  CLI::App *Command = Program.add_subcommand(
      "publish", "publish the declaration files of the folders as one version");
  auto Options = std::make_shared<PublishOptions>();
  Command
      ->add_option("folder", Options->Folders,
                   "folders that are searched for banyanworks.toml files")
      ->required()
      ->check(CLI::ExistingDirectory);
  Command->add_flag("--dry-run", Options->DryRun,
                    "check and show the changes without publishing them");
  Command->add_option("--author", Options->Author, "shown in the history")
      ->envname("USER");
  Command->add_option("--comment", Options->Comment, "shown in the history");
  Command->footer("Example:\n  banyanworks publish samples/hanbit --dry-run");
  setAction(*Command, [Options, &Api] { return publish(Api, *Options); });
}

int showHistory(Session &Api) {
  ApiCall Get;
  Get.Path = "/v1/configuration/history";
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson()) {
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

int showConfiguration(Session &Api) {
  ApiCall Get;
  Get.Path = "/v1/configuration";
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  std::cout << (Api.asJson() ? Answer.Body : Answer.json().dump(2)) << '\n';
  return 0;
}

} // namespace

void addConfigurationCommands(CLI::App &Program, Session &Api) {
  addPublish(Program, Api);
  CLI::App *Config =
      Program.add_subcommand("config", "show the configuration in force");
  Config->require_subcommand(1);
  Config->footer("Example:\n  banyanworks config history");
  setAction(*Config->add_subcommand("show", "show the configuration"),
            [&Api] { return showConfiguration(Api); });
  setAction(*Config->add_subcommand("history", "list all published versions"),
            [&Api] { return showHistory(Api); });
}

} // namespace banyanworks
