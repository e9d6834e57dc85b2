/// \file
/// Defines the seeded fault runs of the request plane that tests and the
/// benchmark share.
#ifndef BANYANWORKS_TEST_SUPPORT_REQUESTFAULTRUNS_H
#define BANYANWORKS_TEST_SUPPORT_REQUESTFAULTRUNS_H

#include "support/RequestWorld.h"

#include <cstdint>

namespace banyanworks {

/// Sums of the results of several runs.
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
  std::uint64_t TruncatedAsComplete = 0;
  std::uint64_t NeverAnswered = 0;
  std::uint64_t SlotsExceeded = 0;
};

/// Returns the options of the fault run of one seed: a small deployment with
/// lost, late, duplicated, misdirected and truncated answers, daemon crashes
/// and pauses, store outages and lost store answers. The fault rates depend on
/// the seed.
RequestWorldOptions faultRun(std::uint64_t Seed,
                             const RequestProtections &Protections);

/// Runs \p Runs consecutive seeds from \p FirstSeed on and sums the results.
FaultRunTotals runFaults(std::uint64_t FirstSeed, std::uint64_t Runs,
                         const RequestProtections &Protections);

} // namespace banyanworks

#endif
