/// \file
/// Defines WorkerDirectory, the sessions of one failure domain's workers: where
/// each takes orders and until when its session stands.
#ifndef BANYANWORKS_DAEMON_WORKERDIRECTORY_H
#define BANYANWORKS_DAEMON_WORKERDIRECTORY_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace banyanworks {

/// One worker's session; guarded by the lock of its failure domain.
struct WorkerSession {
  std::string Address;
  Incarnation Session;
  TimePoint ExpiresAt;
  /// True once the scheduler knows the session's inventory.
  bool Joined = false;
};

/// The known workers of a failure domain. A daemon that does not own the domain
/// keeps the addresses, so that it can ask for inventories when it takes over.
class WorkerDirectory {
public:
  /// Notes that a worker reported; returns its session.
  WorkerSession &recordReport(const WorkerId &Worker,
                              const std::string &Address, Incarnation Session,
                              TimePoint ExpiresAt);

  /// The session of a worker, or null.
  const WorkerSession *find(const WorkerId &Worker) const;

  /// Removes and returns the joined workers whose sessions lapsed.
  std::vector<WorkerId> takeExpired(TimePoint Now);

  /// Every worker has to join again, as after a change of owner.
  void clearJoined();

  const std::map<WorkerId, WorkerSession> &all() const { return Sessions; }

private:
  std::map<WorkerId, WorkerSession> Sessions;
};

} // namespace banyanworks

#endif
