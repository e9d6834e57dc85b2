/// \file
/// Defines the subcommand "state": seeded runs of whole daemons under faults,
/// and what ownership and the store cost.
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"
#include "support/JournalRig.h"
#include "support/StateWorld.h"

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

/// The sums over many runs, and the seeds that broke a promise.
struct RunTotals {
  WorldViolations Violations;
  WorldCounts Counts;
  std::vector<std::uint64_t> BrokenSeeds;
};

RunTotals runSeeds(const WorldSettings &Settings, std::uint64_t First,
                   std::uint64_t Count, unsigned Threads) {
  RunTotals Totals;
  std::mutex Lock;
  std::atomic<std::uint64_t> Next = First;
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I != Threads; ++I) {
    Workers.emplace_back([&] {
      for (std::uint64_t Seed = Next++; Seed < First + Count; Seed = Next++) {
        StateWorld World(Settings, Seed);
        World.run();
        std::lock_guard<std::mutex> Guard(Lock);
        Totals.Violations += World.violations();
        Totals.Counts += World.counts();
        if (World.violations().total() != 0)
          Totals.BrokenSeeds.push_back(Seed);
      }
    });
  }
  for (std::thread &Each : Workers)
    Each.join();
  std::sort(Totals.BrokenSeeds.begin(), Totals.BrokenSeeds.end());
  return Totals;
}

/// A deployment without faults of its own whose owners have settled.
WorldSettings calm() {
  WorldSettings Settings;
  Settings.Loss = 0;
  Settings.Duplication = 0;
  return Settings;
}

/// Seconds from the loss of the owner of domain 0 to the next start there.
double secondsUntilPlaced(std::uint64_t Seed, bool Killed) {
  StateWorld World(calm(), Seed);
  World.advance(5s + std::chrono::milliseconds(37 * (Seed % 30)));
  std::uint32_t Owner = World.ownerOf(0);
  if (Killed)
    World.killDaemon(Owner, 300s);
  else
    World.pauseDaemon(Owner, 60s);
  TimePoint Lost = World.now();
  std::uint64_t Before = World.startsIn(0);
  while (World.startsIn(0) == Before && World.now() < Lost + 30s) {
    World.submit(0, 1);
    World.advance(20ms);
  }
  return toSeconds(World.now() - Lost);
}

double worstUntilPlaced(bool Killed) {
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed)
    Worst = std::max(Worst, secondsUntilPlaced(Seed, Killed));
  return Worst;
}

/// Store calls a second of idle daemons.
double idleCalls(std::uint32_t Domains, std::uint32_t PerDomain) {
  WorldSettings Settings = calm();
  Settings.Domains = Domains;
  Settings.DaemonsPerDomain = PerDomain;
  StateWorld World(Settings, 1);
  World.advance(20s);
  std::uint64_t Before = World.store().counters().Calls;
  World.advance(60s);
  return static_cast<double>(World.store().counters().Calls - Before) / 60.0;
}

/// Starts of accepted jobs in a store outage of ten minutes, of those in the
/// ten minutes before. Every domain has a backlog throughout.
double goodputInOutage() {
  StateWorld World(calm(), 1);
  World.advance(10s);
  for (std::uint32_t Domain = 0; Domain != 3; ++Domain) {
    for (int Job = 0; Job != 3000; ++Job)
      World.submit(Domain, 1);
    World.advance(2s);
  }
  World.advance(10s);
  std::uint64_t Start = World.counts().TasksStarted;
  World.advance(10min);
  std::uint64_t Before = World.counts().TasksStarted - Start;
  World.store().addFault({.Fault = StoreFault::DropCall});
  World.advance(10min);
  std::uint64_t During = World.counts().TasksStarted - Start - Before;
  return static_cast<double>(During) / static_cast<double>(Before);
}

std::uint64_t burstWrites() {
  JournalRig Rig(1);
  Rig.advance(100ms);
  std::uint64_t Before = Rig.Store.counters().Writes;
  for (std::uint64_t Job = 1; Job <= 1000; ++Job) {
    Rig.submit(0, JobId(Job));
    if (Job % 5 == 0)
      Rig.advance(5ms);
  }
  Rig.advance(2s);
  return Rig.Store.counters().Writes - Before;
}

BenchRow atMost(const std::string &Measure, const std::string &Case,
                double Value, double Target, const std::string &Unit) {
  char Text[48];
  std::snprintf(Text, sizeof(Text), "%.2f", Value);
  char Bound[48];
  std::snprintf(Bound, sizeof(Bound), "%.4g", Target);
  return {Measure, Case, Text + Unit, Bound + Unit,
          Value <= Target ? "yes" : "no"};
}

