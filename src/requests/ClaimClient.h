/// \file
/// Defines ClaimClient, which requests claims from the home daemon, falls back
/// to the local claim log if the home does not answer, and reports outcomes
/// until they are acknowledged.
#ifndef BANYANWORKS_REQUESTS_CLAIMCLIENT_H
#define BANYANWORKS_REQUESTS_CLAIMCLIENT_H

#include "requests/ClaimLog.h"
#include "requests/PeerDirectory.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace banyanworks {

/// The decision on the claim of a request.
struct DecidedClaim {
  RequestId Request;
  ClaimDecision Decision;
};

/// Manages the claims of requests that arrived at this daemon.
class ClaimClient {
public:
  ClaimClient(const RouterSettings &Settings, const PeerDirectory &Peers,
              ClaimLog &Log);

  /// Requests a claim under a new identity and returns this identity.
  ClaimIdentity requestClaim(TimePoint Now, RequestId Request, Claim Candidate);
  /// Stops waiting for a decision. The claim is released, as it may be recorded
  /// already or later.
  void abandon(TimePoint Now, const ClaimIdentity &Identity);
  /// Reports the outcome of a request whose claim was granted.
  void reportOutcome(TimePoint Now, const Claim &Granted, ClaimState State,
                     int Status);

  /// Handles the decision of a home. Returns nothing for duplicate and late
  /// decisions.
  std::optional<DecidedClaim> onDecision(TimePoint Now,
                                         const ClaimDecision &Decision);
  void onAcknowledged(const ClaimIdentity &Identity);

  /// Repeats requests and reports that are due. Returns the requests whose
  /// claims were abandoned because no decision came within
  /// ClaimOptions::MaxWait.
  std::vector<RequestId> poll(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;
  std::vector<RequestAction> takeActions() { return std::move(Actions); }

  /// True if any reported outcome is not yet acknowledged.
  bool hasUnacknowledgedOutcomes() const { return !PendingReports.empty(); }

private:
  struct PendingRequest {
    RequestId Request;
    Claim Candidate;
    TimePoint RequestedAt;
    TimePoint NextTry;
  };
  struct PendingReport {
    ClaimOutcome Outcome;
    TimePoint NextTry;
  };

  DaemonId claimHome(TimePoint Now) const;
  void enqueueReport(TimePoint Now, const Claim &EndedClaim, ClaimState State,
                     int Status);
  void sendReport(TimePoint Now, PendingReport &Value);

  ServiceId Service;
  DaemonId Self;
  Incarnation SelfIncarnation;
  ClaimOptions Options;
  const PeerDirectory &Peers;
  ClaimLog &Log;
  std::uint64_t Serial = 0;
  std::map<ClaimIdentity, PendingRequest> PendingRequests;
  std::map<ClaimIdentity, PendingReport> PendingReports;
  /// Abandoned claims with the time of abandoning; a late grant is released.
  std::map<ClaimIdentity, std::pair<TimePoint, Claim>> AbandonedClaims;
  TimePoint NextPurge;
  std::vector<RequestAction> Actions;
};

} // namespace banyanworks

#endif
