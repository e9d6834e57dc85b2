/// \file
/// Defines OutOfServiceTracker, which tracks a change that takes a failure
/// domain out of service until no work starts there any more.
#ifndef BANYANWORKS_STATE_OUTOFSERVICETRACKER_H
#define BANYANWORKS_STATE_OUTOFSERVICETRACKER_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyanworks {

/// Progress of a change that takes a domain out of service.
enum class OutOfServicePhase : std::uint8_t {
  /// The change is in the store, but too few owners have it in force to bound
  /// the time of the last start.
  Recorded,
  /// No work starts in the domain after \ref OutOfServiceReport::LatestStart.
  Accepted,
  /// No work starts in the domain any more.
  InForce,
};

/// Progress report for operators.
struct OutOfServiceReport {
  OutOfServicePhase Phase = OutOfServicePhase::Recorded;
  std::vector<DaemonId> Confirmed;
  std::vector<DaemonId> Unconfirmed;
  /// Upper bound of the time at which unconfirmed daemons lose their permission
  /// to start work; nothing until the change is accepted.
  std::optional<TimePoint> LatestStart;
  /// Number of further domains that must confirm before acceptance.
  std::size_t VotesMissing = 0;
};

/// Collects confirmations that the change is in force.
///
/// The change is accepted once there is a time at which a majority of owners
/// had it in force: each owner confirmed it before that time, and again, under
/// the same epoch, in response to a question sent after that time. One
/// confirmation is not enough, because its owner may have been replaced by one
/// that does not know the change.
class OutOfServiceTracker {
public:
  /// \p Domains are all domains of the deployment; \p Expected are the known
  /// daemons of the domain that is taken out of service.
  OutOfServiceTracker(ConfigVersion Version, std::vector<DomainId> Domains,
                      std::vector<DaemonId> Expected);

  /// Records that the owner of a domain under epoch \p Term, which may vote,
  /// responded to a question sent at \p AskedAt that it has \p InForce in
  /// force.
  void ownerConfirmed(const DomainId &Domain, Epoch Term, ConfigVersion InForce,
                      TimePoint AskedAt, TimePoint Now);
  /// Records that a daemon of the domain has \p InForce in force.
  void daemonConfirmed(const DaemonId &Daemon, ConfigVersion InForce);

  OutOfServiceReport report(TimePoint Now) const;

private:
  /// The interval in which an owner is known to have had the change in force.
  struct Vote {
    Epoch Term;
    TimePoint ConfirmedFrom;
    TimePoint ConfirmedUntil;
  };

  std::size_t votesAt(TimePoint Time) const;
  bool accepted() const { return AcceptedAt.has_value(); }

  ConfigVersion Version;
  std::set<DomainId> Domains;
  std::vector<DaemonId> Expected;
  std::map<DomainId, Vote> Votes;
  std::set<DaemonId> Confirmed;
  std::optional<TimePoint> AcceptedAt;
};

} // namespace banyanworks

#endif
