/// \file
/// The daemon's entry point: reads settings, serves until SIGTERM or SIGINT,
/// then drains.
#include "daemon/Daemon.h"
#include "edge/Log.h"
#include "edge/Settings.h"

#include <csignal>
#include <iostream>

using namespace banyanworks;

namespace {

constexpr int ExitStartFailed = 1;
constexpr int ExitUsage = 2;
constexpr int ExitRequestsAborted = 3;

int run(const Settings &Values) {
  // All threads inherit the mask, so that only sigwait() receives the signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  startLog("banyanworksd", Values.LogLevel);

  Daemon Process(Values);
  Outcome<void> Started = Process.start();
  if (!Started) {
    logError("start_failed", {{"fault", Started.error().Message}});
    return ExitStartFailed;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Process.drainAndStop() ? 0 : ExitRequestsAborted;
}

} // namespace

int main(int Count, char **Arguments) {
  ParsedSettings Parsed = parseSettings(Count, Arguments);
  if (Parsed.Action == SettingsAction::Exit)
    return 0;
  for (const std::string &Fault : Parsed.Faults)
    std::cerr << "banyanworksd: " << Fault << '\n';
  if (Parsed.Action == SettingsAction::Print)
    std::cout << formatSettings(Parsed.Values);
  if (!Parsed.Faults.empty())
    return ExitUsage;
  if (Parsed.Action != SettingsAction::Run)
    return 0;
  return run(Parsed.Values);
}
