/// \file
/// Defines JobSpec, the specification of a job: a gang of identical members
/// that run at the same time in one failure domain.
#ifndef BANYANWORKS_MODEL_JOB_H
#define BANYANWORKS_MODEL_JOB_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"

namespace banyanworks {

/// The topological distance within which the members of a gang are placed.
enum class Adjacency : std::uint8_t {
  None,
  NeighbouringRacks,
  SameRack,
  SameWorker,
};

/// The priority of a job, in increasing order; urgent jobs start within
/// seconds.
enum class Priority : std::uint8_t { Batch, Normal, Urgent };

/// The phase of a job.
enum class JobPhase : std::uint8_t {
  Queued,
  Holding,
  Running,
  Checkpointing,
  Succeeded,
  Failed,
  Cancelled,
  Refused,
};

/// The specification of an accepted job.
struct JobSpec {
  JobId Id;
  WorkspaceId Workspace;
  ServiceId Service;
  JobKindId Kind;
  IdempotencyKey Key;
  std::uint32_t Members = 1;
  Resources PerMember;
  Adjacency MemberAdjacency = Adjacency::None;
  /// True if \ref MemberAdjacency is a requirement, false if it is a
  /// preference.
  bool AdjacencyRequired = false;
  Priority Urgency = Priority::Normal;
  /// The declared run time; the actual one may be ten times shorter or longer.
  Duration ExpectedRunTime{};
  bool Checkpointable = false;
  std::uint32_t MaxRestarts = 3;
  /// The failure domain in which the job must run; empty for any.
  DomainId Domain;

  bool operator==(const JobSpec &) const = default;
};

} // namespace banyanworks

#endif
