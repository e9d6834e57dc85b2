/// \file
/// Defines StartPermission, which determines until when work may start in a
/// failure domain. The permission expires, so that a domain that cannot learn
/// that it was taken out of service stops starting work.
#ifndef BANYANWORKS_STATE_STARTPERMISSION_H
#define BANYANWORKS_STATE_STARTPERMISSION_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <variant>
#include <vector>

namespace banyanworks {

/// Time for which a proof that the domain is in service permits starts.
inline constexpr Duration StartPermissionLifetime =
    std::chrono::milliseconds(1800);
/// Maximum delay of a hold on its way to the worker, by which it may outlast
/// the permission. A hold that is not confirmed within this time is not
/// started.
inline constexpr Duration MaxHoldDelay = std::chrono::seconds(1);
/// Time after the acceptance of a domain's out-of-service change after which no
/// work starts there.
inline constexpr Duration MaxStartDelayAfterOut =
    StartPermissionLifetime + MaxHoldDelay;

/// The version that is in force at this daemon.
struct PermissionConfiguration {
  ConfigVersion Version;
  /// True if the daemon's own failure domain is in service.
  bool InService = false;
  /// The failure domains of the deployment, each with one vote.
  std::vector<DomainId> Domains;
};

/// A read of the store's root returned this version. The read reflects the
/// store's state at \ref FreshSince or later.
struct RootConfirmed {
  ConfigVersion Version;
  TimePoint FreshSince;
};

/// The owner of another failure domain, which may vote, reported the version
/// that it has in force.
struct OwnerVersionReported {
  DomainId Domain;
  ConfigVersion Version;
  /// The time at which this daemon sent its query, on its own clock; the owner
  /// responded later.
  TimePoint AskedAt;
};

/// This daemon became the owner of its domain.
struct PermissionOwnershipGained {};

/// The state of this daemon's ownership at the time of the event.
struct PermissionOwnershipStatus {
  /// True while the store lease is valid.
  bool Leased = false;
  /// The last time at which this daemon had contact with a majority of the
  /// daemons, including itself, that its domain had at the last contact with
  /// the store.
  TimePoint DomainMajorityHeardAt;
};

/// Periodic tick.
struct PermissionTick {};

using PermissionEvent =
    std::variant<PermissionConfiguration, RootConfirmed, OwnerVersionReported,
                 PermissionOwnershipGained, PermissionOwnershipStatus,
                 PermissionTick>;

/// Requests a read of the root, after a call that proves the store's revision.
struct ConfirmRoot {};
/// Requests a query to the owner of each failure domain for the version that it
/// has in force.
struct AskOwners {};
/// Work may start until the given time, which is earlier than before if the
/// domain was taken out of service.
struct StartUntilChanged {
  TimePoint StartUntil;
};

using PermissionAction =
    std::variant<ConfirmRoot, AskOwners, StartUntilChanged>;

/// The kind of proof on which the permission is based, for operators.
enum class PermissionSource : std::uint8_t { None, Store, Owners };

/// State machine for the start permission of one failure domain, run by its
/// owner.
///
/// An out-of-service change is accepted once it is in the store and the owners
/// of a majority of domains have it in force. Two proofs therefore show that it
/// was not accepted before a given time: a fresh read of the store's root, and
/// statements from a majority of owners.
///
/// Each domain has one vote, which its owner casts. To prevent two owners of
/// one domain from voting differently, an owner votes only after it learned
/// what an earlier owner may have voted for (from the store, or from a majority
/// of the other domains), and without a lease only while it has contact with a
/// majority of its own domain.
class StartPermission {
public:
  struct Options {
    Duration RenewEvery = std::chrono::milliseconds(800);
    /// False only in experiments that show which failure the majority prevents;
    /// any single owner then suffices.
    bool RequiresMajority = true;
    /// False only in experiments that show which failure the voting rules
    /// prevent.
    bool RestrictsVoting = true;
    /// False only in experiments that show which failure the expiry prevents.
    bool Expires = true;
  };

  explicit StartPermission(DomainId Self) : Self(std::move(Self)) {}
  StartPermission(DomainId Self, const Options &Settings)
      : Self(std::move(Self)), Settings(Settings) {}

  std::vector<PermissionAction> handle(const PermissionEvent &Event,
                                       TimePoint Now);

  /// The end of the permission; TimePoint::min() if there is none.
  TimePoint startUntil() const;
  bool mayStart(TimePoint Now) const { return Now < startUntil(); }
  PermissionSource source(TimePoint Now) const;
  /// True if this owner may report its version to other owners and confirm an
  /// out-of-service change.
  bool mayVote(TimePoint Now) const;

private:
  struct Visitor;
  struct Statement {
    ConfigVersion Version;
    TimePoint AskedAt;
  };

  void configure(const PermissionConfiguration &Event);
  void recordRoot(const RootConfirmed &Event);
  void recordStatement(const OwnerVersionReported &Event);
  /// The time since which a majority of queries was sent, for the latest such
  /// majority; TimePoint::min() if there is none.
  TimePoint majorityAskedAt(TimePoint Now) const;
  /// The oldest query time among the \p Count other domains with the latest
  /// queries that reported no newer version than the one in force here.
  TimePoint othersAskedAt(std::size_t Count) const;
  void updateEarlierVotesKnown();

  DomainId Self;
  Options Settings;
  ConfigVersion Version;
  bool InService = false;
  std::vector<DomainId> Domains;
  /// The latest proof from the store and, in PendingRoot, a proof for a version
  /// that is not in force here yet.
  TimePoint StoreProof = TimePoint::min();
  RootConfirmed PendingRoot{{}, TimePoint::min()};
  std::map<DomainId, Statement> Statements;
  TimePoint OwnersProof = TimePoint::min();
  TimePoint OwnerSince = TimePoint::max();
  bool EarlierVotesKnown = false;
  PermissionOwnershipStatus Status;
  TimePoint NextRenewal = TimePoint::min();
  TimePoint AnnouncedStartUntil = TimePoint::min();
};

} // namespace banyanworks

#endif
