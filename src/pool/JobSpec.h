/// \file
/// Defines JobSpec, a job as its caller submitted it.
#ifndef BANYANWORKS_POOL_JOBSPEC_H
#define BANYANWORKS_POOL_JOBSPEC_H

#include "base/WallTime.h"
#include "pool/QueueTerms.h"
#include "pool/StepSpec.h"

#include <string>
#include <vector>

namespace banyanworks::pool {

/// A queue of jobs, by the name that operators give it.
using QueueId = Name<struct QueueTag>;

/// Never changes once it is stored.
struct JobSpec {
  JobId Id;
  QueueId Queue;
  WorkspaceId Workspace;
  /// The terms of the queue when the job was accepted; they hold on when the
  /// queue is removed.
  QueueTerms Terms;
  /// What the workers are to run; opaque here.
  std::string Program;
  std::vector<StepSpec> Steps;
  /// When the job was accepted.
  WallTime AcceptedAt;
  /// How often the steps run; zero for a job that runs once, at once.
  std::uint32_t Occurrences = 0;
  WallTime FirstDue;
  Duration Interval{};

  std::uint32_t occurrenceCount() const {
    return Occurrences ? Occurrences : 1;
  }
  bool isScheduled() const { return Occurrences != 0; }
  /// When occurrence \p Round may start.
  WallTime dueAt(std::uint32_t Occurrence) const {
    return isScheduled() ? WallTime(FirstDue + Interval * Occurrence)
                         : AcceptedAt;
  }

  bool operator==(const JobSpec &) const = default;
};

} // namespace banyanworks::pool

#endif
