/// \file
/// Implements the attempts of RequestRouter::Impl: dispatch, results, retries,
/// and the claims that non-repeatable requests need before their attempts.
#include "requests/RouterCore.h"

namespace banyanworks {

namespace {

constexpr int FirstServerError = 500;
constexpr Duration InProgressRetryAfter = std::chrono::milliseconds(500);

bool isProvenNotRun(AttemptEnd End) {
  return End == AttemptEnd::NotSent || End == AttemptEnd::RefusedBusy ||
         End == AttemptEnd::RefusedDraining;
}

Reason reasonOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::NotSent:
    return Reason::EndpointUnreachable;
  case AttemptEnd::RefusedBusy:
    return Reason::QueueFull;
  case AttemptEnd::RefusedDraining:
    return Reason::EndpointDraining;
  case AttemptEnd::Truncated:
    return Reason::AnswerTruncated;
  case AttemptEnd::SentNoAnswer:
  case AttemptEnd::Answered:
    break;
  }
  return Reason::EndpointFailed;
}

HealthSignal healthSignal(const AttemptEnded &Event) {
  switch (Event.Result) {
  case AttemptEnd::RefusedBusy:
    return HealthSignal::Busy;
  case AttemptEnd::RefusedDraining:
    return HealthSignal::Draining;
  case AttemptEnd::Answered:
    return Event.Status < FirstServerError ? HealthSignal::Success
                                           : HealthSignal::Failure;
  case AttemptEnd::NotSent:
  case AttemptEnd::SentNoAnswer:
  case AttemptEnd::Truncated:
    break;
  }
  return HealthSignal::Failure;
}

} // namespace

void RequestRouter::Impl::dispatch(TimePoint Now) {
  while (std::optional<QueuedRequest> Next = Queue.front()) {
    OpenRequest &Open = Requests.at(Next->Request);
    std::optional<EndpointId> Target = Pool.choose(Now, Open.Excluded);
    if (!Target && !Open.Excluded.empty())
      Target = Pool.choose(Now, {});
    if (!Target) {
      if (!StarvingSince)
        StarvingSince = Now;
      return;
    }
    Queue.pop();
    start(Now, Open, *Target);
  }
  StarvingSince.reset();
}

void RequestRouter::Impl::start(TimePoint Now, OpenRequest &Open,
                                const EndpointId &Target) {
  LastAttempt = LastAttempt.next();
  Open.CurrentStage = Stage::Running;
  Open.Attempt = LastAttempt;
  Open.Endpoint = Target;
  Open.SentAt = Now;
  ++Open.Attempts;
  RequestsByAttempt[LastAttempt] = Open.Arrival.Request;
  Pool.onAttemptStarted(Now, Target);
  Actions.push_back(SendAttempt{Open.Arrival.Request, LastAttempt, Target,
                                Pool.declared(Target).Address,
                                Open.Arrival.Deadline});
}

void RequestRouter::Impl::onEvent(TimePoint Now, const AttemptEnded &Event) {
  auto Found = RequestsByAttempt.find(Event.Attempt);
  if (Found == RequestsByAttempt.end())
    return;
  OpenRequest &Open = Requests.at(Found->second);
  RequestsByAttempt.erase(Found);
  recordHealth(Now, Open, Event);
  if (Event.Result == AttemptEnd::Answered)
    return finishAnswered(Now, Open, Event);
  finishUnanswered(Now, Open, Event.Result);
}

void RequestRouter::Impl::recordHealth(TimePoint Now, const OpenRequest &Open,
                                       const AttemptEnded &Event) {
  HealthSignal Signal = healthSignal(Event);
  Duration Latency = Now - Open.SentAt;
  const MethodId &Called = Open.Arrival.Method;
  if (Signal == HealthSignal::Success)
    Latencies.observe(Called, Latency);
  Pool.onAttemptEnded(Now, Open.Endpoint, Signal, Latency,
                      Latencies.meanLatency(Called));
}

void RequestRouter::Impl::finishAnswered(TimePoint Now, OpenRequest &Open,
                                         const AttemptEnded &Event) {
  bool Failed = Event.Status >= FirstServerError;
  if (Failed && Open.Repeatable && !Open.Abandoned) {
    Open.MayHaveRun = true;
    if (retry(Now, Open, Reason::EndpointFailed))
      return;
  }
  if (Open.GrantedClaim)
    Claims.reportOutcome(Now, *Open.GrantedClaim, ClaimState::Answered,
                         Event.Status);
  if (!Open.Abandoned)
    Actions.push_back(Answer{Open.Arrival.Request,
                             CompleteAnswer{Event.Attempt, Event.Status}});
  close(Now, Open);
}

void RequestRouter::Impl::finishUnanswered(TimePoint Now, OpenRequest &Open,
                                           AttemptEnd End) {
  bool NotRun = isProvenNotRun(End);
  Open.MayHaveRun = Open.MayHaveRun || !NotRun;
  Reason Cause = reasonOf(End);
  bool MayRepeat = NotRun || Open.Repeatable;
  if (!MayRepeat)
    return closeRefused(Now, Open, Reason::OutcomeUnknown);
  if (Open.Abandoned || !retry(Now, Open, Cause))
    finishFailed(Now, Open, Cause);
}

