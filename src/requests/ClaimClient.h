/// \file
/// Defines ClaimClient, an entry daemon's side of claims: it asks the home,
/// asks elsewhere if the home is silent, and reports outcomes until they are
/// acknowledged.
#ifndef BANYANWORKS_REQUESTS_CLAIMCLIENT_H
#define BANYANWORKS_REQUESTS_CLAIMCLIENT_H

#include "requests/ClaimLog.h"
#include "requests/PeerDirectory.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace banyanworks {

/// A request whose claim was decided.
struct DecidedClaim {
  RequestId Request;
  ClaimDecision Decision;
};

/// Claims of the requests that arrived at this daemon.
class ClaimClient {
public:
  ClaimClient(const RouterSettings &Settings, const PeerDirectory &Peers,
              ClaimLog &Log);

  /// Asks for a claim under a new identity, which is returned.
  ClaimIdentity requestClaim(TimePoint Now, RequestId Request, Claim Candidate);
  /// The request no longer waits. The claim is released in case it is, or
  /// will be, recorded.
  void abandon(TimePoint Now, const ClaimIdentity &Identity);
  /// A granted claim's request ended.
  void reportOutcome(TimePoint Now, const Claim &Granted, ClaimState State,
                     int Status);

  /// Takes an answer of a home; duplicates and late ones are dropped.
  std::optional<DecidedClaim> onDecision(TimePoint Now,
                                         const ClaimDecision &Decision);
  void onAcknowledged(const ClaimIdentity &Identity);

  /// Repeats asks and reports that are due; returns the requests that waited
  /// too long, whose claims are given up.
  std::vector<RequestId> poll(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;
  std::vector<RequestAction> takeActions() { return std::move(Actions); }

  /// True if outcomes wait for their acknowledgement.
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
  /// Claims that were given up, so that a late grant is released again.
  std::map<ClaimIdentity, std::pair<TimePoint, Claim>> AbandonedClaims;
  TimePoint NextPurge;
  std::vector<RequestAction> Actions;
};

} // namespace banyanworks

#endif
