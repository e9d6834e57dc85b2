/// \file
/// Registers the benchmark "state": seeded simulations of complete daemons with
/// injected faults, and the cost of ownership and of the store.
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"
#include "support/JournalSimulation.h"
#include "support/StateSimulation.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

namespace banyanworks::bench {

namespace {

using namespace banyanworks::testing;
using namespace std::chrono_literals;

/// Sums over many runs, and the seeds with a violation.
struct RunTotals {
  SimulationViolations Violations;
  SimulationCounts Counts;
  std::vector<std::uint64_t> FailedSeeds;
};

RunTotals runSeeds(const SimulationSettings &Settings, std::uint64_t First,
                   std::uint64_t Count, unsigned Threads) {
  RunTotals Totals;
  std::mutex Mutex;
  std::atomic<std::uint64_t> NextSeed = First;
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I != Threads; ++I) {
    Workers.emplace_back([&] {
      for (std::uint64_t Seed = NextSeed++; Seed < First + Count;
           Seed = NextSeed++) {
        StateSimulation Simulation(Settings, Seed);
        Simulation.run();
        std::lock_guard<std::mutex> Guard(Mutex);
        Totals.Violations += Simulation.violations();
        Totals.Counts += Simulation.counts();
        if (Simulation.violations().total() != 0)
          Totals.FailedSeeds.push_back(Seed);
      }
    });
  }
  for (std::thread &Each : Workers)
    Each.join();
  std::sort(Totals.FailedSeeds.begin(), Totals.FailedSeeds.end());
  return Totals;
}

/// Settings without message loss and duplication.
SimulationSettings faultFreeSettings() {
  SimulationSettings Settings;
  Settings.LossProbability = 0;
  Settings.DuplicationProbability = 0;
  return Settings;
}

/// Returns the seconds from the loss of the owner of domain 0, killed or
/// paused, to the next task start in that domain.
double secondsUntilPlaced(std::uint64_t Seed, bool Killed) {
  StateSimulation Simulation(faultFreeSettings(), Seed);
  Simulation.advance(5s + std::chrono::milliseconds(37 * (Seed % 30)));
  std::uint32_t Owner = Simulation.ownerOf(0);
  if (Killed)
    Simulation.killDaemon(Owner, 300s);
  else
    Simulation.pauseDaemon(Owner, 60s);
  TimePoint Lost = Simulation.now();
  std::uint64_t Before = Simulation.startsIn(0);
  while (Simulation.startsIn(0) == Before && Simulation.now() < Lost + 30s) {
    Simulation.submit(0, 1);
    Simulation.advance(20ms);
  }
  return toSeconds(Simulation.now() - Lost);
}

double worstUntilPlaced(bool Killed) {
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed)
    Worst = std::max(Worst, secondsUntilPlaced(Seed, Killed));
  return Worst;
}

/// Returns the store calls per second of all daemons without load.
double idleCallsPerSecond(std::uint32_t Domains, std::uint32_t PerDomain) {
  SimulationSettings Settings = faultFreeSettings();
  Settings.Domains = Domains;
  Settings.DaemonsPerDomain = PerDomain;
  StateSimulation Simulation(Settings, 1);
  Simulation.advance(20s);
  std::uint64_t Before = Simulation.store().counters().Calls;
  Simulation.advance(60s);
  return static_cast<double>(Simulation.store().counters().Calls - Before) /
         60.0;
}

/// Returns the task starts during a store outage of ten minutes, relative to
/// those in the ten minutes before. Every domain has a backlog throughout.
double goodputInOutage() {
  StateSimulation Simulation(faultFreeSettings(), 1);
  Simulation.advance(10s);
  for (std::uint32_t Domain = 0; Domain != 3; ++Domain) {
    for (int Job = 0; Job != 3000; ++Job)
      Simulation.submit(Domain, 1);
    Simulation.advance(2s);
  }
  Simulation.advance(10s);
  std::uint64_t Start = Simulation.counts().TasksStarted;
  Simulation.advance(10min);
  std::uint64_t Before = Simulation.counts().TasksStarted - Start;
  Simulation.store().addFault({.Fault = StoreFault::DropCall});
  Simulation.advance(10min);
  std::uint64_t During = Simulation.counts().TasksStarted - Start - Before;
  return static_cast<double>(During) / static_cast<double>(Before);
}

std::uint64_t writesOfBurst() {
  JournalSimulation Simulation(1);
  Simulation.advance(100ms);
  std::uint64_t Before = Simulation.Store.counters().Writes;
  for (std::uint64_t Job = 1; Job <= 1000; ++Job) {
    Simulation.submit(0, JobId(Job));
    if (Job % 5 == 0)
      Simulation.advance(5ms);
  }
  Simulation.advance(2s);
  return Simulation.Store.counters().Writes - Before;
}

BenchRow rowWithMaximum(const std::string &Measure, const std::string &Case,
                        double Value, double Target, const std::string &Unit) {
  char Text[48];
  std::snprintf(Text, sizeof(Text), "%.2f", Value);
  char TargetText[48];
  std::snprintf(TargetText, sizeof(TargetText), "%.4g", Target);
  return {Measure, Case, Text + Unit, TargetText + Unit,
          Value <= Target ? "yes" : "no"};
}

