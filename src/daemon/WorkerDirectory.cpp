/// \file
/// Implements WorkerDirectory.
#include "daemon/WorkerDirectory.h"

namespace banyanworks {

WorkerSession &WorkerDirectory::recordReport(const WorkerId &Worker,
                                             const std::string &Address,
                                             Incarnation Session,
                                             TimePoint ExpiresAt) {
  WorkerSession &Current = Sessions[Worker];
  if (Current.Session != Session)
    Current.Joined = false;
  Current.Address = Address;
  Current.Session = Session;
  Current.ExpiresAt = ExpiresAt;
  return Current;
}

const WorkerSession *WorkerDirectory::find(const WorkerId &Worker) const {
  auto Found = Sessions.find(Worker);
  return Found == Sessions.end() ? nullptr : &Found->second;
}

std::vector<WorkerId> WorkerDirectory::takeExpired(TimePoint Now) {
  std::vector<WorkerId> Result;
  for (const auto &[Worker, Session] : Sessions)
    if (Session.Joined && Session.ExpiresAt < Now)
      Result.push_back(Worker);
  for (const WorkerId &Worker : Result)
    Sessions.erase(Worker);
  return Result;
}

void WorkerDirectory::clearJoined() {
  for (auto &[Worker, Session] : Sessions)
    Session.Joined = false;
}

} // namespace banyanworks
