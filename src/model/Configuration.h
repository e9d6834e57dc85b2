/// \file
/// Defines Configuration, one published version of what operators and services
/// declare. It is immutable once published.
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

/// The size classes of cells in which capacity is guaranteed.
enum class CellLevel : std::uint8_t {
  /// An aligned group of accelerators on one worker; a power of two.
  Group,
  /// A whole worker.
  Worker,
  /// Several whole workers of one rack.
  Rack,
};

/// One kind of cell of a guaranteed shape, and how many of it.
struct GuaranteedCell {
  CellLevel Level = CellLevel::Group;
  /// Accelerators in one Group; ignored for Worker and Rack.
  std::int32_t Accelerators = 0;
  /// Workers in one Rack cell; ignored otherwise.
  std::int32_t Workers = 0;
  /// Empty for any model.
  std::string AcceleratorModel;
  std::int32_t Count = 0;
  /// The failure domain that holds the cells. Publishing fills it in where the
  /// operators left it empty, so that each owner knows its own share.
  DomainId Domain;

  bool operator==(const GuaranteedCell &) const = default;
};

/// A workspace: whose work it is, and what it is promised.
struct Workspace {
  WorkspaceId Id;
  std::vector<GuaranteedCell> Guarantee;
  /// Relative claim on capacity beyond the guarantees.
  double ShareWeight = 1.0;
  /// The most that may run at once, guarantee and loans together; zero parts
  /// mean no limit.
  Resources Quota;

  bool operator==(const Workspace &) const = default;
};

/// What happens to running tasks when a failure domain is taken out.
enum class DrainPolicy : std::uint8_t { Finish, Checkpoint, Stop };

/// A failure domain and whether work may start in it.
struct FailureDomain {
  DomainId Id;
  std::string Region;
  bool InService = true;
  DrainPolicy Drain = DrainPolicy::Checkpoint;
  /// Running tasks are stopped this long after the domain was taken out.
  Duration DrainDeadline = std::chrono::minutes(10);

  bool operator==(const FailureDomain &) const = default;
};

/// A method of a service, as its declaration file gives it.
struct Method {
  MethodId Id;
  bool Repeatable = false;
  Duration Deadline = std::chrono::seconds(10);
  /// Requests a second for the whole deployment; zero for no limit.
  double RateLimit = 0;
  /// Requests in progress at once for the whole deployment; zero for no limit.
  std::uint32_t ConcurrencyLimit = 0;
  /// Bytes of a request's body.
  std::uint64_t MaxBody = 1 << 20;

  bool operator==(const Method &) const = default;
};

/// A kind of job that a service may ask for; the largest values it may use.
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

/// An executor of a service.
struct Endpoint {
  EndpointId Id;
  DomainId Domain;
  /// Host and port, as "127.0.0.1:9000".
  std::string Address;
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  /// True once operators said that the endpoint is leaving.
  bool Draining = false;

  bool operator==(const Endpoint &) const = default;
};

/// A service and what it declares.
struct Service {
  ServiceId Id;
  WorkspaceId Workspace;
  std::map<MethodId, Method> Methods;
  std::map<JobKindId, JobKind> JobKinds;
  std::map<EndpointId, Endpoint> Endpoints;

  bool operator==(const Service &) const = default;
};

/// One version of the whole configuration.
struct Configuration {
  ConfigVersion Version;
  /// Who published it and why, for the history.
  std::string Author;
  std::string Comment;
  std::map<DomainId, FailureDomain> Domains;
  std::map<WorkspaceId, Workspace> Workspaces;
  std::map<ServiceId, Service> Services;

  bool operator==(const Configuration &) const = default;
};

} // namespace banyanworks

#endif
