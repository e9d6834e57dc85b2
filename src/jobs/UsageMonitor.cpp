/// \file
/// Implements the watch for tasks that use more than they declared.
#include "jobs/UsageMonitor.h"

namespace banyanworks {

namespace {

/// Reports of over-use until a throttled task is checkpointed.
constexpr std::uint32_t ReportsUntilCheckpoint = 4;

/// Over-use up to this part of the declaration, in percent, is tolerated.
constexpr std::int64_t TolerancePercent = 10;

bool exceeds(std::int64_t Used, std::int64_t Declared) {
  return Used * 100 > Declared * (100 + TolerancePercent);
}

} // namespace

OveruseAction UsageMonitor::recordUsage(const TaskId &Task,
                                        const Resources &Declared,
                                        const Resources &Used) {
  if (!exceeds(Used.MilliCores, Declared.MilliCores) &&
      !exceeds(Used.MemoryMiB, Declared.MemoryMiB)) {
    Counts.erase(Task);
    return OveruseAction::None;
  }
  std::uint32_t Count = ++Counts[Task];
  if (Count == 1)
    return OveruseAction::Throttle;
  return Count >= ReportsUntilCheckpoint ? OveruseAction::Checkpoint
                                         : OveruseAction::None;
}

} // namespace banyanworks
