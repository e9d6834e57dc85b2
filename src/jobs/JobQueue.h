/// \file
/// Defines JobQueue, which holds the waiting jobs of each workspace in queue
/// order, grouped by shape so that a pass examines one job per shape.
#ifndef BANYANWORKS_JOBS_JOBQUEUE_H
#define BANYANWORKS_JOBS_JOBQUEUE_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"
#include "model/Job.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace banyanworks {

/// The properties of a job that determine its placement; jobs of the same shape
/// either all fit or all do not fit.
struct JobShape {
  std::uint32_t Members = 1;
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMiB = 0;
  std::int32_t Accelerators = 0;
  Adjacency MemberAdjacency = Adjacency::None;
  bool AdjacencyRequired = false;

  explicit JobShape(const JobSpec &Spec)
      : Members(Spec.Members), MilliCores(Spec.PerMember.MilliCores),
        MemoryMiB(Spec.PerMember.MemoryMiB),
        Accelerators(Spec.PerMember.Accelerators),
        MemberAdjacency(Spec.MemberAdjacency),
        AdjacencyRequired(Spec.AdjacencyRequired) {}

  /// The fields by which shapes are compared.
  auto key() const {
    return std::tie(Members, MilliCores, MemoryMiB, Accelerators,
                    MemberAdjacency, AdjacencyRequired);
  }
  bool operator==(const JobShape &Other) const { return key() == Other.key(); }
  bool operator<(const JobShape &Other) const { return key() < Other.key(); }

  /// True if any capacity that fits this shape also fits \p Other.
  bool requiresAtLeast(const JobShape &Other) const;
};

/// Position of a job in the order of its workspace.
struct QueueKey {
  /// Zero is the most urgent class.
  std::uint8_t UrgencyClass = 0;
  TimePoint Rank;
  JobId Job;

  bool operator<(const QueueKey &Other) const {
    return std::tie(UrgencyClass, Rank, Job) <
           std::tie(Other.UrgencyClass, Other.Rank, Other.Job);
  }
};

/// Waiting jobs of one workspace.
class WorkspaceQueue {
public:
  /// The first job of a shape, ordered by queue position.
  struct Head {
    QueueKey Key;
    JobShape Shape;

    bool operator<(const Head &Other) const {
      return std::tie(Key, Shape) < std::tie(Other.Key, Other.Shape);
    }
  };

  void insert(const QueueKey &Key, const JobShape &Shape);
  void erase(const QueueKey &Key, const JobShape &Shape);

  /// One entry per shape, in queue order.
  const std::set<Head> &heads() const { return Heads; }
  std::size_t size() const { return Count; }
  /// All waiting jobs of a shape, in queue order.
  std::vector<JobId> jobsOfShape(const JobShape &Shape) const;
  /// Number of jobs before \p Key.
  std::uint32_t jobsAhead(const QueueKey &Key) const;

private:
  std::map<JobShape, std::set<QueueKey>> Shapes;
  std::set<Head> Heads;
  std::size_t Count = 0;
};

/// Queues of all workspaces with waiting jobs.
class JobQueue {
public:
  void insert(const WorkspaceId &Workspace, const QueueKey &Key,
              const JobShape &Shape);
  void erase(const WorkspaceId &Workspace, const QueueKey &Key,
             const JobShape &Shape);
  void clear();

  const std::map<WorkspaceId, WorkspaceQueue> &queues() const { return Queues; }
  /// The queue of a workspace, or null if it has no waiting jobs.
  const WorkspaceQueue *queue(const WorkspaceId &Workspace) const;
  std::size_t size() const { return Count; }

private:
  std::map<WorkspaceId, WorkspaceQueue> Queues;
  std::size_t Count = 0;
};

} // namespace banyanworks

#endif
