/// \file
/// Registers the benchmark "pool-faults": checks the invariants of the pool
/// scheduler in seeded simulations of complete daemons with injected faults.
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"
#include "support/PoolFaultRun.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

namespace banyanworks::bench {

namespace {

class PoolFaultBench : public BenchCommand {
public:
  std::string description() const override {
    return "Invariants of the pool scheduler in seeded fault runs.";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", FirstSeed, "The first seed");
    Command.add_option("--runs", Runs, "Number of seeds");
    Command.add_option("--threads", Threads, "Number of parallel runs");
    Command.add_flag("--slow-daemons", SlowDaemons,
                     "Also slow daemons down, by a factor of up to 100");
    Command.add_flag("--caps", Caps,
                     "Also give workspaces caps that change, and check them");
    Command.add_option(
        "--trace", TracePath,
        "Write the logs of the daemons to this file; intended for "
        "a single seed");
  }

  BenchTable run() override {
    std::ofstream TraceFile;
    if (!TracePath.empty())
      TraceFile.open(TracePath);
    auto Faults = SlowDaemons ? testing::PoolFaults::WithSlowDaemons
                              : testing::PoolFaults::Base;
    if (Caps)
      Faults = testing::PoolFaults::WithCaps;
    std::atomic<std::uint64_t> NextSeed = FirstSeed;
    std::mutex Mutex;
    std::uint64_t FailedRuns = 0;
    auto RunSeeds = [&] {
      for (std::uint64_t Seed = NextSeed++; Seed < FirstSeed + Runs;
           Seed = NextSeed++) {
        auto Violations = testing::runPoolFaults(
            Seed, Faults, TraceFile.is_open() ? &TraceFile : nullptr);
        std::lock_guard Guard(Mutex);
        for (const std::string &Violation : Violations)
          std::printf("seed %llu: %s\n", static_cast<unsigned long long>(Seed),
                      Violation.c_str());
        FailedRuns += Violations.empty() ? 0 : 1;
      }
    };
    std::vector<std::thread> Workers;
    for (unsigned Index = 0;
         Index < (TracePath.empty() ? std::max(1U, Threads) : 1U); ++Index)
      Workers.emplace_back(RunSeeds);
    for (std::thread &Thread : Workers)
      Thread.join();
    BenchTable Table;
    Table.Title = "Pool under faults";
    Table.Rows.push_back(
        {"runs with a violated invariant",
         std::to_string(Runs) + " seeds from " + std::to_string(FirstSeed),
         std::to_string(FailedRuns), "0", FailedRuns == 0 ? "yes" : "no"});
    return Table;
  }

private:
  std::uint64_t FirstSeed = 1;
  std::uint64_t Runs = 100;
  unsigned Threads = 2;
  bool SlowDaemons = false;
  bool Caps = false;
  std::string TracePath;
};

const Registry<BenchCommand>::Registration Registered("pool-faults", [] {
  return std::make_unique<PoolFaultBench>();
});

} // namespace

} // namespace banyanworks::bench
