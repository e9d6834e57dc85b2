/// \file
/// Defines TaskKey and StepKey, which identify a task and a step within a job,
/// and RunNumber, which counts the starts of a task group.
#ifndef BANYANWORKS_POOL_TASKKEY_H
#define BANYANWORKS_POOL_TASKKEY_H

#include "base/Ids.h"

#include <compare>
#include <cstdint>

namespace banyanworks::pool {

/// Number of a start of a task group, from 1; all members of a gang share it.
using RunNumber = Number<struct RunNumberTag>;

/// A task of one step in one occurrence of a job, each counted from 0.
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
