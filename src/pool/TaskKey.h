/// \file
/// Defines TaskKey and StepKey, the place of a task within its job, and
/// GroupKey, that of the tasks that start together.
#ifndef BANYANWORKS_POOL_TASKKEY_H
#define BANYANWORKS_POOL_TASKKEY_H

#include "base/Ids.h"

#include <compare>
#include <cstdint>

namespace banyanworks::pool {

/// The number of a group's start; the members of a gang share it. Starts at 1.
using RunNumber = Number<struct RunNumberTag>;

/// One task of one step in one occurrence of a job, each counted from 0.
struct TaskKey {
  JobId Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  bool operator==(const TaskKey &) const = default;
  std::strong_ordering operator<=>(const TaskKey &Other) const {
    if (auto Order = Job <=> Other.Job; Order != 0) // NOLINT: false nullptr
      return Order;
    if (Occurrence != Other.Occurrence)
      return Occurrence <=> Other.Occurrence;
    if (Step != Other.Step)
      return Step <=> Other.Step;
    return Index <=> Other.Index;
  }
};

/// One step of one occurrence of a job.
struct StepKey {
  JobId Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;

  bool operator==(const StepKey &) const = default;
  std::strong_ordering operator<=>(const StepKey &Other) const {
    if (auto Order = Job <=> Other.Job; Order != 0) // NOLINT: false nullptr
      return Order;
    if (Occurrence != Other.Occurrence)
      return Occurrence <=> Other.Occurrence;
    return Step <=> Other.Step;
  }
};

} // namespace banyanworks::pool

#endif
