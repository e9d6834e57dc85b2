/// \file
/// Implements WorkerDirectory.
#include "daemon/WorkerDirectory.h"

namespace banyanworks {

WorkerSession &WorkerDirectory::recordReport(const WorkerId &Worker,
                                             const std::string &Address,
                                             Incarnation Session,
                                             TimePoint ExpiresAt) {
  WorkerSession &Known = Sessions[Worker];
  if (Known.Session != Session)
    Known.Joined = false;
  Known.Address = Address;
  Known.Session = Session;
  Known.ExpiresAt = ExpiresAt;
  return Known;
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
