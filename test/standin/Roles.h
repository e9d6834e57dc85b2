/// \file
/// Defines the roles of the stand-in program. Each role adds a subcommand that
/// serves until SIGTERM or SIGINT.
#ifndef BANYANWORKS_TEST_STANDIN_ROLES_H
#define BANYANWORKS_TEST_STANDIN_ROLES_H

#include "base/Time.h"

namespace CLI { // NOLINT: the library's own name
class App;
} // namespace CLI

namespace banyanworks::standin {

/// The platform's key-value store.
void addStoreRole(CLI::App &Program);
/// A number of workers in one process.
void addWorkerRole(CLI::App &Program);
/// A number of endpoints of a service in one process.
void addEndpointRole(CLI::App &Program);

/// Blocks until SIGTERM or SIGINT.
void waitForSignal();

/// The steady-clock time in the type that the models use.
TimePoint now();

} // namespace banyanworks::standin

#endif
