/// \file
/// Implements arrival, admission and completion of requests.
#include "requests/RouterCore.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// Once requests wait for slots, admission counts on an equal share of all
/// slots for this long; afterwards only on the slots held.
constexpr Duration BorrowWindow = std::chrono::milliseconds(300);
/// Safety margin on the estimated completion time, as a fraction of it.
constexpr double EstimateMargin = 0.15;
constexpr Duration StoreRetryAfter = std::chrono::seconds(1);
constexpr Duration EndpointRetryAfter = std::chrono::milliseconds(500);
/// A shutdown waits this long for outcomes to be acknowledged.
constexpr Duration OutcomeAckTimeout = std::chrono::seconds(5);

} // namespace

RequestRouter::Impl::Impl(RouterSettings InitialSettings)
    : Settings(std::move(InitialSettings)), Peers(Settings),
      Shares(Settings, Peers), Pool(Settings, Shares),
      Queue(Settings.Admission.MaxQueued), Budget(Settings.Retries),
      Log(Settings), Claims(Settings, Peers, Log), Rng(Settings.Seed) {}

std::vector<RequestAction>
RequestRouter::Impl::handle(TimePoint Now, const RequestEvent &Event) {
  Actions.clear();
  LatestTime = Now;
  std::visit([&](const auto &Value) { onEvent(Now, Value); }, Event);
  fireTimers(Now);
  refuseUnreachable(Now);
  dispatch(Now);
  demandSlots(Now);
  driveClaims(Now);
  dispatch(Now);
  sendReports(Now);
  if (isDrained(Now)) {
    DrainedReported = true;
    Actions.emplace_back(Drained{});
  }
  return std::move(Actions);
}

bool RequestRouter::Impl::isDrained(TimePoint Now) const {
  if (!ShutdownAt || DrainedReported || !Requests.empty())
    return false;
  return !Claims.hasUnacknowledgedOutcomes() ||
         Now >= *ShutdownAt + OutcomeAckTimeout;
}

void RequestRouter::Impl::onEvent(TimePoint Now, const RequestArrived &Event) {
  if (Requests.contains(Event.Request))
    return;
  if (ShutdownAt)
    return refuse(Now, Event.Request, Reason::ShuttingDown);
  auto Found = Declared.Methods.find(Event.Method);
  if (Event.Service != Settings.Service || Declared.Id.empty())
    return refuse(Now, Event.Request, Reason::UnknownService);
  if (Found == Declared.Methods.end())
    return refuse(Now, Event.Request, Reason::UnknownMethod);
  RequestArrived Bounded = Event;
  Bounded.Deadline = std::min(Event.Deadline, Now + Found->second.Deadline);
  Reason Cause = checkArrival(Now, Bounded, Found->second);
  if (Cause == Reason::None)
    Cause = checkLoad(Now, Bounded);
  if (Cause == Reason::RateLimited)
    return refuse(Now, Event.Request, Cause,
                  Rates.timeToNextToken(Event.Method));
  if (Cause != Reason::None)
    return refuse(Now, Event.Request, Cause);
  admit(Now, Bounded, Found->second);
}

Reason RequestRouter::Impl::checkArrival(TimePoint Now,
                                         const RequestArrived &Event,
                                         const Method &Declared) {
  if (!Workspaces.contains(Event.Workspace))
    return Reason::UnknownWorkspace;
  if (Event.BodyBytes > Declared.MaxBody)
    return Reason::PayloadTooLarge;
  if (!Declared.Repeatable && Event.Key.empty())
    return Reason::KeyRequired;
  if (Event.Deadline <= Now)
    return Reason::DeadlineUnreachable;
  if (!Rates.admit(Now, Event.Method))
    return Reason::RateLimited;
  if (Declared.ConcurrencyLimit > 0 &&
      !Shares.canStart(Now, limitId(Event.Method))) {
    ++OpenByMethod[Event.Method]; // Demand includes this request.
    shareLimits(Now);
    --OpenByMethod[Event.Method];
    return Reason::ConcurrencyLimited;
  }
  return Reason::None;
}

std::uint32_t RequestRouter::Impl::expectedSlots(TimePoint Now) const {
  std::uint32_t HeldSlots = Pool.heldSlots(Now);
  bool MayBorrow = !StarvingSince || Now - *StarvingSince < BorrowWindow;
  if (!MayBorrow)
    return HeldSlots;
  std::uint32_t Live = 1;
  for (const auto &[Id, Entry] : Peers.all())
    Live += Peers.isAlive(Now, Id);
  return std::max(HeldSlots, Pool.usableSlots(Now) / Live);
}

