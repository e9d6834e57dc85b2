/// \file
/// Defines the seeded fault runs of the request plane, as tests and benchmark
/// share them.
#ifndef BANYANWORKS_TEST_SUPPORT_REQUESTFAULTRUNS_H
#define BANYANWORKS_TEST_SUPPORT_REQUESTFAULTRUNS_H

#include "support/RequestWorld.h"

#include <cstdint>

namespace banyanworks {

/// What many runs amount to.
struct FaultRunTotals {
  std::uint64_t Runs = 0;
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Orders = 0;
  std::uint64_t OrdersRun = 0;
  std::uint64_t RunTwice = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t WrongCaller = 0;
  std::uint64_t TruncatedAsWhole = 0;
  std::uint64_t NeverAnswered = 0;
  std::uint64_t SlotsExceeded = 0;
};

/// The options of the fault run of one seed: a small deployment under lost,
/// late, duplicated, crossed and truncated answers, daemon deaths, pauses,
/// store outages and lost store answers, with rates that differ by seed.
RequestWorldOptions faultRun(std::uint64_t Seed,
                             const RequestProtections &Protections);

/// Runs the seeds from \p FirstSeed on.
FaultRunTotals runFaults(std::uint64_t FirstSeed, std::uint64_t Runs,
                         const RequestProtections &Protections);

} // namespace banyanworks

#endif
