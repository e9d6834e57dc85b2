/// \file
/// Defines JobSpec, what a caller asks of the job plane: a gang of equal
/// members that run together in one failure domain.
#ifndef BANYANWORKS_MODEL_JOB_H
#define BANYANWORKS_MODEL_JOB_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"

namespace banyanworks {

/// How close the members of a gang must be.
enum class Adjacency : std::uint8_t {
  None,
  NeighbouringRacks,
  SameRack,
  SameWorker,
};

/// The order of urgency; urgent work starts within seconds.
enum class Priority : std::uint8_t { Batch, Normal, Urgent };

/// Where a job stands.
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

/// One job as it was accepted.
struct JobSpec {
  JobId Id;
  WorkspaceId Workspace;
  ServiceId Service;
  JobKindId Kind;
  IdempotencyKey Key;
  std::uint32_t Members = 1;
  Resources PerMember;
  Adjacency MemberAdjacency = Adjacency::None;
  /// True if \ref Near is a demand, false if it is a preference.
  bool AdjacencyRequired = false;
  Priority Urgency = Priority::Normal;
  /// The declared run time; may be off by ten times either way.
  Duration ExpectedRunTime{};
  bool Checkpointable = false;
  std::uint32_t MaxRestarts = 3;
  /// The only failure domain the job may run in; empty for any.
  DomainId Domain;

  bool operator==(const JobSpec &) const = default;
};

} // namespace banyanworks

#endif
