/// \file
/// Defines ClaimLog, which records claims in the platform's store for all
/// daemons that ask this one. Any daemon may run it at any time: the store's
/// conditional writes alone decide who holds a key.
#ifndef BANYANWORKS_REQUESTS_CLAIMLOG_H
#define BANYANWORKS_REQUESTS_CLAIMLOG_H

#include "requests/ClaimTable.h"
#include "requests/RequestEvents.h"
#include "requests/RouterSettings.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace banyanworks {

/// A verdict or an acknowledgement, and the daemon that waits for it.
struct ClaimResponse {
  DaemonId To;
  std::optional<ClaimDecision> Decision;
  std::optional<ClaimIdentity> Acknowledged;
};

/// Groups claims and outcomes into batches and appends them to the log.
class ClaimLog {
public:
  explicit ClaimLog(const RouterSettings &Settings);

  void requestClaim(TimePoint Now, const DaemonId &From,
                    const Claim &Candidate);
  void reportOutcome(TimePoint Now, const DaemonId &From,
                     const ClaimOutcome &Outcome);

  void onEvent(TimePoint Now, const ClaimAnswered &Event);
  void onEvent(TimePoint Now, const ClaimLogOpened &Event);
  void onEvent(TimePoint Now, const ClaimsLoaded &Event);

  /// Starts the store call that is due, if none is under way.
  void poll(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;

  std::vector<RequestAction> takeActions() { return std::move(Actions); }
  std::vector<ClaimResponse> takeResponses() { return std::move(Responses); }

  /// True if the last store call had no effect.
  bool isStoreDown() const { return StoreUnavailable; }

private:
  enum class Phase : std::uint8_t { Idle, Loading, Opening, Writing };
  struct PendingClaim {
    DaemonId From;
    Claim Candidate;
  };
  struct PendingOutcome {
    DaemonId From;
    ClaimOutcome Outcome;
    TimePoint QueuedAt;
  };
  /// A batch that was sent to the store, with those who wait for it.
  struct PendingBatch {
    ClaimBatch Batch;
    std::vector<PendingClaim> Claims;
    std::vector<PendingOutcome> Outcomes;
  };

  bool isDue(TimePoint Now) const;
  void load(TimePoint Now, std::uint64_t From);
  void open(TimePoint Now, const ClaimsLoaded &Event);
  void write(TimePoint Now);
  void send(TimePoint Now);
  bool fillOutcomes(PendingBatch &Next);
  bool fillClaims(PendingBatch &Next);
  void merge(TimePoint Now, const ClaimsLoaded &Event);
  void completeBatch();
  void requeue();
  void onStoreFailure(TimePoint Now);
  void onStoreAnswer() { StoreUnavailable = false; }
  void refusePending();
  void answer(const PendingClaim &Waiting);
  void acknowledge(const PendingOutcome &Waiting);
  ClaimIdentity nextWriter();

  ClaimOptions Options;
  DaemonId Self;
  Incarnation SelfIncarnation;
  std::uint64_t Serial = 0;
  ClaimTable Table;
  Phase CurrentPhase = Phase::Idle;
  bool IsOpen = false;
  bool StoreUnavailable = false;
  bool ProbeRequested = false;
  std::uint64_t NextNumber = 1;
  ClaimIdentity OpenWriter;
  /// When the log's end was last confirmed, by the time of sending.
  TimePoint EndConfirmedAt;
  TimePoint LastSentAt;
  TimePoint PauseUntil;
  std::optional<PendingBatch> InDoubtBatch;
  std::deque<PendingClaim> PendingClaims;
  std::deque<PendingOutcome> PendingOutcomes;
  std::vector<RequestAction> Actions;
  std::vector<ClaimResponse> Responses;
};

} // namespace banyanworks

#endif
