/// \file
/// Defines the identifier types of the system.
#ifndef BANYANWORKS_BASE_IDS_H
#define BANYANWORKS_BASE_IDS_H

#include "base/StrongType.h"

namespace banyanworks {

/// A failure domain; operators choose its name.
using DomainId = Name<struct DomainTag>;
/// A rack, unique within its failure domain.
using RackId = Name<struct RackTag>;
/// A worker, unique in the deployment.
using WorkerId = Name<struct WorkerTag>;
/// A workspace.
using WorkspaceId = Name<struct WorkspaceTag>;
/// A service and, within it, a method or a kind of job.
using ServiceId = Name<struct ServiceTag>;
using MethodId = Name<struct MethodTag>;
using JobKindId = Name<struct JobKindTag>;
/// An endpoint of a service.
using EndpointId = Name<struct EndpointTag>;
/// A daemon, identified by its address. The incarnation distinguishes
/// successive processes at the same address.
using DaemonId = Name<struct DaemonTag>;
using Incarnation = Number<struct IncarnationTag>;
/// An idempotency key chosen by the caller, unique within its workspace.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;

/// A job. The id is derived from the workspace and the idempotency key, if the
/// caller gave one, so that all daemons assign the same id to a submission.
using JobId = Number<struct JobTag>;
/// A caller's request, and one attempt to run it.
using RequestId = Number<struct RequestTag>;
using AttemptId = Number<struct AttemptTag>;
/// The fencing token of an owner; increases with each change of owner.
using Epoch = Number<struct EpochTag>;
/// The version of the configuration; increases with each publication.
using ConfigVersion = Number<struct ConfigVersionTag>;

/// One member of a gang, numbered from 0, in one run of its job. Each restart
/// of the job has a higher run number.
struct TaskId {
  JobId Job;
  std::uint64_t Run = 0;
  std::uint32_t Member = 0;

  bool operator==(const TaskId &) const = default;
  std::strong_ordering operator<=>(const TaskId &Other) const {
    if (auto Order = Job <=> Other.Job; Order != 0) // NOLINT: false nullptr
      return Order;
    if (auto Order = Run <=> Other.Run; Order != 0) // NOLINT: false nullptr
      return Order;
    return Member <=> Other.Member;
  }
};

} // namespace banyanworks

template <> struct std::hash<banyanworks::TaskId> {
  std::size_t operator()(const banyanworks::TaskId &Id) const {
    std::uint64_t Low = (Id.Run << 32) ^ (Id.Run >> 32) ^ Id.Member;
    return Id.Job.value() * 0x9E3779B97F4A7C15ULL ^ Low;
  }
};

#endif
