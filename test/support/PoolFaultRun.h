/// \file
/// Defines runPoolFaults(), a seeded run of a PoolSimulation under faults.
#ifndef BANYANWORKS_TEST_SUPPORT_POOLFAULTRUN_H
#define BANYANWORKS_TEST_SUPPORT_POOLFAULTRUN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// The kinds of faults injected. The runs of a seed stay the same when a kind
/// is added here.
enum class PoolFaults : std::uint8_t {
  /// Daemon kills and pauses, network partitions, lost answers, late orders
  /// and worker crashes.
  Base,
  /// Base, and daemons that are up to a hundred times too slow.
  WithSlowDaemons,
  /// WithSlowDaemons, and workspaces with caps that change. Each start is
  /// checked against the cap.
  WithCaps,
  /// Base, and workers whose capacity shrinks and grows again.
  WithShrinkingWorkers,
  /// Base with caps above the capacity of the pool, which bind nothing.
  WithWideCaps,
  /// Base, with entries that do not detect store outages. A seed that was
  /// recorded for one failure still replays it.
  WithoutOutageDetection,
};

/// Returns the violated invariants as text; empty if there are none. With \p
/// Trace, all log lines of the daemons are written there.
std::vector<std::string> runPoolFaults(std::uint64_t Seed,
                                       PoolFaults Kinds = PoolFaults::Base,
                                       std::ostream *Trace = nullptr);

} // namespace banyanworks::testing

#endif
