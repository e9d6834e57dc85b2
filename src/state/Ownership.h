/// \file
/// Defines Ownership, by which the daemons of a failure domain elect the owner
/// that schedules it: by a store lease with an increasing epoch and, while the
/// store is unavailable, by succession among the live members.
#ifndef BANYANWORKS_STATE_OWNERSHIP_H
#define BANYANWORKS_STATE_OWNERSHIP_H

#include "base/Reason.h"
#include "state/Lease.h"
#include "state/StoreCommand.h"
#include "state/Succession.h"

#include <optional>
#include <variant>
#include <vector>

namespace banyanworks {

/// A daemon and the epoch under which it owns the domain.
struct OwnerClaim {
  DaemonId Daemon;
  Epoch Term;

  bool operator==(const OwnerClaim &) const = default;
};

/// Periodic tick.
struct OwnershipTick {};
/// A store operation that the state machine requested has completed.
struct OwnershipStoreAnswered {
  StoreTag Tag;
  StoreOutcome Outcome;
};
/// The live daemons of the domain, including this one.
struct DomainMembersChanged {
  std::vector<DaemonId> Members;
};
/// A claim of ownership arrived, from its owner or relayed by another daemon.
struct ClaimReceived {
  OwnerClaim Claim;
  /// Time since the owner stated the claim.
  Duration Age{};
};
/// A worker reported the epoch that it accepts orders from.
struct WorkerEpochReported {
  Epoch Term;
};
/// The owner offers its ownership to this daemon.
struct HandOverOfferReceived {
  OwnerClaim Claim;
};
/// This daemon owns the domain but could not read all of its job records.
struct RecordsIncomplete {};
/// This daemon is shutting down and hands over its ownership.
struct OwnershipShutdown {};

using OwnershipEvent =
    std::variant<OwnershipTick, OwnershipStoreAnswered, DomainMembersChanged,
                 ClaimReceived, WorkerEpochReported, HandOverOfferReceived,
                 RecordsIncomplete, OwnershipShutdown>;

/// This daemon now owns the domain. An owner that took the domain in an outage
/// emits this again, with a new epoch and without OwnershipReleased before it,
/// when it reaches the store and can read the missing records.
struct OwnershipTaken {
  Epoch Term;
  /// True if the store answered, so that the job records can be read.
  bool StoreAnswers = false;
};
/// This daemon no longer owns the domain.
struct OwnershipReleased {
  Epoch Term;
};
/// Announces at once to the domain's daemons that this one is the owner.
struct AnnounceClaim {
  OwnerClaim Claim;
};
/// Offers the ownership to another daemon.
struct SendHandOverOffer {
  DaemonId Successor;
  OwnerClaim Claim;
};

using OwnershipAction =
    std::variant<StoreCommand, OwnershipTaken, OwnershipReleased, AnnounceClaim,
                 SendHandOverOffer>;

/// State machine of one daemon for the ownership of its failure domain.
///
/// Safety does not depend on a single owner: a worker grants an accelerator
/// only once and refuses older epochs. Ownership avoids duplicate work and
/// provides the epochs for fencing.
class Ownership {
public:
  struct Options {
    Duration LeaseTime = std::chrono::milliseconds(1500);
    /// Time without a claim of the owner after which a candidate looks up the
    /// owner in the store.
    Duration OwnerTimeout = std::chrono::milliseconds(1100);
    /// Additional delay per rank in the succession order.
    Duration RankDelay = std::chrono::milliseconds(300);
    /// Time without a claim after which a candidate takes over without the
    /// store.
    Duration OutageTakeoverTimeout = std::chrono::seconds(2);
    /// OutageTakeoverTimeout doubles up to this value each time the daemon
    /// takes over in an outage and loses the domain again, so that an isolated
    /// daemon soon contends only rarely.
    Duration MaxOutageTakeoverTimeout = std::chrono::minutes(2);
    /// An owner that did not run for this long releases the domain unless its
    /// lease is valid.
    Duration MaxPause = std::chrono::milliseconds(700);
    /// False only in experiments that show which failure the holder's own
    /// deadline prevents.
    bool ChecksLeaseDeadline = true;
  };

  Ownership(DomainId Domain, DaemonId Self, std::uint64_t Process);
  Ownership(DomainId Domain, DaemonId Self, std::uint64_t Process,
            const Options &Settings);

  std::vector<OwnershipAction> handle(const OwnershipEvent &Event,
                                      TimePoint Now);

  /// True if this daemon may act as owner now.
  bool owns(TimePoint Now) const;
  /// The epoch under which this daemon owns or last owned the domain.
  Epoch term() const { return OwnTerm; }
  /// The latest known claim, which may be this daemon's own.
  const std::optional<OwnerClaim> &claim() const { return LatestClaim; }
  /// True if this daemon owns the domain without a store lease.
  bool runsWithoutStore() const { return Role == OwnerRole::WithoutStore; }
  /// True once the hand-over of a shutdown is complete.
  bool stopped() const { return Stopping && !isOwner(); }

private:
  enum class OwnerRole : std::uint8_t { Follower, Leased, WithoutStore };
  enum class Step : std::uint8_t {
    None,
    ReadOwner,
    GrantLease,
    ReadEpoch,
    WriteEpoch,
    WriteOwner,
    Renew,
    Revoke,
  };
  struct Visitor;
  using Actions = std::vector<OwnershipAction>;

  bool isOwner() const { return Role != OwnerRole::Follower; }
  std::size_t rank() const { return successionRank(Succession, Self); }
  void tick(TimePoint Now, Actions &Out);
  void tickOwner(TimePoint Now, Actions &Out);
  void tickFollower(TimePoint Now, Actions &Out);
  void onClaim(const ClaimReceived &Event, TimePoint Now, Actions &Out);
  void onStoreOutcome(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void onOwnerRead(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void onLeaseGranted(const StoreOutcome &Outcome, Actions &Out);
  void onEpochRead(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void onOwnerWritten(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void onLeaseRenewed(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void scheduleRetry(TimePoint Now);
  void becomeOwner(OwnerRole NewRole, Epoch Term, TimePoint Now, Actions &Out);
  void release(TimePoint Now, Actions &Out);
  void offerHandOver(TimePoint Now, Actions &Out);
  void send(Step Next, StoreRequest Request, Actions &Out);
  std::string ownerKey() const { return "owner/" + Domain.str(); }
  std::string epochKey() const { return "epoch/" + Domain.str(); }
  WriteIdentity nextIdentity() { return {Incarnation(Process), ++Writes}; }

  DomainId Domain;
  DaemonId Self;
  std::uint64_t Process;
  Options Settings;
  OwnerRole Role = OwnerRole::Follower;
  Epoch OwnTerm;
  std::optional<OwnerClaim> LatestClaim;
  Epoch HighestTerm;
  std::vector<DaemonId> Succession;
  TimePoint OwnerHeardAt;
  bool Started = false;
  TimePoint LastTick;
  Lease HeldLease;
  Lease PendingLease;
  Step CurrentStep = Step::None;
  std::uint64_t StepNumber = 0;
  TimePoint NextStep;
  StoreRevision OwnerVersion;
  Epoch TargetTerm;
  /// The claim that an offered hand-over is to replace.
  std::optional<OwnerClaim> ReplacedClaim;
  bool StoreUnavailable = false;
  /// True while this owner has not read all job records from the store.
  bool RecordsMissing = false;
  Duration OutageBackoff{};
  bool Stopping = false;
  std::size_t OffersSent = 0;
  TimePoint NextOffer;
  std::uint64_t Writes = 0;
};

} // namespace banyanworks

#endif
