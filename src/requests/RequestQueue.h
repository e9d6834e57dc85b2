/// \file
/// Defines RequestQueue, the bounded queue of admitted requests.
#ifndef BANYANWORKS_REQUESTS_REQUESTQUEUE_H
#define BANYANWORKS_REQUESTS_REQUESTQUEUE_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace banyanworks {

/// A request that waits for a slot.
struct QueuedRequest {
  RequestId Request;
  WorkspaceId Workspace;
  TimePoint Deadline;
};

/// Orders workspaces by their share of what was served, and the requests of
/// one workspace by deadline.
class RequestQueue {
public:
  explicit RequestQueue(std::size_t MaxQueued) : MaxQueued(MaxQueued) {}

  void setWeight(const WorkspaceId &Workspace, double Weight);

  /// Adds a request. If the queue is full, the workspace that is the furthest
  /// over its share loses its latest request, which is returned; it may be the
  /// new one.
  std::optional<RequestId> push(const QueuedRequest &Entry);
  /// The request that is served next.
  std::optional<QueuedRequest> front() const;
  /// Takes the request that front() returned.
  void pop();
  void remove(const QueuedRequest &Entry);

  /// Requests whose deadline is before \p Time, taken out of the queue.
  std::vector<RequestId> removeDueBefore(TimePoint Time);
  std::optional<TimePoint> earliestDeadline() const;

  /// Requests of all workspaces that \p Deadline would have to wait for.
  std::size_t countAhead(const WorkspaceId &Workspace,
                         TimePoint Deadline) const;
  std::size_t size() const { return Total; }

private:
  struct WorkspaceQueue {
    double Weight = 1.0;
    /// Served requests over the weight; the lowest is served next.
    double VirtualTime = 0;
    std::set<std::pair<TimePoint, RequestId>> Waiting;

    double weightedLength() const {
      return static_cast<double>(Waiting.size()) / Weight;
    }
  };

  const WorkspaceQueue *nextWorkspaceQueue(WorkspaceId *Name) const;

  std::size_t MaxQueued;
  std::size_t Total = 0;
  double SystemVirtualTime = 0;
  std::map<WorkspaceId, WorkspaceQueue> WorkspaceQueues;
};

} // namespace banyanworks

#endif
