/// \file
/// Implements OutOfServiceTracker.
#include "state/OutOfServiceTracker.h"

#include "state/StartPermission.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

OutOfServiceTracker::OutOfServiceTracker(ConfigVersion Version,
                                         std::vector<DomainId> AllDomains,
                                         std::vector<DaemonId> Expected)
    : Version(Version), Domains(AllDomains.begin(), AllDomains.end()),
      Expected(std::move(Expected)) {}

void OutOfServiceTracker::ownerConfirmed(const DomainId &Domain, Epoch Term,
                                         ConfigVersion InForce,
                                         TimePoint AskedAt, TimePoint Now) {
  if (InForce < Version || !Domains.count(Domain))
    return;
  Vote &Recorded =
      Votes.try_emplace(Domain, Vote{Term, Now, AskedAt}).first->second;
  if (Recorded.Term < Term)
    Recorded = {Term, Now, AskedAt};
  else if (Recorded.Term == Term)
    Recorded.ConfirmedUntil = std::max(Recorded.ConfirmedUntil, AskedAt);
  if (accepted())
    return;
  for (const auto &Entry : Votes)
    if (votesAt(Entry.second.ConfirmedFrom) > Domains.size() / 2)
      AcceptedAt = Now;
}

std::size_t OutOfServiceTracker::votesAt(TimePoint Time) const {
  std::size_t Count = 0;
  for (const auto &Entry : Votes) {
    if (Entry.second.ConfirmedFrom <= Time &&
        Time < Entry.second.ConfirmedUntil)
      ++Count;
  }
  return Count;
}

void OutOfServiceTracker::daemonConfirmed(const DaemonId &Daemon,
                                          ConfigVersion InForce) {
  if (InForce >= Version)
    Confirmed.insert(Daemon);
}

OutOfServiceReport OutOfServiceTracker::report(TimePoint Now) const {
  OutOfServiceReport Report;
  for (const DaemonId &Daemon : Expected)
    (Confirmed.count(Daemon) ? Report.Confirmed : Report.Unconfirmed)
        .push_back(Daemon);
  if (!accepted()) {
    std::size_t Majority = Domains.size() / 2 + 1;
    Report.VotesMissing = Majority - std::min(Majority - 1, Votes.size());
    return Report;
  }
  Report.Phase = OutOfServicePhase::Accepted;
  Report.LatestStart = *AcceptedAt + MaxStartDelayAfterOut;
  bool AllConfirmed = Report.Unconfirmed.empty() && !Expected.empty();
  if (AllConfirmed || Now >= *Report.LatestStart)
    Report.Phase = OutOfServicePhase::InForce;
  return Report;
}

} // namespace banyanworks
