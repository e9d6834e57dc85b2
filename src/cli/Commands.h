/// \file
/// Defines the groups of verbs; each adds its subcommands to the program.
#ifndef BANYANWORKS_CLI_COMMANDS_H
#define BANYANWORKS_CLI_COMMANDS_H

#include <functional>

namespace CLI { // NOLINT: the name that its library gives
class App;
} // namespace CLI

namespace banyanworks {

class Session;

/// publish, config.
void addConfigurationCommands(CLI::App &Program, Session &Api);
/// domain, workspace.
void addDomainCommands(CLI::App &Program, Session &Api);
/// job.
void addJobCommands(CLI::App &Program, Session &Api);
/// call.
void addCallCommand(CLI::App &Program, Session &Api);
/// explain; calls no daemon.
void addExplainCommand(CLI::App &Program);
/// worker, endpoint, status, version.
void addViewCommands(CLI::App &Program, Session &Api);

/// Runs \p Body when the subcommand is chosen; its result is the exit code.
void setAction(CLI::App &Command, std::function<int()> Action);

} // namespace banyanworks

#endif
