/// \file
/// Implements reading and checking of a daemon's settings.
#include "edge/Settings.h"

#include "edge/EndpointAdapter.h"
#include "edge/HttpServer.h"
#include "edge/StoreAdapter.h"
#include "edge/WorkerAdapter.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

namespace banyanworks {

namespace {

constexpr unsigned MaxThreads = 256;

/// One setting, with functions that parse its text and format its value.
struct Option {
  std::string Flag;
  std::string Help;
  /// Stores the parsed text; returns an error message, or an empty string.
  std::function<std::string(const std::vector<std::string> &)> Parse;
  std::function<std::string(const Settings &)> Format;
  bool Repeated = false;
};

std::string variableName(const std::string &Flag) {
  std::string Name = "BANYANWORKS" + Flag.substr(1);
  for (char &Letter : Name)
    Letter = Letter == '-' ? '_' : static_cast<char>(std::toupper(Letter));
  return Name;
}

std::string checkAddress(const std::string &Text) {
  if (parseAddress(Text).Port != 0 && !parseAddress(Text).Host.empty())
    return "";
  return "'" + Text + "' is not an address of the form 127.0.0.1:8080";
}

Option addressOption(std::string Flag, std::string Help, Settings &Values,
                     std::string Settings::*Field) {
  auto Parse = [&Values, Field](const std::vector<std::string> &Texts) {
    Values.*Field = Texts.back();
    return checkAddress(Texts.back());
  };
  auto Format = [Field](const Settings &Source) { return Source.*Field; };
  return {std::move(Flag), std::move(Help), Parse, Format};
}

/// An integer between two bounds, in the unit that \p Help names.
template <typename Setter, typename Getter>
Option numberOption(std::string Flag, std::string Help, std::int64_t Min,
                    std::int64_t Max, Setter Set, Getter Value) {
  auto Parse = [=](const std::vector<std::string> &Texts) -> std::string {
    std::int64_t Number = 0;
    if (!CLI::detail::lexical_cast(Texts.back(), Number) || Number < Min ||
        Number > Max)
      return "'" + Texts.back() + "' is not a number from " +
             std::to_string(Min) + " to " + std::to_string(Max);
    Set(Number);
    return "";
  };
  auto Format = [=](const Settings &Source) {
    return std::to_string(Value(Source));
  };
  return {std::move(Flag), std::move(Help), Parse, Format};
}

template <typename Plugins>
Option adapterOption(std::string Flag, std::string Help, Settings &Values,
                     std::string Settings::*Field) {
  auto Parse = [&Values,
                Field](const std::vector<std::string> &Texts) -> std::string {
    Values.*Field = Texts.back();
    std::vector<std::string> KnownNames = Plugins::instance().names();
    if (std::find(KnownNames.begin(), KnownNames.end(), Texts.back()) !=
        KnownNames.end())
      return "";
    return "'" + Texts.back() +
           "' is not one of: " + CLI::detail::join(KnownNames);
  };
  auto Format = [Field](const Settings &Source) { return Source.*Field; };
  return {std::move(Flag), std::move(Help), Parse, Format};
}

Option domainOption(Settings &Values) {
  auto Parse = [&Values](const std::vector<std::string> &Texts) -> std::string {
    Values.Domain = DomainId(Texts.back());
    return Texts.back().empty() ? "the name is empty" : "";
  };
  auto Format = [](const Settings &Source) { return Source.Domain.str(); };
  return {"--domain", "failure domain of this daemon", Parse, Format};
}

Option peersOption(Settings &Values) {
  auto Parse = [&Values](const std::vector<std::string> &Texts) {
    Values.Peers = Texts;
    for (const std::string &Text : Texts) {
      std::string Fault = checkAddress(Text);
      if (!Fault.empty())
        return Fault;
    }
    return std::string();
  };
  auto Format = [](const Settings &Source) {
    return CLI::detail::join(Source.Peers);
  };
  return {"--peer", "internal address of another daemon; repeatable", Parse,
          Format, true};
}

constexpr std::int64_t toMicroseconds(std::int64_t Seconds) {
  return Seconds * 1000000;
}

std::vector<Option> options(Settings &Values) {
  return {
      addressOption("--listen", "address for callers and operators", Values,
                    &Settings::Listen),
      addressOption("--internal-listen", "address for peers and workers",
                    Values, &Settings::InternalListen),
      domainOption(Values),
      addressOption("--store", "address of the platform's store", Values,
                    &Settings::Store),
      peersOption(Values),
      adapterOption<StoreAdapterRegistry>("--store-adapter",
                                          "protocol of the store", Values,
                                          &Settings::StoreAdapter),
      adapterOption<WorkerAdapterRegistry>("--worker-adapter",
                                           "protocol of the workers", Values,
                                           &Settings::WorkerAdapter),
      adapterOption<EndpointAdapterRegistry>(
          "--endpoint-adapter", "protocol of the endpoints", Values,
          &Settings::EndpointAdapter),
      numberOption(
          "--threads", "threads for blocking calls", 4, MaxThreads,
          [&](std::int64_t N) { Values.Threads = static_cast<unsigned>(N); },
          [](const Settings &S) { return S.Threads; }),
      numberOption(
          "--max-body-bytes", "longest body of a request", 1024, 1 << 30,
          [&](std::int64_t N) { Values.MaxBody = N; },
          [](const Settings &S) { return S.MaxBody; }),
      numberOption(
          "--drain-seconds", "longest wait for requests on SIGTERM", 0, 3600,
          [&](std::int64_t N) {
            Values.DrainTimeout = Duration(toMicroseconds(N));
          },
          [](const Settings &S) { return S.DrainTimeout.count() / 1000000; }),
      numberOption(
          "--balancer-delay-ms", "wait after leaving the balancer", 0, 60000,
          [&](std::int64_t N) { Values.BalancerDelay = Duration(N * 1000); },
          [](const Settings &S) { return S.BalancerDelay.count() / 1000; }),
      numberOption(
          "--log-level", "0 info, 1 warning, 2 error", 0, 2,
          [&](std::int64_t N) { Values.LogLevel = static_cast<int>(N); },
          [](const Settings &S) { return S.LogLevel; }),
  };
}

void require(const std::string &Value, const std::string &Flag,
             std::vector<std::string> &Faults) {
  if (Value.empty())
    Faults.push_back(Flag + " (" + variableName(Flag) + "): is required");
}

void checkRequired(const Settings &Values, std::vector<std::string> &Faults) {
  require(Values.Listen, "--listen", Faults);
  require(Values.InternalListen, "--internal-listen", Faults);
  require(Values.Domain.str(), "--domain", Faults);
  require(Values.Store, "--store", Faults);
  if (!Values.Listen.empty() && Values.Listen == Values.InternalListen)
    Faults.push_back("--internal-listen: is the same address as --listen");
}

} // namespace

ParsedSettings parseSettings(int Count, char **Arguments) {
  ParsedSettings Result;
  std::vector<Option> KnownOptions = options(Result.Values);
  std::vector<std::vector<std::string>> Texts(KnownOptions.size());
  CLI::App Program("banyanworksd: schedules jobs and routes requests");
  Program.allow_extras();
  for (std::size_t Index = 0; Index < KnownOptions.size(); ++Index) {
    CLI::Option *CliOption =
        Program.add_option(KnownOptions[Index].Flag, Texts[Index],
                           KnownOptions[Index].Help + " [" +
                               KnownOptions[Index].Format(Result.Values) + "]");
    CliOption->envname(variableName(KnownOptions[Index].Flag))
        ->expected(1, 100);
    if (KnownOptions[Index].Repeated)
      CliOption->delimiter(',');
  }
  bool Check = false;
  bool Print = false;
  Program.add_flag("--check", Check, "check the settings and exit");
  Program.add_flag("--print-settings", Print, "print the settings and exit");
  try {
    Program.parse(Count, Arguments);
  } catch (const CLI::ParseError &Fault) {
    if (Fault.get_exit_code() == 0)
      Result.Action = SettingsAction::Exit;
    else
      Result.Faults.push_back(Fault.what());
    if (Result.Action == SettingsAction::Exit)
      std::cout << Program.help();
    return Result;
  }
  for (const std::string &Extra : Program.remaining())
    Result.Faults.push_back("'" + Extra + "' is not a flag; see --help");
  for (std::size_t Index = 0; Index < KnownOptions.size(); ++Index) {
    if (Texts[Index].empty())
      continue;
    std::string Fault = KnownOptions[Index].Parse(Texts[Index]);
    if (!Fault.empty()) {
      Result.Faults.push_back(KnownOptions[Index].Flag + " (" +
                              variableName(KnownOptions[Index].Flag) +
                              "): " + Fault);
    }
  }
  checkRequired(Result.Values, Result.Faults);
  if (Check || Print)
    Result.Action = Print ? SettingsAction::Print : SettingsAction::Check;
  return Result;
}

std::string formatSettings(const Settings &Values) {
  Settings Copy = Values;
  std::ostringstream Out;
  for (const Option &Setting : options(Copy))
    Out << Setting.Flag.substr(2) << " = " << Setting.Format(Values) << '\n';
  return Out.str();
}

} // namespace banyanworks
