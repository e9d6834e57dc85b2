/// \file
/// Registers the benchmark "requests-load": slots, overload, failing, slow and
/// leaving endpoints and the store's writes, beside the naive version.
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"
#include "support/RequestWorld.h"

#include <cstdio>

namespace banyanworks::bench {

namespace {

std::string number(double Value, const char *Unit = "") {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%.3f%s", Value, Unit);
  return Text;
}

class RequestLoadBench : public BenchCommand {
public:
  std::string description() const override {
    return "Requests under load: slots, goodput, retries, latency, claims.";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", Seed, "The seed of every run");
    Command.add_option("--seconds", Seconds, "The length of a run");
  }

  BenchTable run() override {
    Table.Title = "Requests under load: 8 daemons, 48 endpoints of 8 slots";
    for (bool Router : {true, false}) {
      With.Router = Router;
      Name = Router ? "router" : "naive";
      oneDaemon();
      overload();
      thirdFails();
      threeSlow();
      leaving();
    }
    With.Router = true;
    Name = "router";
    storeWrites();
    return std::move(Table);
  }

private:
  RequestWorldOptions base() const {
    RequestWorldOptions Options;
    Options.Seed = Seed;
    Options.Length = std::chrono::seconds(Seconds);
    Options.Warmup = Options.Length / 4;
    Options.Protections = With;
    return Options;
  }

  /// Requests a second that all slots together could serve.
  static double capacity(const RequestWorldOptions &Options) {
    return Options.Endpoints * Options.Slots / toSeconds(Options.ServiceTime);
  }

  static double measuredSeconds(const RequestWorldOptions &Options) {
    return toSeconds(Options.Length - Options.Warmup);
  }

  void add(const std::string &Measure, double Value, double Target,
           bool AtLeast) {
    bool Met = AtLeast ? Value >= Target : Value <= Target;
    Table.Rows.push_back({Measure, Name, number(Value),
                          (AtLeast ? "at least " : "at most ") + number(Target),
                          Met ? "yes" : "no"});
  }
  void add(const std::string &Measure, const std::string &Value) {
    Table.Rows.push_back({Measure, Name, Value, "", ""});
  }

  void oneDaemon() {
    RequestWorldOptions Options = base();
    Options.SingleEntryDaemon = true;
    Options.Rate = 1.2 * capacity(Options);
    RequestWorldReport Report = RequestWorld(Options).run();
    add("slots used, all load on one daemon", Report.SlotsUsed, 0.9, true);
    add("attempts beyond an endpoint's slots, all load on one daemon",
        std::to_string(Report.SlotsExceeded));
  }

  void overload() {
    RequestWorldOptions Options = base();
    Options.Rate = capacity(Options);
    RequestWorldReport At = RequestWorld(Options).run();
    Options.Rate = 2 * capacity(Options);
    RequestWorldReport Twice = RequestWorld(Options).run();
    double Span = measuredSeconds(Options);
    double Goodput = static_cast<double>(At.AnsweredInTime);
    add("goodput at capacity", number(Goodput / Span, "/s"));
    add("goodput at twice the capacity, of that at capacity",
        static_cast<double>(Twice.AnsweredInTime) / std::max(Goodput, 1.0),
        0.95, true);
    add("p99 at twice the capacity",
        number(toSeconds(Twice.latencyQuantile(0.99)), " s"));
    double Messages = static_cast<double>(Twice.PeerMessages) /
                      (toSeconds(Options.Length) * Options.Daemons);
    double Entries = static_cast<double>(Twice.PeerEntries) /
                     (toSeconds(Options.Length) * Options.Daemons);
    add("messages to peers, a daemon", number(Messages, "/s"));
    add("entries in them, a daemon", number(Entries, "/s"));
  }

  void thirdFails() {
    RequestWorldOptions Options = base();
    Options.Rate = capacity(Options) / 3;
    Options.FailingEndpoints = Options.Endpoints / 3;
    RequestWorldReport Report = RequestWorld(Options).run();
    double Accepted = static_cast<double>(Report.Answered);
    add("requests sent for each accepted one, a third of endpoints fail",
        static_cast<double>(Report.Attempts) / std::max(Accepted, 1.0), 1.1,
        false);
    add("answered in time, a third of endpoints fail",
        number(static_cast<double>(Report.AnsweredInTime) /
               static_cast<double>(Report.Answered + Report.Refused)));
  }

  void threeSlow() {
    RequestWorldOptions Options = base();
    Options.Rate = capacity(Options) / 2;
    double Without =
        toSeconds(RequestWorld(Options).run().latencyQuantile(0.99));
    Options.SlowEndpoints = 3;
    double Slow = toSeconds(RequestWorld(Options).run().latencyQuantile(0.99));
    add("p99 with three slow endpoints, of p99 without", Slow / Without, 1.5,
        false);
  }

  void leaving() {
    RequestWorldOptions Options = base();
    Options.Rate = capacity(Options) / 2;
    Options.DrainAt = Options.Length / 2;
    RequestWorldReport Report = RequestWorld(Options).run();
    add("a leaving endpoint's last new work, s",
        toSeconds(Report.LastWorkAfterDrain), 3.0, false);
    add("attempts at all endpoints that were refused as leaving",
        std::to_string(Report.RefusedDraining));
  }

  void storeWrites() {
    RequestWorldOptions Options = base();
    Options.Rate = 500;
    Options.Orders = 1.0;
    RequestWorldReport Report = RequestWorld(Options).run();
    add("store writes for each order at 500 a second",
        static_cast<double>(Report.StoreWrites) /
            static_cast<double>(Report.Orders),
        0.1, false);
    add("p50 of orders at 500 a second",
        number(toSeconds(Report.latencyQuantile(0.5)), " s"));
    Options.Orders = 0;
    RequestWorldReport Plain = RequestWorld(Options).run();
    add("p50 of repeatable requests at 500 a second",
        number(toSeconds(Plain.latencyQuantile(0.5)), " s"));
  }

  std::uint64_t Seed = 1;
  std::uint32_t Seconds = 20;
  RequestProtections With;
  std::string Name;
  BenchTable Table;
};

const Registry<BenchCommand>::Registration Registered("requests-load", [] {
  return std::make_unique<RequestLoadBench>();
});

} // namespace

} // namespace banyanworks::bench
