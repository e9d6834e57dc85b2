/// \file
/// Defines Configuration, one published version of the declarations of
/// operators and services. It is immutable once published.
#ifndef BANYANWORKS_MODEL_CONFIGURATION_H
#define BANYANWORKS_MODEL_CONFIGURATION_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"
#include "model/Job.h"

#include <map>
#include <string>
#include <vector>

namespace banyanworks {

/// The size classes of cells, the units of guaranteed capacity.
enum class CellLevel : std::uint8_t {
  /// An aligned group of accelerators on one worker; its size is a power of
  /// two.
  Group,
  /// A whole worker.
  Worker,
  /// Several whole workers in one rack.
  Rack,
};

/// A kind of guaranteed cell and the number of such cells.
struct GuaranteedCell {
  CellLevel Level = CellLevel::Group;
  /// Accelerators per cell of level Group; ignored for Worker and Rack.
  std::int32_t Accelerators = 0;
  /// Workers per cell of level Rack; ignored for the other levels.
  std::int32_t Workers = 0;
  /// The required accelerator model; empty for any.
  std::string AcceleratorModel;
  std::int32_t Count = 0;
  /// The failure domain that provides the cells. If operators leave it empty,
  /// publishing assigns one, so that each owner knows its part of a guarantee.
  DomainId Domain;

  bool operator==(const GuaranteedCell &) const = default;
};

/// A workspace with its guaranteed capacity, fair-share weight and quota.
struct Workspace {
  WorkspaceId Id;
  std::vector<GuaranteedCell> Guarantee;
  /// Fair-share weight for capacity beyond the guarantees.
  double ShareWeight = 1.0;
  /// The maximum in use at once, guaranteed and borrowed capacity together;
  /// zero components mean no limit.
  Resources Quota;

  bool operator==(const Workspace &) const = default;
};

/// What happens to running tasks when a failure domain is taken out of service.
enum class DrainPolicy : std::uint8_t { Finish, Checkpoint, Stop };

/// A failure domain.
struct FailureDomain {
  DomainId Id;
  std::string Region;
  /// True if work may start in the domain.
  bool InService = true;
  DrainPolicy Drain = DrainPolicy::Checkpoint;
  /// Tasks that still run this long after the domain was taken out of service
  /// are stopped.
  Duration DrainDeadline = std::chrono::minutes(10);

  bool operator==(const FailureDomain &) const = default;
};

/// A method of a service, as declared in the service's file.
struct Method {
  MethodId Id;
  bool Repeatable = false;
  Duration Deadline = std::chrono::seconds(10);
  /// Requests per second for the whole deployment; zero for no limit.
  double RateLimit = 0;
  /// Concurrent requests for the whole deployment; zero for no limit.
  std::uint32_t ConcurrencyLimit = 0;
  /// Maximum size of a request's body, in bytes.
  std::uint64_t MaxBody = 1 << 20;

  bool operator==(const Method &) const = default;
};

/// A kind of job that a service may submit, with the limits and defaults of its
/// jobs.
struct JobKind {
  JobKindId Id;
  std::uint32_t MaxMembers = 1;
  Resources PerMember;
  Adjacency MemberAdjacency = Adjacency::None;
  bool AdjacencyRequired = false;
  Priority Urgency = Priority::Normal;
  Duration ExpectedRunTime = std::chrono::hours(1);
  bool Checkpointable = false;
  std::uint32_t MaxRestarts = 3;

  bool operator==(const JobKind &) const = default;
};

/// A network endpoint that executes the requests of a service.
struct Endpoint {
  EndpointId Id;
  DomainId Domain;
  /// Host and port, as "127.0.0.1:9000".
  std::string Address;
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  /// True if operators have marked the endpoint as draining.
  bool Draining = false;

  bool operator==(const Endpoint &) const = default;
};

/// A service with its methods, kinds of job and endpoints.
struct Service {
  ServiceId Id;
  WorkspaceId Workspace;
  std::map<MethodId, Method> Methods;
  std::map<JobKindId, JobKind> JobKinds;
  std::map<EndpointId, Endpoint> Endpoints;

  bool operator==(const Service &) const = default;
};

/// One version of the configuration.
struct Configuration {
  ConfigVersion Version;
  /// The operator who published the version and the operator's comment, for the
  /// history.
  std::string Author;
  std::string Comment;
  std::map<DomainId, FailureDomain> Domains;
  std::map<WorkspaceId, Workspace> Workspaces;
  std::map<ServiceId, Service> Services;

  bool operator==(const Configuration &) const = default;
};

} // namespace banyanworks

#endif