class StateCommand : public BenchCommand {
public:
  std::string description() const override {
    return "Seeded faults on whole daemons; cost of ownership and store";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--runs", Runs, "Seeded runs");
    Command.add_option("--seed", FirstSeed, "The first seed");
    Command.add_option("--threads", Threads, "Runs at a time");
    Command.add_option("--without", Without,
                       "Leaves a protection out: expiry, majority, votes, "
                       "deadline, identity or freshness");
    Command.add_flag("--only-runs", OnlyRuns, "Skips the other measures");
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
  WorldSettings settings() const {
    WorldSettings Settings;
    WorldProtections &Kept = Settings.Protections;
    Kept.ForPermission.Expires = Without != "expiry";
    Kept.ForPermission.RequiresMajority = Without != "majority";
    Kept.ForPermission.RestrictsVoting = Without != "votes";
    Kept.ForOwnership.ChecksLeaseDeadline = Without != "deadline";
    Kept.ForStore.ResolveByIdentity = Without != "identity";
    Kept.TrustsReads = Without == "freshness";
    return Settings;
  }

  void addRuns(BenchTable &Table) const {
    RunTotals Totals = runSeeds(settings(), FirstSeed, Runs, Threads);
    std::string Case =
        std::to_string(Runs) + " runs from seed " + std::to_string(FirstSeed);
    if (!Without.empty())
      Case += " without " + Without;
    const WorldViolations &Broken = Totals.Violations;
    auto Add = [&](const std::string &Measure, std::uint64_t Value) {
      Table.Rows.push_back({Measure, Case, std::to_string(Value), "0",
                            Value == 0 ? "yes" : "no"});
    };
    Add("accelerators granted twice", Broken.AcceleratorsGrantedTwice);
    Add("gangs running in part beyond a lease", Broken.PartialGangs);
    Add("starts later than 3 s after out", Broken.StartsAfterOut);
    Add("versions that went back", Broken.VersionsGoneBack);
    Add("accepted jobs lost", Broken.JobsLost);
    Add("jobs run twice", Broken.JobsRunTwice);
    const WorldCounts &Seen = Totals.Counts;
    auto Count = [&](const std::string &Measure, std::uint64_t Value) {
      Table.Rows.push_back({Measure, Case, std::to_string(Value), "", ""});
    };
    Count("jobs accepted", Seen.JobsAccepted);
    Count("jobs completed", Seen.JobsCompleted);
    Count("tasks started", Seen.TasksStarted);
    Count("domains taken out", Seen.OutsAccepted);
    Count("ownerships taken", Seen.OwnersTaken);
    Count("faults struck", Seen.FaultsStruck);
    std::string Seeds;
    for (std::size_t I = 0; I != Totals.BrokenSeeds.size() && I != 10; ++I)
      Seeds += (I ? " " : "") + std::to_string(Totals.BrokenSeeds[I]);
    Count("seeds with a broken promise", Totals.BrokenSeeds.size());
    if (!Seeds.empty())
      Table.Rows.push_back({"first such seeds", Case, Seeds, "", ""});
  }

  static void addCosts(BenchTable &Table) {
    Table.Rows.push_back(atMost("owner killed until a start, worst of 30",
                                "3 domains of 2", worstUntilPlaced(true), 3,
                                " s"));
    Table.Rows.push_back(atMost("owner paused 60 s until a start, worst of 30",
                                "3 domains of 2", worstUntilPlaced(false), 3,
                                " s"));
    Table.Rows.push_back(atMost("store calls of idle daemons", "2 domains of 4",
                                idleCalls(2, 4), 10, "/s"));
    Table.Rows.push_back(atMost("store calls of idle daemons", "3 domains of 3",
                                idleCalls(3, 3), 10, "/s"));
    Table.Rows.push_back(atMost("store writes of 1,000 submissions",
                                "within a second",
                                static_cast<double>(burstWrites()), 100, ""));
    double Goodput = goodputInOutage();
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%.3f", Goodput);
    Table.Rows.push_back({"starts of accepted jobs in a 10-minute outage, of "
                          "those before",
                          "3 domains of 2", Text, "at least 0.95",
                          Goodput >= 0.95 ? "yes" : "no"});
  }

  std::uint64_t Runs = 10000;
  std::uint64_t FirstSeed = 1;
  unsigned Threads = 4;
  std::string Without;
  bool OnlyRuns = false;
};

const Registry<BenchCommand>::Registration Registered("state", [] {
  return std::make_unique<StateCommand>();
});

} // namespace

} // namespace banyanworks::bench
