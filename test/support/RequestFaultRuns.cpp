/// \file
/// Implements the seeded fault runs of the request plane.
#include "support/RequestFaultRuns.h"

namespace banyanworks {

RequestWorldOptions faultRun(std::uint64_t Seed,
                             const RequestProtections &Protections) {
  Random Rng(Seed);
  RequestWorldOptions Options;
  Options.Seed = Seed;
  Options.Length = std::chrono::seconds(5);
  Options.Daemons = 3 + Rng.below(3);
  Options.Endpoints = 6;
  Options.Slots = 2 + Rng.below(3);
  Options.ServiceTime = std::chrono::milliseconds(20);
  Options.Deadline = std::chrono::milliseconds(800);
  Options.Rate = 30 + Rng.below(60);
  Options.Orders = 0.7;
  Options.CallerRetries = 4;
  Options.Protections = Protections;
  RequestFaults &Faults = Options.Faults;
  Faults.NotSent = 0.1 * Rng.uniform();
  Faults.RequestLost = 0.05 * Rng.uniform();
  Faults.AnswerLost = 0.1 * Rng.uniform();
  Faults.AnswerTruncated = 0.05 * Rng.uniform();
  Faults.AnswerDuplicated = 0.1 * Rng.uniform();
  Faults.AnswerLate = 0.1 * Rng.uniform();
  Faults.AnswerCrossed = 0.1 * Rng.uniform();
  Faults.PeerMessageLost = 0.2 * Rng.uniform();
  Faults.Store.CallLost = 0.1 * Rng.uniform();
  Faults.Store.AnswerLost = 0.2 * Rng.uniform();
  Faults.Store.EffectLate = 0.1 * Rng.uniform();
  Faults.CrashesPerSecond = 0.8 * Rng.uniform();
  Faults.PausesPerSecond = 0.8 * Rng.uniform();
  Faults.OutagesPerSecond = 0.4 * Rng.uniform();
  return Options;
}

FaultRunTotals runFaults(std::uint64_t FirstSeed, std::uint64_t Runs,
                         const RequestProtections &Protections) {
  FaultRunTotals Totals;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    RequestWorldReport Report = RequestWorld(faultRun(Seed, Protections)).run();
    ++Totals.Runs;
    Totals.Arrived += Report.Arrived;
    Totals.Answered += Report.Answered;
    Totals.Refused += Report.Refused;
    Totals.Orders += Report.Orders;
    Totals.OrdersRun += Report.OrdersRun;
    Totals.RunTwice += Report.RunTwice;
    Totals.FalseNotRun += Report.FalseNotRun;
    Totals.WrongCaller += Report.WrongCaller;
    Totals.TruncatedAsComplete += Report.TruncatedAsComplete;
    Totals.NeverAnswered += Report.NeverAnswered;
    Totals.SlotsExceeded += Report.SlotsExceeded;
  }
  return Totals;
}

} // namespace banyanworks