/// Refuses requests that cannot be answered by their deadline.
Reason RequestRouter::Impl::checkLoad(TimePoint Now,
                                      const RequestArrived &Event) {
  if (Pool.countUsable(Now) == 0)
    return Reason::NoEndpoint;
  std::size_t Ahead = Queue.countAhead(Event.Workspace, Event.Deadline);
  Duration Wait = Latencies.queueWait(Ahead, expectedSlots(Now));
  Duration Total = Wait + Latencies.latencyBound(Event.Method);
  if (Now + scaled(Total, 1 + EstimateMargin) > Event.Deadline)
    return Reason::DeadlineUnreachable;
  return Reason::None;
}

void RequestRouter::Impl::admit(TimePoint Now, const RequestArrived &Event,
                                const Method &Declared) {
  OpenRequest &Open = Requests[Event.Request];
  Open.Arrival = Event;
  Open.Repeatable = Declared.Repeatable;
  Timers.emplace(Event.Deadline, Event.Request);
  Budget.onAdmitted();
  if (Declared.ConcurrencyLimit > 0) {
    ++OpenByMethod[Event.Method];
    Shares.onAttemptStarted(limitId(Event.Method));
    shareLimits(Now);
  }
  if (Declared.Repeatable)
    return enqueue(Now, Open);
  Open.CurrentStage = Stage::Claiming;
  Claim Candidate{Event.Workspace, Event.Key, Event.Digest, {}};
  Open.PendingClaim = Claims.requestClaim(Now, Event.Request, Candidate);
}

QueuedRequest RequestRouter::Impl::queueEntry(const OpenRequest &Open) const {
  const RequestArrived &Arrival = Open.Arrival;
  return {Arrival.Request, Arrival.Workspace, Arrival.Deadline};
}

void RequestRouter::Impl::enqueue(TimePoint Now, OpenRequest &Open) {
  Open.CurrentStage = Stage::Queued;
  std::optional<RequestId> Dropped = Queue.push(queueEntry(Open));
  if (Dropped)
    closeRefused(Now, Requests.at(*Dropped), Reason::QueueFull);
}

/// Refuses queued requests that can no longer meet their deadline.
void RequestRouter::Impl::refuseUnreachable(TimePoint Now) {
  for (RequestId Id : Queue.removeDueBefore(Now + Latencies.minLatencyBound()))
    closeRefused(Now, Requests.at(Id), Reason::DeadlineUnreachable);
}

void RequestRouter::Impl::onEvent(TimePoint Now,
                                  const CallerDisconnected &Event) {
  auto Found = Requests.find(Event.Request);
  if (Found == Requests.end())
    return;
  OpenRequest &Open = Found->second;
  Open.Abandoned = true;
  // A running attempt continues, so that its outcome is recorded.
  if (Open.CurrentStage != Stage::Running)
    closeRefused(Now, Open, Reason::CallerGone);
}

/// Ends a request whose deadline has passed.
void RequestRouter::Impl::expire(TimePoint Now, OpenRequest &Open) {
  if (Open.CurrentStage != Stage::Running)
    return closeRefused(Now, Open, Reason::DeadlineUnreachable);
  Actions.push_back(CancelAttempt{Open.Attempt});
  RequestsByAttempt.erase(Open.Attempt);
  Duration MeanLatency = Latencies.meanLatency(Open.Arrival.Method);
  Duration Latency = Now - Open.SentAt;
  Pool.onAttemptEnded(Now, Open.Endpoint,
                      MeanLatency == Duration::zero() ? HealthSignal::None
                                                      : HealthSignal::Success,
                      Latency, MeanLatency);
  Open.MayHaveRun = true;
  closeRefused(Now, Open,
               Open.Repeatable ? Reason::DeadlineExceeded
                               : Reason::OutcomeUnknown);
}

void RequestRouter::Impl::onTimer(TimePoint Now, OpenRequest &Open) {
  if (Now >= Open.Arrival.Deadline)
    return expire(Now, Open);
  if (Open.CurrentStage == Stage::BackingOff)
    enqueue(Now, Open);
}

void RequestRouter::Impl::fireTimers(TimePoint Now) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    auto Found = Requests.find(Id);
    if (Found != Requests.end())
      onTimer(Now, Found->second);
  }
}

Duration RequestRouter::Impl::retryAfter(TimePoint Now, Reason Cause) {
  if (!reasonInfo(Cause).Retryable)
    return Duration::zero();
  const AdmissionOptions &Bounds = Settings.Admission;
  Duration Delay = Bounds.MinRetryAfter;
  switch (Cause) {
  case Reason::StoreUnavailable:
    Delay = StoreRetryAfter;
    break;
  case Reason::NoEndpoint:
    Delay = EndpointRetryAfter;
    if (auto Return = Pool.nextEjectionEnd(Now))
      Delay = *Return - Now;
    break;
  case Reason::QueueFull:
  case Reason::DeadlineUnreachable:
  case Reason::RetryBudgetSpent:
    // The time in which the current queue is served.
    Delay = Latencies.queueWait(Queue.size(), expectedSlots(Now));
    break;
  default:
    break;
  }
  // Jitter, so that refused callers do not retry at the same time.
  Delay += scaled(Delay, Rng.uniform());
  return std::clamp(Delay, Bounds.MinRetryAfter, Bounds.MaxRetryAfter);
}