class StateCommand : public BenchCommand {
public:
  std::string description() const override {
    return "Seeded faults on complete daemons; cost of ownership and store";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--runs", Runs, "Number of seeded runs");
    Command.add_option("--seed", FirstSeed, "Seed of the first run");
    Command.add_option("--threads", Threads, "Number of parallel runs");
    Command.add_option("--without", OmittedProtection,
                       "Disable a protection: expiry, majority, votes, "
                       "deadline, identity or freshness");
    Command.add_flag("--only-runs", OnlyRuns, "Do not measure the costs");
  }

  BenchTable run() override {
    BenchTable Table;
    Table.Title = "State under faults";
    addRuns(Table);
    if (!OnlyRuns)
      addCosts(Table);
    return Table;
  }

private:
  SimulationSettings settings() const {
    SimulationSettings Settings;
    SimulationProtections &Protections = Settings.Protections;
    Protections.ForPermission.Expires = OmittedProtection != "expiry";
    Protections.ForPermission.RequiresMajority =
        OmittedProtection != "majority";
    Protections.ForPermission.RestrictsVoting = OmittedProtection != "votes";
    Protections.ForOwnership.ChecksLeaseDeadline =
        OmittedProtection != "deadline";
    Protections.ForStore.ResolveByIdentity = OmittedProtection != "identity";
    Protections.TrustReads = OmittedProtection == "freshness";
    return Settings;
  }

  void addRuns(BenchTable &Table) const {
    RunTotals Totals = runSeeds(settings(), FirstSeed, Runs, Threads);
    std::string Case =
        std::to_string(Runs) + " runs from seed " + std::to_string(FirstSeed);
    if (!OmittedProtection.empty())
      Case += " without " + OmittedProtection;
    const SimulationViolations &Violations = Totals.Violations;
    auto Add = [&](const std::string &Measure, std::uint64_t Value) {
      Table.Rows.push_back({Measure, Case, std::to_string(Value), "0",
                            Value == 0 ? "yes" : "no"});
    };
    Add("accelerators granted twice", Violations.AcceleratorsGrantedTwice);
    Add("partial gangs running longer than a lease", Violations.PartialGangs);
    Add("starts later than 3 s after a domain was taken out",
        Violations.StartsOutOfService);
    Add("version reversions", Violations.VersionReversions);
    Add("accepted jobs lost", Violations.JobsLost);
    Add("jobs run twice", Violations.JobsRunTwice);
    const SimulationCounts &Counts = Totals.Counts;
    auto Count = [&](const std::string &Measure, std::uint64_t Value) {
      Table.Rows.push_back({Measure, Case, std::to_string(Value), "", ""});
    };
    Count("jobs accepted", Counts.JobsAccepted);
    Count("jobs completed", Counts.JobsCompleted);
    Count("tasks started", Counts.TasksStarted);
    Count("domains taken out of service", Counts.OutOfServiceAccepted);
    Count("ownership acquisitions", Counts.OwnershipsTaken);
    Count("faults injected", Counts.FaultsInjected);
    std::string Seeds;
    for (std::size_t I = 0; I != Totals.FailedSeeds.size() && I != 10; ++I)
      Seeds += (I ? " " : "") + std::to_string(Totals.FailedSeeds[I]);
    Count("seeds with a violation", Totals.FailedSeeds.size());
    if (!Seeds.empty())
      Table.Rows.push_back({"first such seeds", Case, Seeds, "", ""});
  }

  static void addCosts(BenchTable &Table) {
    Table.Rows.push_back(
        rowWithMaximum("owner killed until a start, worst of 30",
                       "3 domains of 2", worstUntilPlaced(true), 3, " s"));
    Table.Rows.push_back(
        rowWithMaximum("owner paused 60 s until a start, worst of 30",
                       "3 domains of 2", worstUntilPlaced(false), 3, " s"));
    Table.Rows.push_back(rowWithMaximum("store calls of idle daemons",
                                        "2 domains of 4",
                                        idleCallsPerSecond(2, 4), 10, "/s"));
    Table.Rows.push_back(rowWithMaximum("store calls of idle daemons",
                                        "3 domains of 3",
                                        idleCallsPerSecond(3, 3), 10, "/s"));
    Table.Rows.push_back(
        rowWithMaximum("store writes of 1,000 submissions", "within a second",
                       static_cast<double>(writesOfBurst()), 100, ""));
    double Goodput = goodputInOutage();
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%.3f", Goodput);
    Table.Rows.push_back({"starts of accepted jobs in a 10-minute outage, "
                          "relative to before",
                          "3 domains of 2", Text, "at least 0.95",
                          Goodput >= 0.95 ? "yes" : "no"});
  }

  std::uint64_t Runs = 10000;
  std::uint64_t FirstSeed = 1;
  unsigned Threads = 4;
  std::string OmittedProtection;
  bool OnlyRuns = false;
};

const Registry<BenchCommand>::Registration Registered("state", [] {
  return std::make_unique<StateCommand>();
});

} // namespace

} // namespace banyanworks::bench
