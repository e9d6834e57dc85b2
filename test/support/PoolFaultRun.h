/// \file
/// Defines runPoolFaults(), a seeded run of a PoolWorld under faults.
#ifndef BANYANWORKS_TEST_SUPPORT_POOLFAULTRUN_H
#define BANYANWORKS_TEST_SUPPORT_POOLFAULTRUN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Which faults strike. Seeds keep their runs when a kind is added here.
enum class PoolFaults : std::uint8_t {
  /// Kills, pauses, cuts, lost answers, late orders and crashes.
  Base,
  /// These, and daemons that are up to a hundred times too slow.
  WithSlowDaemons,
};

/// The promises that were broken, as sentences; none if all were kept. With
/// \p Trace, all that the daemons logged is written there.
std::vector<std::string> runPoolFaults(std::uint64_t Seed,
                                       PoolFaults Kinds = PoolFaults::Base,
                                       std::ostream *Trace = nullptr);

} // namespace banyanworks::testing

#endif
