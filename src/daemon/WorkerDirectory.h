/// \file
/// Defines WorkerDirectory, the sessions of one failure domain's workers: the
/// address for orders and the expiry of each session.
#ifndef BANYANWORKS_DAEMON_WORKERDIRECTORY_H
#define BANYANWORKS_DAEMON_WORKERDIRECTORY_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace banyanworks {

/// One worker's session; guarded by the lock of JobPlane.
struct WorkerSession {
  std::string Address;
  Incarnation Session;
  TimePoint ExpiresAt;
  /// True once the scheduler has received the inventory of this session.
  bool Joined = false;
};

/// The known workers of a failure domain. A daemon that does not own the domain
/// also records the addresses, so that it can request inventories when it takes
/// over.
class WorkerDirectory {
public:
  /// Records a worker's report and returns its session. A new session of the
  /// worker has not joined yet.
  WorkerSession &recordReport(const WorkerId &Worker,
                              const std::string &Address, Incarnation Session,
                              TimePoint ExpiresAt);

  /// The session of a worker, or null if the worker is unknown.
  const WorkerSession *find(const WorkerId &Worker) const;

  /// Removes and returns the joined workers whose sessions expired.
  std::vector<WorkerId> takeExpired(TimePoint Now);

  /// Requires every worker to join again, as after a change of owner.
  void clearJoined();

  const std::map<WorkerId, WorkerSession> &all() const { return Sessions; }

private:
  std::map<WorkerId, WorkerSession> Sessions;
};

} // namespace banyanworks

#endif