/// Refuses a request after its last attempt.
void RequestRouter::Impl::finishFailed(TimePoint Now, OpenRequest &Open,
                                       Reason Cause) {
  bool AttemptsLeft = Open.Attempts < Settings.Retries.MaxAttempts;
  bool BudgetSpent = AttemptsLeft && !Open.MayHaveRun && !Open.Abandoned;
  closeRefused(Now, Open, BudgetSpent ? Reason::RetryBudgetSpent : Cause);
}

/// Schedules another attempt if attempt limit, deadline and retry budget allow
/// it. Returns false otherwise.
bool RequestRouter::Impl::retry(TimePoint Now, OpenRequest &Open,
                                Reason Cause) {
  if (Open.Attempts >= Settings.Retries.MaxAttempts)
    return false;
  Duration Pause = Budget.backoff(Open.Attempts, Rng);
  TimePoint RetryAt = Now + Pause;
  if (RetryAt + Latencies.meanLatency(Open.Arrival.Method) >=
      Open.Arrival.Deadline)
    return false;
  if (!Budget.trySpend())
    return false;
  Actions.push_back(RetryCounted{Cause});
  Open.Excluded.insert(Open.Endpoint);
  if (Pause == Duration::zero()) {
    enqueue(Now, Open);
    return true;
  }
  Open.CurrentStage = Stage::BackingOff;
  Timers.emplace(RetryAt, Open.Arrival.Request);
  return true;
}

void RequestRouter::Impl::onEvent(TimePoint Now, const ClaimAnswered &Event) {
  Log.onEvent(Now, Event);
}

void RequestRouter::Impl::onEvent(TimePoint Now, const ClaimLogOpened &Event) {
  Log.onEvent(Now, Event);
}

void RequestRouter::Impl::onEvent(TimePoint Now, const ClaimsLoaded &Event) {
  Log.onEvent(Now, Event);
}

void RequestRouter::Impl::onClaimDecision(TimePoint Now,
                                          const ClaimDecision &Decision) {
  std::optional<DecidedClaim> Decided = Claims.onDecision(Now, Decision);
  if (!Decided)
    return;
  auto Found = Requests.find(Decided->Request);
  if (Found == Requests.end())
    return;
  OpenRequest &Open = Found->second;
  const RequestArrived &Arrival = Open.Arrival;
  switch (Decision.Result) {
  case ClaimResult::Granted:
    Open.GrantedClaim = Claim{Arrival.Workspace, Arrival.Key, Arrival.Digest,
                              Decision.Identity};
    return enqueue(Now, Open);
  case ClaimResult::HeldByEarlierClaim:
    return answerFromHolder(Now, Open, Decision);
  case ClaimResult::KeyReused:
    return closeRefused(Now, Open, Reason::KeyReused);
  case ClaimResult::Unavailable:
    return closeRefused(Now, Open, Reason::StoreUnavailable);
  }
}

/// Answers with the outcome of the earlier request that holds the key.
void RequestRouter::Impl::answerFromHolder(TimePoint Now, OpenRequest &Open,
                                           const ClaimDecision &Decision) {
  const RequestArrived &Arrival = Open.Arrival;
  if (Decision.HolderState == ClaimState::Answered) {
    RetainedAnswer Retained{Arrival.Workspace, Arrival.Key, Decision.Holder,
                            Decision.Status};
    if (!Open.Abandoned)
      Actions.push_back(Answer{Arrival.Request, Retained});
    return close(Now, Open);
  }
  // A live holder will report an outcome; that of a dead one stays unknown.
  bool Alive = Peers.isAlive(Now, Decision.Holder.Daemon);
  if (Decision.Holder.Daemon == Settings.Self)
    Alive = Decision.Holder.DaemonIncarnation == Settings.SelfIncarnation;
  bool InProgress = Decision.HolderState == ClaimState::Open && Alive;
  closeRefused(Now, Open,
               InProgress ? Reason::ClaimedElsewhere : Reason::OutcomeUnknown,
               InProgress ? InProgressRetryAfter : Duration::zero());
}

void RequestRouter::Impl::driveClaims(TimePoint Now) {
  for (RequestId Id : Claims.poll(Now)) {
    auto Found = Requests.find(Id);
    if (Found != Requests.end())
      closeRefused(Now, Found->second, Reason::StoreUnavailable);
  }
  Log.poll(Now);
  deliverClaimResponses(Now);
  for (RequestAction &Action : Claims.takeActions())
    Actions.push_back(std::move(Action));
  Log.poll(Now);
  for (RequestAction &Action : Log.takeActions())
    Actions.push_back(std::move(Action));
}

/// Handles responses to local claims and sends the others to the daemons that
/// requested them.
void RequestRouter::Impl::deliverClaimResponses(TimePoint Now) {
  std::map<DaemonId, ClaimReply> Replies;
  for (const ClaimResponse &Response : Log.takeResponses()) {
    if (Response.Recipient == Settings.Self) {
      if (Response.Decision)
        onClaimDecision(Now, *Response.Decision);
      if (Response.Acknowledged)
        Claims.onAcknowledged(*Response.Acknowledged);
      continue;
    }
    ClaimReply &Reply = Replies[Response.Recipient];
    if (Response.Decision)
      Reply.Decisions.push_back(*Response.Decision);
    if (Response.Acknowledged)
      Reply.Acknowledged.push_back(*Response.Acknowledged);
  }
  for (auto &[Recipient, Reply] : Replies) {
    Reply.Service = Settings.Service;
    Reply.Sender = Settings.Self;
    Actions.push_back(SendPeerMessage{Recipient, std::move(Reply)});
  }
}

} // namespace banyanworks
