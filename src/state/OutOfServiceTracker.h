/// \file
/// Defines OutTracker, which follows a change that takes a failure domain out
/// until no work starts there, and says truthfully how far it has come.
#ifndef BANYANWORKS_STATE_OUTOFSERVICETRACKER_H
#define BANYANWORKS_STATE_OUTOFSERVICETRACKER_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyanworks {

/// How far a change that takes a domain out has come.
enum class OutOfServicePhase : std::uint8_t {
  /// In the store, but too few owners have it for a bound on the last start.
  Recorded,
  /// Accepted: no work starts in the domain after \ref OutReport::LastStart.
  Accepted,
  /// No work starts any more.
  InForce,
};

/// What an operator is told.
struct OutOfServiceReport {
  OutOfServicePhase Phase = OutOfServicePhase::Recorded;
  std::vector<DaemonId> Confirmed;
  std::vector<DaemonId> Missing;
  /// When the permission of daemons that have not confirmed ends, at the
  /// latest; nothing while that is not known.
  std::optional<TimePoint> LatestStart;
  /// Domains whose confirmation is still missing for acceptance.
  std::size_t VotesMissing = 0;
};

/// Collects who has the change in force.
///
/// The change is accepted once a majority of owners had it in force at one
/// time: each confirmed it before then, and again, under the same epoch, when
/// it was asked after then. A single confirmation would not do, as its owner
/// may have been replaced by one that does not know of the change.
class OutOfServiceTracker {
public:
  /// \p Domains are all domains of the deployment; \p Expected the daemons of
  /// the domain that is taken out, as far as they are known.
  OutOfServiceTracker(ConfigVersion Version, std::vector<DomainId> Domains,
                      std::vector<DaemonId> Expected);

  /// The owner of a domain under \p Term, one that may vote, answered a
  /// question asked at \p AskedAt that it has \p InForce in force.
  void ownerConfirmed(const DomainId &Domain, Epoch Term, ConfigVersion InForce,
                      TimePoint AskedAt, TimePoint Now);
  /// A daemon of the domain said that it has \p InForce in force.
  void daemonConfirmed(const DaemonId &Daemon, ConfigVersion InForce);

  OutOfServiceReport report(TimePoint Now) const;

private:
  /// When an owner is known to have had the change in force.
  struct Vote {
    Epoch Term;
    TimePoint ConfirmedFrom;
    TimePoint ConfirmedUntil;
  };

  std::size_t votesAt(TimePoint When) const;
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
