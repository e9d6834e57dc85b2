/// \file
/// Defines RequestRouter::Impl, which connects the parts of the request plane:
/// admission, queue, claims, attempts and messages between peers.
#ifndef BANYANWORKS_REQUESTS_ROUTERCORE_H
#define BANYANWORKS_REQUESTS_ROUTERCORE_H

#include "requests/ClaimClient.h"
#include "requests/ClaimLog.h"
#include "requests/EndpointPool.h"
#include "requests/LatencyEstimator.h"
#include "requests/PeerDirectory.h"
#include "requests/RateShares.h"
#include "requests/RequestQueue.h"
#include "requests/RequestRouter.h"
#include "requests/RetryBudget.h"
#include "requests/SlotShares.h"

#include <map>
#include <optional>
#include <set>

namespace banyanworks {

/// The state machine behind RequestRouter.
class RequestRouter::Impl {
public:
  explicit Impl(RouterSettings Settings);

  std::vector<RequestAction> handle(TimePoint Now, const RequestEvent &Event);
  std::optional<TimePoint> nextDeadline() const;
  std::vector<EndpointView> endpoints() const;
  RouterView view() const;

private:
  enum class Stage : std::uint8_t { Claiming, Queued, BackingOff, Running };

  struct OpenRequest {
    RequestArrived Arrival;
    Stage CurrentStage = Stage::Queued;
    bool Repeatable = false;
    /// The caller disconnected; a running attempt continues for its outcome.
    bool Abandoned = false;
    /// An attempt may have run, so no refusal may state that none ran.
    bool MayHaveRun = false;
    ClaimIdentity PendingClaim;
    std::optional<Claim> GrantedClaim;
    std::uint32_t Attempts = 0;
    AttemptId Attempt;
    EndpointId Endpoint;
    TimePoint SentAt;
    std::set<EndpointId> Excluded;
  };

  // Arrival.
  void onEvent(TimePoint Now, const RequestArrived &Event);
  Reason checkArrival(TimePoint Now, const RequestArrived &Event,
                      const Method &Declared);
  Reason checkLoad(TimePoint Now, const RequestArrived &Event);
  std::uint32_t expectedSlots(TimePoint Now) const;
  void admit(TimePoint Now, const RequestArrived &Event,
             const Method &Declared);
  void enqueue(TimePoint Now, OpenRequest &Open);

  // Attempts.
  void dispatch(TimePoint Now);
  void start(TimePoint Now, OpenRequest &Open, const EndpointId &Target);
  void onEvent(TimePoint Now, const AttemptEnded &Event);
  void recordHealth(TimePoint Now, const OpenRequest &Open,
                    const AttemptEnded &Event);
  void finishUnanswered(TimePoint Now, OpenRequest &Open, AttemptEnd End);
  void finishFailed(TimePoint Now, OpenRequest &Open, Reason Cause);
  void finishAnswered(TimePoint Now, OpenRequest &Open,
                      const AttemptEnded &Event);
  bool retry(TimePoint Now, OpenRequest &Open, Reason Cause);
  void onEvent(TimePoint Now, const CallerDisconnected &Event);
  void expire(TimePoint Now, OpenRequest &Open);
  void onTimer(TimePoint Now, OpenRequest &Open);
  void fireTimers(TimePoint Now);
  void refuseUnreachable(TimePoint Now);

  // Claims.
  void onEvent(TimePoint Now, const ClaimAnswered &Event);
  void onEvent(TimePoint Now, const ClaimLogOpened &Event);
  void onEvent(TimePoint Now, const ClaimsLoaded &Event);
  void onClaimDecision(TimePoint Now, const ClaimDecision &Decision);
  void answerFromHolder(TimePoint Now, OpenRequest &Open,
                        const ClaimDecision &Decision);
  void driveClaims(TimePoint Now);
  void deliverClaimResponses(TimePoint Now);

  // Peers and configuration.
  void onEvent(TimePoint Now, const EndpointStatus &Event);
  void onEvent(TimePoint Now, const ConfigurationChanged &Event);
  void onEvent(TimePoint Now, const PeersChanged &Event);
  void onEvent(TimePoint Now, const PeerMessageReceived &Event);
  void onEvent(TimePoint Now, const Shutdown &Event);
  void onEvent(TimePoint Now, const Tick &Event);
  void onMessage(TimePoint Now, const PeerReport &Report);
  void onMessage(TimePoint Now, const ClaimRequest &Request);
  void onMessage(TimePoint Now, const ClaimReport &Report);
  void onMessage(TimePoint Now, const ClaimReply &Reply);
  void demandSlots(TimePoint Now);
  void sendReports(TimePoint Now);
  void sendReport(TimePoint Now, const DaemonId &Recipient);
  void shareLimits(TimePoint Now);
  bool isDrained(TimePoint Now) const;

  // Completion.
  void refuse(TimePoint Now, RequestId Request, Reason Cause,
              Duration MinDelay = Duration::zero());
  void close(TimePoint Now, OpenRequest &Open);
  void closeRefused(TimePoint Now, OpenRequest &Open, Reason Cause,
                    Duration MinDelay = Duration::zero());
  Duration retryAfter(TimePoint Now, Reason Cause);
  QueuedRequest queueEntry(const OpenRequest &Open) const;
  EndpointId limitId(const MethodId &Id) const;

  RouterSettings Settings;
  Service Declared;
  std::set<WorkspaceId> Workspaces;
  PeerDirectory Peers;
  SlotShares Shares;
  EndpointPool Pool;
  RequestQueue Queue;
  RetryBudget Budget;
  RateShares Rates;
  LatencyEstimator Latencies;
  ClaimLog Log;
  ClaimClient Claims;
  Random Rng;

  std::map<RequestId, OpenRequest> Requests;
  std::map<AttemptId, RequestId> RequestsByAttempt;
  /// Deadlines of all open requests, and the times of retries after back-off.
  std::set<std::pair<TimePoint, RequestId>> Timers;
  /// Open requests of each method with a concurrency limit.
  std::map<MethodId, std::uint32_t> OpenByMethod;
  AttemptId LastAttempt;

  struct Channel {
    std::uint64_t Sequence = 0;
    TimePoint LastSentAt;
    bool HasSent = false;
  };
  std::map<DaemonId, Channel> Channels;
  /// Start of the current period in which queued requests wait for a slot.
  std::optional<TimePoint> StarvingSince;
  std::uint32_t DemandedAttempts = 0;
  TimePoint DemandedAt;
  TimePoint LatestTime;
  std::optional<TimePoint> ShutdownAt;
  bool DrainedReported = false;
  std::vector<RequestAction> Actions;
};

} // namespace banyanworks

#endif
