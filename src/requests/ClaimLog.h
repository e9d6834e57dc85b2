/// \file
/// Defines ClaimLog, which records claims in the platform's store on behalf of
/// all daemons that request them here. Any number of daemons may do so at the
/// same time: only the conditional writes of the store decide which claim holds
/// a key.
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

/// A decision or an acknowledgement, with the daemon to send it to.
struct ClaimResponse {
  DaemonId Recipient;
  std::optional<ClaimDecision> Decision;
  std::optional<ClaimIdentity> Acknowledged;
};

/// Collects claims and outcomes into batches and appends them to the log.
class ClaimLog {
public:
  explicit ClaimLog(const RouterSettings &Settings);

  void requestClaim(TimePoint Now, const DaemonId &Sender,
                    const Claim &Candidate);
  void reportOutcome(TimePoint Now, const DaemonId &Sender,
                     const ClaimOutcome &Outcome);

  void onEvent(TimePoint Now, const ClaimAnswered &Event);
  void onEvent(TimePoint Now, const ClaimLogOpened &Event);
  void onEvent(TimePoint Now, const ClaimsLoaded &Event);

  /// Starts the next store call if it is due and none is in flight.
  void poll(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;

  std::vector<RequestAction> takeActions() { return std::move(Actions); }
  std::vector<ClaimResponse> takeResponses() { return std::move(Responses); }

  /// True if the latest store call failed or timed out.
  bool isStoreDown() const { return StoreUnavailable; }

private:
  enum class Phase : std::uint8_t { Idle, Loading, Opening, Writing };
  struct PendingClaim {
    DaemonId Sender;
    Claim Candidate;
  };
  struct PendingOutcome {
    DaemonId Sender;
    ClaimOutcome Outcome;
    TimePoint QueuedAt;
  };
  /// A batch sent to the store, with the claims and outcomes to answer.
  struct PendingBatch {
    ClaimBatch Batch;
    std::vector<PendingClaim> Claims;
    std::vector<PendingOutcome> Outcomes;
  };

  bool isDue(TimePoint Now) const;
  void load(TimePoint Now, std::uint64_t FirstNumber);
  void open(TimePoint Now, const ClaimsLoaded &Event);
  void write(TimePoint Now);
  void send(TimePoint Now);
  bool fillOutcomes(PendingBatch &NextBatch);
  bool fillClaims(PendingBatch &NextBatch);
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
  /// Send time of the latest store call that confirmed the end of the log.
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
