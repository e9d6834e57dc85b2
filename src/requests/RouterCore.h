/// \file
/// Defines RequestRouter::Impl, which connects the parts of the request plane:
/// admission, queue, claims, attempts and the exchange with peers.
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
    /// The caller has gone; a running attempt is finished for its outcome.
    bool Abandoned = false;
    /// Some attempt may have run, so no refusal may say 'not run'.
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
  void finishFailed(TimePoint Now, OpenRequest &Open, Reason Why);
  void finishAnswered(TimePoint Now, OpenRequest &Open,
                      const AttemptEnded &Event);
  bool retry(TimePoint Now, OpenRequest &Open, Reason Why);
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
  void onMessage(TimePoint Now, const ClaimRequest &Ask);
  void onMessage(TimePoint Now, const ClaimReport &Report);
  void onMessage(TimePoint Now, const ClaimReply &Reply);
  void demandSlots(TimePoint Now);
  void sendReports(TimePoint Now);
  void sendReport(TimePoint Now, const DaemonId &To);
  void shareLimits(TimePoint Now);
  bool isDrained(TimePoint Now) const;

  // Ends.
  void refuse(TimePoint Now, RequestId Request, Reason Why,
              Duration After = Duration::zero());
  void close(TimePoint Now, OpenRequest &Open);
  void closeRefused(TimePoint Now, OpenRequest &Open, Reason Why,
                    Duration After = Duration::zero());
  Duration retryAfter(TimePoint Now, Reason Why);
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
  std::map<AttemptId, RequestId> ByAttempt;
  /// Deadlines of all open requests and ends of back-offs.
  std::set<std::pair<TimePoint, RequestId>> Timers;
  /// Requests open for each method with a limit of concurrency.
  std::map<MethodId, std::uint32_t> OpenByMethod;
  AttemptId LastAttempt;

  struct Channel {
    std::uint64_t Sequence = 0;
    TimePoint LastSent;
    bool EverSent = false;
  };
  std::map<DaemonId, Channel> Channels;
  /// Since when requests wait for want of a slot.
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
