/// \file
/// Defines Ownership, by which the daemons of a failure domain settle which of
/// them schedules it: by a store lease with a growing epoch and, while the
/// store is down, by succession among live members.
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

/// Time passed.
struct OwnershipTick {};
/// An operation that the machine asked for ended.
struct OwnershipStoreAnswered {
  StoreTag Tag;
  StoreOutcome Outcome;
};
/// The live daemons of the domain, this one among them.
struct DomainMembersChanged {
  std::vector<DaemonId> Members;
};
/// A daemon owns the domain, as it said itself or others passed on.
struct ClaimReceived {
  OwnerClaim Claim;
  /// How long ago the owner said so.
  Duration Age{};
};
/// A worker holds to an epoch.
struct WorkerEpochReported {
  Epoch Term;
};
/// The owner asks this daemon to take over.
struct HandOverOfferReceived {
  OwnerClaim From;
};
/// The owner could not read all records of the domain and acts without them.
struct RecordsIncomplete {};
/// This daemon is to stop; it hands over what it owns.
struct OwnershipShutdown {};

using OwnershipEvent =
    std::variant<OwnershipTick, OwnershipStoreAnswered, DomainMembersChanged,
                 ClaimReceived, WorkerEpochReported, HandOverOfferReceived,
                 RecordsIncomplete, OwnershipShutdown>;

/// This daemon owns the domain from now on. It follows without a release when
/// an owner that took the domain in an outage reaches the store again and can
/// read the records that it lacks; the epoch is then a new one.
struct OwnershipTaken {
  Epoch Term;
  /// True if the store answered, so that the job records can be read.
  bool StoreAnswers = false;
};
/// This daemon owns the domain no longer.
struct OwnershipReleased {
  Epoch Term;
};
/// Tell the domain's daemons at once that this one owns it.
struct AnnounceClaim {
  OwnerClaim Claim;
};
/// Ask a daemon to take over.
struct SendHandOverOffer {
  DaemonId Successor;
  OwnerClaim From;
};

using OwnershipAction =
    std::variant<StoreCommand, OwnershipTaken, OwnershipReleased, AnnounceClaim,
                 SendHandOverOffer>;

/// One daemon's part in the ownership of its failure domain.
///
/// Safety does not rest on there being one owner: a worker grants an
/// accelerator once and refuses older epochs. Ownership saves work and fences.
class Ownership {
public:
  struct Options {
    Duration LeaseTime = std::chrono::milliseconds(1500);
    /// An owner that is not heard of for this long is looked up in the store.
    Duration OwnerTimeout = std::chrono::milliseconds(1100);
    /// Each later candidate waits this much longer.
    Duration RankDelay = std::chrono::milliseconds(300);
    /// Silence after which a candidate succeeds without the store.
    Duration OutageTakeoverTimeout = std::chrono::seconds(2);
    /// That silence doubles up to this with each epoch taken in an outage and
    /// lost again, so that an isolated daemon does not contend for long.
    Duration MaxOutageTakeoverTimeout = std::chrono::minutes(2);
    /// An owner not run for this long gives up unless its lease holds.
    Duration MaxPause = std::chrono::milliseconds(700);
    /// False only to show what the holder's own deadline prevents.
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
  /// The newest claim that is known, this daemon's included.
  const std::optional<OwnerClaim> &claim() const { return LatestClaim; }
  /// True if the owner goes on without the store.
  bool runsWithoutStore() const { return Role == OwnerRole::WithoutStore; }
  /// True once a shutdown has nothing more to hand over.
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
  void onClaim(const ClaimReceived &Seen, TimePoint Now, Actions &Out);
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
  /// The claim that a hand-over replaces.
  std::optional<OwnerClaim> ReplacedClaim;
  bool StoreUnavailable = false;
  /// True for an owner that has not read all records from the store.
  bool RecordsMissing = false;
  Duration OutageBackoff{};
  bool Stopping = false;
  std::size_t OffersSent = 0;
  TimePoint NextOffer;
  std::uint64_t Writes = 0;
};

} // namespace banyanworks

#endif