void RequestRouter::Impl::refuse(TimePoint Now, RequestId Request, Reason Cause,
                                 Duration MinDelay) {
  Duration Hint = std::max(MinDelay, retryAfter(Now, Cause));
  Actions.push_back(Answer{Request, Refusal{Cause, Hint}});
}

/// Ends a request without a complete answer.
void RequestRouter::Impl::closeRefused(TimePoint Now, OpenRequest &Open,
                                       Reason Cause, Duration MinDelay) {
  if (Open.CurrentStage == Stage::Claiming)
    Claims.abandon(Now, Open.PendingClaim);
  if (Open.GrantedClaim) {
    Claims.reportOutcome(
        Now, *Open.GrantedClaim,
        Open.MayHaveRun ? ClaimState::Unknown : ClaimState::Released, 0);
  }
  bool SaysNotRun = reasonInfo(Cause).Certainty == RunCertainty::NotRun;
  if (Open.MayHaveRun && SaysNotRun)
    Cause = Open.Repeatable ? Reason::EndpointFailed : Reason::OutcomeUnknown;
  if (!Open.Abandoned)
    refuse(Now, Open.Arrival.Request, Cause, MinDelay);
  close(Now, Open);
}

void RequestRouter::Impl::close(TimePoint Now, OpenRequest &Open) {
  RequestId Id = Open.Arrival.Request;
  const MethodId &Called = Open.Arrival.Method;
  if (Open.CurrentStage == Stage::Queued)
    Queue.remove(queueEntry(Open));
  Timers.erase({Open.Arrival.Deadline, Id});
  auto Limited = OpenByMethod.find(Called);
  if (Limited != OpenByMethod.end() && Limited->second > 0) {
    --Limited->second;
    Shares.onAttemptEnded(Now, limitId(Called));
    shareLimits(Now);
  }
  Requests.erase(Id);
}

std::optional<TimePoint> RequestRouter::Impl::nextDeadline() const {
  std::optional<TimePoint> Next;
  auto IncludeDeadline = [&](std::optional<TimePoint> At) {
    if (At)
      Next = std::min(Next.value_or(*At), *At);
  };
  if (!Timers.empty())
    IncludeDeadline(Timers.begin()->first);
  if (auto Earliest = Queue.earliestDeadline())
    IncludeDeadline(*Earliest - Latencies.minLatencyBound() + Duration(1));
  IncludeDeadline(Log.nextDeadline());
  IncludeDeadline(Claims.nextDeadline());
  const PeerOptions &Options = Settings.Peers;
  if (StarvingSince)
    IncludeDeadline(DemandedAt + Options.UrgentPeriod);
  if (ShutdownAt && !DrainedReported)
    IncludeDeadline(*ShutdownAt + OutcomeAckTimeout);
  for (const auto &[Id, Entry] : Peers.all()) {
    auto Found = Channels.find(Id);
    if (Found == Channels.end())
      continue;
    bool IsUrgent = Shares.urgentPeers().contains(Id);
    IncludeDeadline(Found->second.LastSentAt +
                    (IsUrgent ? Options.UrgentPeriod : Options.ReportPeriod));
  }
  return Next;
}

std::vector<EndpointView> RequestRouter::Impl::endpoints() const {
  std::vector<EndpointView> Result;
  for (const EndpointId &Id : Pool.ids()) {
    const Endpoint &Value = Pool.declared(Id);
    EndpointView View;
    View.Endpoint = Id;
    View.Domain = Value.Domain;
    View.Address = Value.Address;
    View.Slots = Value.Slots;
    View.Leased = Shares.heldSlots(LatestTime, Id);
    View.InFlight = Shares.busySlots(Id);
    View.Draining = Pool.draining(LatestTime, Id);
    View.Ejected = Pool.isEjected(LatestTime, Id);
    Result.push_back(View);
  }
  return Result;
}

RouterView RequestRouter::Impl::view() const {
  return {Queue.size(), Requests.size(), ShutdownAt.has_value()};
}

RequestRouter::RequestRouter(RouterSettings Settings)
    : Implementation(std::make_unique<Impl>(std::move(Settings))) {}
RequestRouter::~RequestRouter() = default;
RequestRouter::RequestRouter(RequestRouter &&) noexcept = default;

std::vector<RequestAction> RequestRouter::handle(TimePoint Now,
                                                 const RequestEvent &Event) {
  return Implementation->handle(Now, Event);
}
std::optional<TimePoint> RequestRouter::nextDeadline() const {
  return Implementation->nextDeadline();
}
std::vector<EndpointView> RequestRouter::endpoints() const {
  return Implementation->endpoints();
}
RouterView RequestRouter::view() const { return Implementation->view(); }

} // namespace banyanworks
