/// \file
/// Registers the benchmark "pool-faults": the promises of the pool's scheduler
/// in seeded runs of whole daemons under faults.
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
    return "Promises of the pool's scheduler in seeded fault runs.";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", FirstSeed, "The first seed");
    Command.add_option("--runs", Runs, "How many seeds");
    Command.add_option("--threads", Threads, "Runs at the same time");
    Command.add_flag("--slow-daemons", SlowDaemons,
                     "Daemons are up to a hundred times too slow as well");
    Command.add_option("--trace", TracePath,
                       "Write what the daemons logged to this file; for one "
                       "seed");
  }

  BenchTable run() override {
    std::ofstream TraceFile;
    if (!TracePath.empty())
      TraceFile.open(TracePath);
    auto Faults = SlowDaemons ? testing::PoolFaults::WithSlowDaemons
                              : testing::PoolFaults::Base;
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
        {"runs with a broken promise",
         std::to_string(Runs) + " seeds from " + std::to_string(FirstSeed),
         std::to_string(FailedRuns), "0", FailedRuns == 0 ? "yes" : "no"});
    return Table;
  }

private:
  std::uint64_t FirstSeed = 1;
  std::uint64_t Runs = 100;
  unsigned Threads = 2;
  bool SlowDaemons = false;
  std::string TracePath;
};

const Registry<BenchCommand>::Registration Registered("pool-faults", [] {
  return std::make_unique<PoolFaultBench>();
});

} // namespace

} // namespace banyanworks::bench
