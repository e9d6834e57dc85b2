/// \file
/// Entry point of the stand-in program, which simulates the platform's store,
/// workers and endpoints for tests and the demonstration.
#include "standin/Roles.h"

#include <csignal>

#include <CLI/CLI.hpp>

namespace banyanworks::standin {

void waitForSignal() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

TimePoint now() {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(SinceBoot));
}

} // namespace banyanworks::standin

int main(int Count, char **Arguments) {
  // All threads inherit the mask, so that only waitForSignal() receives the
  // signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  CLI::App Program("Stand-ins for the platform services that banyanworks uses");
  Program.require_subcommand(1);
  banyanworks::standin::addStoreRole(Program);
  banyanworks::standin::addWorkerRole(Program);
  banyanworks::standin::addEndpointRole(Program);
  CLI11_PARSE(Program, Count, Arguments);
  return 0;
}
