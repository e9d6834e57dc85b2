/// \file
/// Defines JobSpec, a job as submitted by its caller.
#ifndef BANYANWORKS_POOL_JOBSPEC_H
#define BANYANWORKS_POOL_JOBSPEC_H

#include "base/WallTime.h"
#include "pool/QueueTerms.h"
#include "pool/StepSpec.h"

#include <string>
#include <vector>

namespace banyanworks::pool {

/// Name of a job queue, as assigned by operators.
using QueueId = Name<struct QueueTag>;

/// Immutable once stored.
struct JobSpec {
  JobId Id;
  QueueId Queue;
  WorkspaceId Workspace;
  /// The terms of the queue at acceptance. They remain valid after the queue
  /// is changed or removed.
  QueueTerms Terms;
  /// Program that the workers run; opaque to the daemon.
  std::string Program;
  std::vector<StepSpec> Steps;
  WallTime AcceptedAt;
  /// Number of times that the steps run, at intervals; zero for a job that
  /// runs once, immediately.
  std::uint32_t Occurrences = 0;
  WallTime FirstDue;
  Duration Interval{};

  std::uint32_t occurrenceCount() const {
    return Occurrences ? Occurrences : 1;
  }
  bool isScheduled() const { return Occurrences != 0; }
  /// Earliest start time of an occurrence.
  WallTime dueAt(std::uint32_t Occurrence) const {
    return isScheduled() ? WallTime(FirstDue + Interval * Occurrence)
                         : AcceptedAt;
  }

  bool operator==(const JobSpec &) const = default;
};

} // namespace banyanworks::pool

#endif
