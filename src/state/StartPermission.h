/// \file
/// Defines StartPermission, which says until when work may start in a failure
/// domain. It expires by itself, so that a domain that cannot hear that it was
/// taken out stops starting work.
#ifndef BANYANWORKS_STATE_STARTPERMISSION_H
#define BANYANWORKS_STATE_STARTPERMISSION_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <variant>
#include <vector>

namespace banyanworks {

/// How long a proof that the domain is in allows starts.
inline constexpr Duration StartPermissionLifetime =
    std::chrono::milliseconds(1800);
/// A hold ends at its worker when the permission does, later by its way to the
/// worker at most. A hold that is not answered within this time is not started.
inline constexpr Duration MaxHoldDelay = std::chrono::seconds(1);
/// Work stops starting in a domain this long after "out" was accepted.
inline constexpr Duration MaxStartDelayAfterOut =
    StartPermissionLifetime + MaxHoldDelay;

/// This version is in force at this daemon.
struct PermissionConfiguration {
  ConfigVersion Version;
  /// True if the daemon's own failure domain is in.
  bool InService = false;
  /// The failure domains of the deployment, each with one vote.
  std::vector<DomainId> Domains;
};

/// The store's root named this version, read at \ref FreshSince or later from
/// a state that is not stale.
struct RootConfirmed {
  ConfigVersion Version;
  TimePoint FreshSince;
};

/// The owner of another failure domain, one that may vote, said which version
/// it has in force.
struct OwnerVersionReported {
  DomainId Domain;
  ConfigVersion Version;
  /// When this daemon sent its question, on its own clock; the statement was
  /// made later.
  TimePoint AskedAt;
};

/// This daemon took the ownership of its domain.
struct PermissionOwnershipGained {};

/// How this daemon owns its domain at the time of the event.
struct PermissionOwnershipStatus {
  /// True while a store lease holds.
  bool Leased = false;
  /// When this daemon last heard from a majority of the daemons that its
  /// domain had at the last contact with the store, itself included.
  TimePoint DomainMajorityHeardAt;
};

/// Time passed.
struct PermissionTick {};

using PermissionEvent =
    std::variant<PermissionConfiguration, RootConfirmed, OwnerVersionReported,
                 PermissionOwnershipGained, PermissionOwnershipStatus,
                 PermissionTick>;

/// Read the root, after a call that proves the store's revision.
struct ConfirmRoot {};
/// Ask the owner of each failure domain which version it has in force.
struct AskOwners {};
/// Work may start until then; earlier than before if the domain was taken out.
struct StartUntilChanged {
  TimePoint StartUntil;
};

using PermissionAction =
    std::variant<ConfirmRoot, AskOwners, StartUntilChanged>;

/// What the permission rests on, for operators.
enum class PermissionSource : std::uint8_t { None, Store, Owners };

/// The permission of one failure domain as its owner holds it.
///
/// "Out" is accepted once it is in the store and the owners of a majority of
/// domains have it in force. So there are two proofs that it was not accepted
/// before: the store's root read afresh, and statements of a majority.
///
/// A domain has one vote, given by its owner. So that no two owners of one
/// domain vote apart, an owner votes only once it learned what an earlier one
/// may have voted for (from the store, or from a majority of the others), and
/// without a lease only while it hears a majority of its own domain.
class StartPermission {
public:
  struct Options {
    Duration RenewEvery = std::chrono::milliseconds(800);
    /// False only to show what the majority prevents: any one owner suffices.
    bool RequiresMajority = true;
    /// False only to show what the rules of voting prevent.
    bool RestrictsVoting = true;
    /// False only to show what expiry prevents.
    bool Expires = true;
  };

  explicit StartPermission(DomainId Self) : Self(std::move(Self)) {}
  StartPermission(DomainId Self, const Options &Settings)
      : Self(std::move(Self)), Settings(Settings) {}

  std::vector<PermissionAction> handle(const PermissionEvent &Event,
                                       TimePoint Now);

  /// When the permission ends; in the past if there is none.
  TimePoint startUntil() const;
  bool mayStart(TimePoint Now) const { return Now < startUntil(); }
  PermissionSource source(TimePoint Now) const;
  /// True if this owner may state its version to others and confirm "out".
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
  /// When the latest majority was asked; the minimum if there is none.
  TimePoint majorityAskedAt(TimePoint Now) const;
  /// When the latest \p Count other domains were asked that do not know of a
  /// newer version than the one in force here.
  TimePoint othersAskedAt(std::size_t Count) const;
  void updateEarlierVotesKnown();

  DomainId Self;
  Options Settings;
  ConfigVersion Version;
  bool InService = false;
  std::vector<DomainId> Domains;
  /// The newest proof by the store and, for a version that is not in force
  /// here yet, the one that waits for it.
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
