/// \file
/// Defines runPoolCancels(), a seeded run of a PoolSimulation in which jobs are
/// cancelled under faults.
#ifndef BANYANWORKS_TEST_SUPPORT_POOLCANCELRUN_H
#define BANYANWORKS_TEST_SUPPORT_POOLCANCELRUN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Returns as text the invariants that are violated, above all that nothing
/// runs for a job whose cancellation was acknowledged, except within a few
/// seconds of a fault; empty if there are none. With \p Trace, all log lines of
/// the daemons are written there.
std::vector<std::string> runPoolCancels(std::uint64_t Seed,
                                        std::ostream *Trace = nullptr);

} // namespace banyanworks::testing

#endif
