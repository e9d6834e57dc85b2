/// \file
/// Defines UsageMonitor, which detects tasks that exceed their declared
/// resources.
#ifndef BANYANWORKS_JOBS_USAGEMONITOR_H
#define BANYANWORKS_JOBS_USAGEMONITOR_H

#include "base/Ids.h"
#include "base/Units.h"

#include <cstdint>
#include <unordered_map>

namespace banyanworks {

/// Action against a task that exceeds its declared resources.
enum class OveruseAction : std::uint8_t { None, Throttle, Checkpoint };

/// Counts consecutive reports of overuse per task. Reports are delayed, so a
/// throttled task is allowed several of them before it is checkpointed.
class UsageMonitor {
public:
  OveruseAction recordUsage(const TaskId &Task, const Resources &Declared,
                            const Resources &Used);
  void forget(const TaskId &Task) { Counts.erase(Task); }
  void clear() { Counts.clear(); }

private:
  std::unordered_map<TaskId, std::uint32_t> Counts;
};

} // namespace banyanworks

#endif
