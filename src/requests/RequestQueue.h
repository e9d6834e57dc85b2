/// \file
/// Defines RequestQueue, the bounded weighted fair queue of admitted requests.
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

/// Weighted fair queue over workspaces; the requests of one workspace are
/// ordered by deadline.
class RequestQueue {
public:
  explicit RequestQueue(std::size_t MaxQueued) : MaxQueued(MaxQueued) {}

  void setWeight(const WorkspaceId &Workspace, double Weight);

  /// Adds a request. If the queue is full, drops and returns the request with
  /// the latest deadline of the workspace with the longest queue relative to
  /// its weight; this may be the new request.
  std::optional<RequestId> push(const QueuedRequest &Entry);
  /// The request that is served next.
  std::optional<QueuedRequest> front() const;
  /// Removes the request that front() returned.
  void pop();
  void remove(const QueuedRequest &Entry);

  /// Removes and returns the requests with deadlines before \p Time.
  std::vector<RequestId> removeDueBefore(TimePoint Time);
  std::optional<TimePoint> earliestDeadline() const;

  /// The estimated number of requests of all workspaces that are served before
  /// a request of \p Workspace with that deadline.
  std::size_t countAhead(const WorkspaceId &Workspace,
                         TimePoint Deadline) const;
  std::size_t size() const { return Total; }

private:
  struct WorkspaceQueue {
    double Weight = 1.0;
    /// Served requests divided by the weight. The workspace with the lowest
    /// virtual time is served next.
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
