/// \file
/// Defines UsageWatch, what follows from reports of what tasks really use.
#ifndef BANYANWORKS_JOBS_USAGEMONITOR_H
#define BANYANWORKS_JOBS_USAGEMONITOR_H

#include "base/Ids.h"
#include "base/Units.h"

#include <cstdint>
#include <unordered_map>

namespace banyanworks {

/// What to do about a task that uses more than it declared.
enum class OveruseAction : std::uint8_t { None, Throttle, Checkpoint };

/// Counts the reports of over-use of each task. Reports lag, so a task gets
/// several of them to show that the throttle works.
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
