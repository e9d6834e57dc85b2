/// \file
/// Registers the benchmark "requests-load": slot usage, overload, failing, slow
/// and draining endpoints, and store writes, compared with a naive router.
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
    Command.add_option("--seed", Seed, "Seed of every run");
    Command.add_option("--seconds", Seconds, "Length of a run in seconds");
  }

  BenchTable run() override {
    Table.Title = "Requests under load: 8 daemons, 48 endpoints of 8 slots";
    for (bool Router : {true, false}) {
      Protections.Router = Router;
      Variant = Router ? "router" : "naive";
      measureSingleEntry();
      measureOverload();
      measureFailingThird();
      measureSlowEndpoints();
      measureDraining();
    }
    Protections.Router = true;
    Variant = "router";
    measureStoreWrites();
    return std::move(Table);
  }

private:
  RequestWorldOptions baseOptions() const {
    RequestWorldOptions Options;
    Options.Seed = Seed;
    Options.Length = std::chrono::seconds(Seconds);
    Options.Warmup = Options.Length / 4;
    Options.Protections = Protections;
    return Options;
  }

  /// Requests per second that all slots can serve.
  static double capacity(const RequestWorldOptions &Options) {
    return Options.Endpoints * Options.Slots / toSeconds(Options.ServiceTime);
  }

  static double measuredSeconds(const RequestWorldOptions &Options) {
    return toSeconds(Options.Length - Options.Warmup);
  }

  void add(const std::string &Measure, double Value, double Target,
           bool AtLeast) {
    bool Met = AtLeast ? Value >= Target : Value <= Target;
    Table.Rows.push_back({Measure, Variant, number(Value),
                          (AtLeast ? "at least " : "at most ") + number(Target),
                          Met ? "yes" : "no"});
  }
  void add(const std::string &Measure, const std::string &Value) {
    Table.Rows.push_back({Measure, Variant, Value, "", ""});
  }

  void measureSingleEntry() {
    RequestWorldOptions Options = baseOptions();
    Options.SingleEntryDaemon = true;
    Options.Rate = 1.2 * capacity(Options);
    RequestWorldReport Report = RequestWorld(Options).run();
    add("slots used, all load on one daemon", Report.SlotUtilization, 0.9,
        true);
    add("attempts beyond an endpoint's slots, all load on one daemon",
        std::to_string(Report.SlotsExceeded));
  }

  void measureOverload() {
    RequestWorldOptions Options = baseOptions();
    Options.Rate = capacity(Options);
    RequestWorldReport AtCapacity = RequestWorld(Options).run();
    Options.Rate = 2 * capacity(Options);
    RequestWorldReport AtTwiceCapacity = RequestWorld(Options).run();
    double Span = measuredSeconds(Options);
    double Goodput = static_cast<double>(AtCapacity.AnsweredInTime);
    add("goodput at capacity", number(Goodput / Span, "/s"));
    add("goodput at twice the capacity, relative to that at capacity",
        static_cast<double>(AtTwiceCapacity.AnsweredInTime) /
            std::max(Goodput, 1.0),
        0.95, true);
    add("p99 at twice the capacity",
        number(toSeconds(AtTwiceCapacity.latencyQuantile(0.99)), " s"));
    double Messages = static_cast<double>(AtTwiceCapacity.PeerMessages) /
                      (toSeconds(Options.Length) * Options.Daemons);
    double Entries = static_cast<double>(AtTwiceCapacity.PeerEntries) /
                     (toSeconds(Options.Length) * Options.Daemons);
    add("messages to peers per daemon", number(Messages, "/s"));
    add("entries in these messages per daemon", number(Entries, "/s"));
  }

  void measureFailingThird() {
    RequestWorldOptions Options = baseOptions();
    Options.Rate = capacity(Options) / 3;
    Options.FailingEndpoints = Options.Endpoints / 3;
    RequestWorldReport Report = RequestWorld(Options).run();
    double Accepted = static_cast<double>(Report.Answered);
    add("attempts per answered request, a third of endpoints fail",
        static_cast<double>(Report.Attempts) / std::max(Accepted, 1.0), 1.1,
        false);
    add("answered in time, a third of endpoints fail",
        number(static_cast<double>(Report.AnsweredInTime) /
               static_cast<double>(Report.Answered + Report.Refused)));
  }

  void measureSlowEndpoints() {
    RequestWorldOptions Options = baseOptions();
    Options.Rate = capacity(Options) / 2;
    double Without =
        toSeconds(RequestWorld(Options).run().latencyQuantile(0.99));
    Options.SlowEndpoints = 3;
    double Slow = toSeconds(RequestWorld(Options).run().latencyQuantile(0.99));
    add("p99 with three slow endpoints, relative to p99 without",
        Slow / Without, 1.5, false);
  }

  void measureDraining() {
    RequestWorldOptions Options = baseOptions();
    Options.Rate = capacity(Options) / 2;
    Options.DrainAt = Options.Length / 2;
    RequestWorldReport Report = RequestWorld(Options).run();
    add("last new work of a draining endpoint, s",
        toSeconds(Report.LastWorkAfterDrain), 3.0, false);
    add("attempts refused by draining endpoints",
        std::to_string(Report.RefusedDraining));
  }

  void measureStoreWrites() {
    RequestWorldOptions Options = baseOptions();
    Options.Rate = 500;
    Options.Orders = 1.0;
    RequestWorldReport Report = RequestWorld(Options).run();
    add("store writes per order at 500 orders per second",
        static_cast<double>(Report.StoreWrites) /
            static_cast<double>(Report.Orders),
        0.1, false);
    add("p50 of orders at 500 per second",
        number(toSeconds(Report.latencyQuantile(0.5)), " s"));
    Options.Orders = 0;
    RequestWorldReport Repeatable = RequestWorld(Options).run();
    add("p50 of repeatable requests at 500 per second",
        number(toSeconds(Repeatable.latencyQuantile(0.5)), " s"));
  }

  std::uint64_t Seed = 1;
  std::uint32_t Seconds = 20;
  RequestProtections Protections;
  std::string Variant;
  BenchTable Table;
};

const Registry<BenchCommand>::Registration Registered("requests-load", [] {
  return std::make_unique<RequestLoadBench>();
});

} // namespace

} // namespace banyanworks::bench
