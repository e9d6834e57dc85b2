/// \file
/// Registers the benchmark "requests-faults": checks the invariants of the
/// request plane in seeded fault runs, with all protections and with each
/// protection disabled.
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"
#include "support/RequestFaultRuns.h"

#include <thread>

namespace banyanworks::bench {

namespace {

FaultRunTotals operator+(FaultRunTotals Left, const FaultRunTotals &Right) {
  Left.Runs += Right.Runs;
  Left.Arrived += Right.Arrived;
  Left.Answered += Right.Answered;
  Left.Refused += Right.Refused;
  Left.Orders += Right.Orders;
  Left.OrdersRun += Right.OrdersRun;
  Left.RunTwice += Right.RunTwice;
  Left.FalseNotRun += Right.FalseNotRun;
  Left.WrongCaller += Right.WrongCaller;
  Left.TruncatedAsComplete += Right.TruncatedAsComplete;
  Left.NeverAnswered += Right.NeverAnswered;
  Left.SlotsExceeded += Right.SlotsExceeded;
  return Left;
}

/// A set of enabled protections to run under the same faults.
struct Variant {
  std::string Name;
  RequestProtections Protections;
};

std::vector<Variant> variants() {
  std::vector<Variant> Result(7);
  Result[0].Name = "all protections";
  Result[1].Name = "naive: round robin, three retries, no claims";
  Result[1].Protections.Router = false;
  Result[2].Name = "without claims";
  Result[2].Protections.Claims = false;
  Result[3].Name = "without conditional writes";
  Result[3].Protections.ConditionalWrites = false;
  Result[4].Name = "without attempt identity";
  Result[4].Protections.AttemptIdentity = false;
  Result[5].Name = "without detection of truncation";
  Result[5].Protections.TruncationDetected = false;
  Result[6].Name = "without send tracking";
  Result[6].Protections.SendTracked = false;
  return Result;
}

class RequestFaultBench : public BenchCommand {
public:
  std::string description() const override {
    return "Requests under seeded faults: runs, refusals and answers.";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--runs", Runs, "Seeded runs with all protections");
    Command.add_option(
        "--runs-without", RunsWithout,
        "Seeded runs of each variant with a protection disabled");
    Command.add_option("--first-seed", FirstSeed, "Seed of the first run");
    Command.add_option("--threads", Threads, "Number of threads");
  }

  BenchTable run() override {
    BenchTable Table;
    Table.Title = "Invariants in seeded fault runs";
    bool AllProtections = true;
    for (const Variant &Each : variants()) {
      addRows(Table, Each, AllProtections ? Runs : RunsWithout, AllProtections);
      AllProtections = false;
    }
    return Table;
  }

private:
  FaultRunTotals measure(const Variant &Each, std::uint64_t Count) const {
    std::vector<FaultRunTotals> Parts(Threads);
    std::vector<std::thread> Workers;
    for (std::uint64_t Index = 0; Index < Threads; ++Index) {
      std::uint64_t From = Count * Index / Threads;
      std::uint64_t To = Count * (Index + 1) / Threads;
      Workers.emplace_back([&, Index, From, To] {
        Parts[Index] = runFaults(FirstSeed + From, To - From, Each.Protections);
      });
    }
    FaultRunTotals Sum;
    for (std::uint64_t Index = 0; Index < Threads; ++Index) {
      Workers[Index].join();
      Sum = Sum + Parts[Index];
    }
    return Sum;
  }

  void addRows(BenchTable &Table, const Variant &Each, std::uint64_t Count,
               bool Targeted) const {
    FaultRunTotals Sum = measure(Each, Count);
    std::string Case = Each.Name + ", " + std::to_string(Sum.Runs) + " runs, " +
                       std::to_string(Sum.Orders) + " orders";
    auto Add = [&](const char *Measure, std::uint64_t Value, bool Zero) {
      BenchRow Row{Measure, Case, std::to_string(Value), "", ""};
      if (Targeted && Zero) {
        Row.Target = "0";
        Row.Met = Value == 0 ? "yes" : "no";
      }
      Table.Rows.push_back(Row);
    };
    Add("orders run twice", Sum.RunTwice, true);
    Add("false 'not run'", Sum.FalseNotRun, true);
    Add("answers to the wrong caller", Sum.WrongCaller, true);
    Add("truncated answers delivered as complete", Sum.TruncatedAsComplete,
        true);
    Add("requests never answered", Sum.NeverAnswered, true);
    Add("complete answers", Sum.Answered, false);
    Add("refusals", Sum.Refused, false);
    Add("orders run", Sum.OrdersRun, false);
    Add("attempts beyond an endpoint's slots", Sum.SlotsExceeded, false);
  }

  std::uint64_t Runs = 10000;
  std::uint64_t RunsWithout = 200;
  std::uint64_t FirstSeed = 1;
  std::uint64_t Threads = 3;
};

const Registry<BenchCommand>::Registration Registered("requests-faults", [] {
  return std::make_unique<RequestFaultBench>();
});

} // namespace

} // namespace banyanworks::bench
