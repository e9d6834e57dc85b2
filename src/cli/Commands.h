/// \file
/// Declares the functions that add the subcommands of the command line to the
/// program, one per group.
#ifndef BANYANWORKS_CLI_COMMANDS_H
#define BANYANWORKS_CLI_COMMANDS_H

#include <functional>

namespace CLI { // NOLINT: the namespace of the CLI11 library
class App;
} // namespace CLI

namespace banyanworks {

class Session;

/// Adds "publish" and "config".
void addConfigurationCommands(CLI::App &Program, Session &Api);
/// Adds "domain" and "workspace".
void addDomainCommands(CLI::App &Program, Session &Api);
/// Adds "job".
void addJobCommands(CLI::App &Program, Session &Api);
/// Adds "call".
void addCallCommand(CLI::App &Program, Session &Api);
/// Adds "explain", which reads log files and calls no daemon.
void addExplainCommand(CLI::App &Program);
/// Adds "worker", "endpoint", "status" and "version".
void addViewCommands(CLI::App &Program, Session &Api);

/// Runs \p Action if \p Command is selected; its result is the exit code.
void setAction(CLI::App &Command, std::function<int()> Action);

} // namespace banyanworks

#endif
