/// \file
/// Defines JobQueue, the waiting jobs of each workspace in order, grouped by
/// shape so that a pass looks at one job of each shape.
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

/// What placement sees of a job: jobs of one shape fit or do not fit alike.
struct JobShape {
  std::uint32_t Members = 1;
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMiB = 0;
  std::int32_t Accelerators = 0;
  Adjacency Near = Adjacency::None;
  bool NearRequired = false;

  explicit JobShape(const JobSpec &Spec)
      : Members(Spec.Members), MilliCores(Spec.PerMember.MilliCores),
        MemoryMiB(Spec.PerMember.MemoryMiB),
        Accelerators(Spec.PerMember.Accelerators), Near(Spec.Near),
        NearRequired(Spec.NearRequired) {}

  /// The parts by which shapes are compared.
  auto key() const {
    return std::tie(Members, MilliCores, MemoryMiB, Accelerators, Near,
                    NearRequired);
  }
  bool operator==(const JobShape &Other) const { return key() == Other.key(); }
  bool operator<(const JobShape &Other) const { return key() < Other.key(); }

  /// True if whatever holds this shape also holds \p Other.
  bool requiresAtLeast(const JobShape &Other) const;
};

/// A job's place in the order of its workspace.
struct QueueKey {
  /// Zero for the most urgent.
  std::uint8_t UrgencyClass = 0;
  TimePoint Rank;
  JobId Job;

  bool operator<(const QueueKey &Other) const {
    return std::tie(UrgencyClass, Rank, Job) <
           std::tie(Other.UrgencyClass, Other.Rank, Other.Job);
  }
};

/// The waiting jobs of one workspace.
class WorkspaceQueue {
public:
  /// The first job of a shape, in the order of the lane.
  struct Head {
    QueueKey Key;
    JobShape Shape;

    bool operator<(const Head &Other) const {
      return std::tie(Key, Shape) < std::tie(Other.Key, Other.Shape);
    }
  };

  void insert(const QueueKey &Key, const JobShape &Shape);
  void erase(const QueueKey &Key, const JobShape &Shape);

  /// One entry for each shape, in order.
  const std::set<Head> &heads() const { return Heads; }
  std::size_t size() const { return Count; }
  /// All waiting jobs of a shape, in order.
  std::vector<JobId> jobsOfShape(const JobShape &Shape) const;
  /// The jobs that come before \p Key.
  std::uint32_t jobsAhead(const QueueKey &Key) const;

private:
  std::map<JobShape, std::set<QueueKey>> Shapes;
  std::set<Head> Heads;
  std::size_t Count = 0;
};

/// The lanes of all workspaces that have waiting jobs.
class JobQueue {
public:
  void insert(const WorkspaceId &Workspace, const QueueKey &Key,
              const JobShape &Shape);
  void erase(const WorkspaceId &Workspace, const QueueKey &Key,
             const JobShape &Shape);
  void clear();

  const std::map<WorkspaceId, WorkspaceQueue> &queues() const { return Queues; }
  /// The lane, or null if the workspace has no waiting job.
  const WorkspaceQueue *queue(const WorkspaceId &Workspace) const;
  std::size_t size() const { return Count; }

private:
  std::map<WorkspaceId, WorkspaceQueue> Queues;
  std::size_t Count = 0;
};

} // namespace banyanworks

#endif
