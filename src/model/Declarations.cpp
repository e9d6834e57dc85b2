/// \file
/// Implements the reader of a set of declaration files.
#include "model/Declarations.h"

#include "model/OperatorDeclaration.h"
#include "model/ServiceDeclaration.h"
#include "model/TomlReader.h"

namespace banyanworks {

namespace {

/// Lists the keys of a map for the hint of a diagnostic.
template <typename Map> std::string listDeclared(const Map &Items) {
  std::string Result;
  for (const auto &Entry : Items)
    Result += (Result.empty() ? "" : ", ") + Entry.first.str();
  return Result.empty() ? "none is declared" : "declared are: " + Result;
}

void checkService(const Configuration &Config, const Service &Item,
                  const std::string &File,
                  std::vector<Diagnostic> &Diagnostics) {
  const std::string Subject = "service '" + Item.Id.str() + "'";
  if (Config.Workspaces.count(Item.Workspace) == 0) {
    Diagnostics.push_back({{File, 0, 0},
                           Subject + " refers to the unknown workspace '" +
                               Item.Workspace.str() + "'",
                           listDeclared(Config.Workspaces)});
  }
  for (const auto &Entry : Item.Endpoints) {
    const Endpoint &Target = Entry.second;
    if (Config.Domains.count(Target.Domain) > 0)
      continue;
    Diagnostics.push_back(
        {{File, 0, 0},
         Subject + " has endpoints in the unknown failure domain '" +
             Target.Domain.str() + "'",
         listDeclared(Config.Domains)});
    return;
  }
}

void checkWorkspace(const Configuration &Config, const Workspace &Item,
                    const std::string &File,
                    std::vector<Diagnostic> &Diagnostics) {
  for (const GuaranteedCell &Cell : Item.Guarantee) {
    if (Cell.Domain.empty() || Config.Domains.count(Cell.Domain) > 0)
      continue;
    Diagnostics.push_back({{File, 0, 0},
                           "workspace '" + Item.Id.str() +
                               "' has guaranteed cells in the unknown failure "
                               "domain '" +
                               Cell.Domain.str() + "'",
                           listDeclared(Config.Domains)});
  }
}

} // namespace

std::vector<Diagnostic> checkReferences(const Configuration &Config,
                                        const std::string &File) {
  std::vector<Diagnostic> Diagnostics;
  if (Config.Domains.empty()) {
    Diagnostics.push_back({{File, 0, 0},
                           "no failure domain is declared",
                           "add [domain.NAME] to the operators' file"});
  }
  for (const auto &Entry : Config.Services)
    checkService(Config, Entry.second, File, Diagnostics);
  for (const auto &Entry : Config.Workspaces)
    checkWorkspace(Config, Entry.second, File, Diagnostics);
  return Diagnostics;
}

DeclarationResult readDeclarations(const std::vector<SourceFile> &Files) {
  DeclarationResult Result;
  std::vector<std::pair<std::string, toml::table>> ParsedFiles;
  for (const SourceFile &File : Files)
    if (auto Table = parseToml(File.Text, File.Path, Result.Diagnostics))
      ParsedFiles.emplace_back(File.Path, std::move(*Table));

  // Without the names of an unreadable file, references from other files would
  // be reported as unknown.
  if (!Result.Diagnostics.empty())
    return Result;

  std::vector<TomlReader> Readers;
  Readers.reserve(ParsedFiles.size());
  for (const auto &[Path, Table] : ParsedFiles) {
    TomlReader &Reader = Readers.emplace_back(Table, Path, Result.Diagnostics);
    readServiceDeclaration(Reader, Result.Config);
    readOperatorDeclaration(Reader, Result.Config);
  }
  // Endpoints are read last because they may refer to a service of any file.
  for (TomlReader &Reader : Readers) {
    readEndpoints(Reader, Result.Config);
    Reader.reportUnknownKeys();
  }
  if (Result.Diagnostics.empty())
    Result.Diagnostics = checkReferences(Result.Config, "declarations");
  return Result;
}

void keepOperatorState(const Configuration &Current, Configuration &Next) {
  for (auto &[Id, Domain] : Next.Domains) {
    auto Old = Current.Domains.find(Id);
    if (Old != Current.Domains.end())
      Domain.InService = Old->second.InService;
  }
  for (auto &[Id, Item] : Next.Services) {
    auto Old = Current.Services.find(Id);
    if (Old == Current.Services.end())
      continue;
    for (auto &[EndpointName, NextEndpoint] : Item.Endpoints) {
      auto OldEndpoint = Old->second.Endpoints.find(EndpointName);
      if (OldEndpoint != Old->second.Endpoints.end() &&
          OldEndpoint->second.Address == NextEndpoint.Address)
        NextEndpoint.Draining = OldEndpoint->second.Draining;
    }
  }
}

} // namespace banyanworks
