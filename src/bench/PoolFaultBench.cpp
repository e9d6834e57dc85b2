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
    Command.add_option("--seed", First, "The first seed");
    Command.add_option("--runs", Runs, "How many seeds");
    Command.add_option("--threads", Threads, "Runs at the same time");
    Command.add_flag("--slow-daemons", SlowDaemons,
                     "Daemons are up to a hundred times too slow as well");
    Command.add_option("--trace", Trace,
                       "Write what the daemons logged to this file; for one "
                       "seed");
  }

  BenchTable run() override {
    std::ofstream Out;
    if (!Trace.empty())
      Out.open(Trace);
    auto Kinds = SlowDaemons ? testing::PoolFaults::WithSlowDaemons
                             : testing::PoolFaults::Base;
    std::atomic<std::uint64_t> Next = First;
    std::mutex Lock;
    std::uint64_t Broken = 0;
    auto Work = [&] {
      for (std::uint64_t Seed = Next++; Seed < First + Runs; Seed = Next++) {
        auto Seen =
            testing::runPoolFaults(Seed, Kinds, Out.is_open() ? &Out : nullptr);
        std::lock_guard Guard(Lock);
        for (const std::string &What : Seen)
          std::printf("seed %llu: %s\n", static_cast<unsigned long long>(Seed),
                      What.c_str());
        Broken += Seen.empty() ? 0 : 1;
      }
    };
    std::vector<std::thread> Pool;
    for (unsigned At = 0; At < (Trace.empty() ? std::max(1U, Threads) : 1U);
         ++At)
      Pool.emplace_back(Work);
    for (std::thread &Thread : Pool)
      Thread.join();
    BenchTable Table;
    Table.Title = "Pool under faults";
    Table.Rows.push_back(
        {"runs with a broken promise",
         std::to_string(Runs) + " seeds from " + std::to_string(First),
         std::to_string(Broken), "0", Broken == 0 ? "yes" : "no"});
    return Table;
  }

private:
  std::uint64_t First = 1;
  std::uint64_t Runs = 100;
  unsigned Threads = 2;
  bool SlowDaemons = false;
  std::string Trace;
};

const Registry<BenchCommand>::Registration Registered("pool-faults", [] {
  return std::make_unique<PoolFaultBench>();
});

} // namespace

} // namespace banyanworks::bench
