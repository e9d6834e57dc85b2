/// \file
/// Implements RequestWorld, the simulation of the request plane.
#include "support/RequestWorld.h"

#include <algorithm>
#include <cmath>

namespace banyanworks {

namespace {

constexpr Duration NearDelay = std::chrono::microseconds(250);
constexpr Duration FarDelay = std::chrono::microseconds(500);
constexpr Duration StoreDelay = std::chrono::milliseconds(2);
/// A lost store call or answer times out after this time.
constexpr Duration CallTimeout = std::chrono::milliseconds(300);
constexpr Duration LateAnswerDelay = std::chrono::milliseconds(700);
constexpr Duration RestartDelay = std::chrono::seconds(1);
/// The simulation continues for this long after the last arrival.
constexpr Duration SettleTime = std::chrono::seconds(20);

const ServiceId TheService("catalogue");
const WorkspaceId TheWorkspace("retail");
const MethodId Price("price");
const MethodId Order("order");

std::shared_ptr<Configuration> configure(const RequestWorldOptions &Options) {
  auto Config = std::make_shared<Configuration>();
  Config->Workspaces[TheWorkspace] = {TheWorkspace, {}, 1.0, {}};
  Service &Declared = Config->Services[TheService];
  Declared.Id = TheService;
  Declared.Workspace = TheWorkspace;
  Declared.Methods[Price] = {Price, true};
  Declared.Methods[Order] = {Order, !Options.Protections.Claims};
  for (std::uint32_t Index = 0; Index < Options.Endpoints; ++Index) {
    Endpoint Value;
    Value.Id = EndpointId("e" + std::to_string(Index));
    Value.Domain = DomainId("d" + std::to_string(Index % Options.Domains));
    Value.Slots = Options.Slots;
    Declared.Endpoints[Value.Id] = Value;
  }
  return Config;
}

} // namespace

Duration RequestWorldReport::latencyQuantile(double Share) const {
  if (Latencies.empty())
    return Duration::zero();
  std::vector<Duration> Sorted = Latencies;
  auto Position = static_cast<std::ptrdiff_t>(
      Share * static_cast<double>(Sorted.size() - 1));
  std::nth_element(Sorted.begin(), Sorted.begin() + Position, Sorted.end());
  return Sorted[Position];
}

RequestWorld::RequestWorld(const RequestWorldOptions &Options)
    : Options(Options), Rng(Options.Seed), Config(configure(Options)) {
  Store.Conditional = Options.Protections.ConditionalWrites;
  std::uint32_t Index = 0;
  for (const auto &[Id, Value] : Config->Services[TheService].Endpoints) {
    FakeEndpoint &Simulated = Endpoints[Id];
    Simulated.Declared = Value;
    Simulated.Failing = Index < Options.FailingEndpoints;
    Simulated.Slowness =
        Index < Options.SlowEndpoints ? Options.SlowFactor : 1.0;
    Simulated.BusySince = Clock.now();
    Simulated.CountingStart = Clock.now() + Options.Warmup;
    ++Index;
  }
  for (std::uint32_t Each = 0; Each < Options.Daemons; ++Each) {
    DomainId Domain("d" + std::to_string(Each % Options.Domains));
    Daemons.push_back({{DaemonId("m" + std::to_string(Each)), Domain}});
  }
}

void RequestWorld::startDaemon(std::size_t Index) {
  Daemon &Value = Daemons[Index];
  RouterSettings Settings;
  Settings.Service = TheService;
  Settings.Self = Value.Info.Daemon;
  Settings.Domain = Value.Info.Domain;
  Settings.SelfIncarnation = Value.CurrentIncarnation =
      Value.CurrentIncarnation.next();
  Settings.Seed = Options.Seed * 1000 + Index;
  Value.Plane = Options.Protections.Router ? makeRouterPlane(Settings)
                                           : makeRoundRobinPlane(Settings);
  Value.TickAt.reset();
  PeersChanged Change;
  for (const Daemon &Other : Daemons)
    if (Other.Info.Daemon != Value.Info.Daemon)
      Change.Peers.push_back(Other.Info);
  deliver(Index, Value.CurrentIncarnation, Change);
  deliver(Index, Value.CurrentIncarnation, ConfigurationChanged{Config});
}

void RequestWorld::deliver(std::size_t Index, Incarnation ExpectedIncarnation,
                           const RequestEvent &Event) {
  Daemon &Value = Daemons[Index];
  if (!Value.Plane || Value.CurrentIncarnation != ExpectedIncarnation)
    return;
  if (Clock.now() < Value.PausedUntil) {
    Clock.scheduleAt(Value.PausedUntil,
                     [=, this] { deliver(Index, ExpectedIncarnation, Event); });
    return;
  }
  for (const RequestAction &Action : Value.Plane->handle(Clock.now(), Event))
    std::visit([&](const auto &Each) { perform(Index, Each); }, Action);
  planTick(Index);
}

void RequestWorld::planTick(std::size_t Index) {
  Daemon &Value = Daemons[Index];
  std::optional<TimePoint> NextDeadline = Value.Plane->nextDeadline();
  if (!NextDeadline)
    return;
  TimePoint TickTime = std::max(*NextDeadline, Clock.now() + Duration(100));
  if (Value.TickAt && *Value.TickAt <= TickTime)
    return;
  Value.TickAt = TickTime;
  Incarnation ExpectedIncarnation = Value.CurrentIncarnation;
  Clock.scheduleAt(TickTime, [=, this] {
    Daemon &Current = Daemons[Index];
    if (Current.CurrentIncarnation != ExpectedIncarnation ||
        Current.TickAt != TickTime)
      return;
    Current.TickAt.reset();
    deliver(Index, ExpectedIncarnation, Tick{});
  });
}

void RequestWorld::planArrival() {
  double Gap = -std::log(1.0 - Rng.uniform()) / Options.Rate;
  Clock.scheduleAfter(scaled(std::chrono::seconds(1), Gap), [this] {
    if (!ArrivalsEnabled)
      return;
    Caller Next;
    Next.Key = IdempotencyKey("k" + std::to_string(Callers.size()));
    Next.Order = Rng.withProbability(Options.Orders);
    Next.Daemon = Options.SingleEntryDaemon ? 0 : Rng.below(Daemons.size());
    Callers.push_back(Next);
    ++Report.Arrived;
    Report.Orders += Next.Order;
    submit(Callers.size() - 1);
    planArrival();
  });
}

void RequestWorld::submit(std::uint64_t CallerIndex) {
  Caller &Requester = Callers[CallerIndex];
  if (!Daemons[Requester.Daemon].Plane)
    return resubmit(CallerIndex, Duration::zero());
  ++Requester.Submissions;
  Requester.SubmittedAt = Clock.now();
  Requester.Deadline = Clock.now() + Options.Deadline;
  Requester.DaemonIncarnation = Daemons[Requester.Daemon].CurrentIncarnation;
  RequestArrived Event;
  Event.Request = RequestId(++LastRequest);
  Event.Workspace = TheWorkspace;
  Event.Service = TheService;
  Event.Method = Requester.Order ? Order : Price;
  Event.Key = Requester.Key;
  Event.Digest = BodyDigest(CallerIndex);
  Event.Deadline = Requester.Deadline;
  CallersByRequest[Event.Request] = CallerIndex;
  deliver(Requester.Daemon, Requester.DaemonIncarnation, Event);
}

/// Retries the order of a caller through a random daemon.
void RequestWorld::resubmit(std::uint64_t CallerIndex, Duration Delay) {
  Caller &Requester = Callers[CallerIndex];
  if (!Requester.Order || Requester.Submissions > Options.CallerRetries) {
    Requester.Done = true;
    return;
  }
  Requester.Daemon = Rng.below(Daemons.size());
  Clock.scheduleAfter(Delay + std::chrono::milliseconds(1 + Rng.below(200)),
                      [=, this] { submit(CallerIndex); });
}

Duration RequestWorld::networkDelay(std::size_t Daemon,
                                    const DomainId &Domain) {
  Duration Base = Daemons[Daemon].Info.Domain == Domain ? NearDelay : FarDelay;
  return scaled(Base, 0.8 + 0.4 * Rng.uniform());
}

void RequestWorld::perform(std::size_t Index, const SendAttempt &Action) {
  InFlightAttempt Value{Index, Daemons[Index].CurrentIncarnation, Action};
  Report.Attempts += Clock.now() >= StartTime + Options.Warmup;
  AttemptRecords[{Index, Value.DaemonIncarnation, Action.Attempt}] = {
      Action.Request};
  LatestAttempts[Action.Endpoint][{Index, Value.DaemonIncarnation}] =
      Action.Attempt;
  if (Rng.withProbability(Options.Faults.NotSent))
    return endAttempt(Value, AttemptEnd::NotSent, 0);
  if (Rng.withProbability(Options.Faults.RequestLost))
    return endAttempt(Value, AttemptEnd::SentNoAnswer, 0);
  const DomainId &Domain = Endpoints[Action.Endpoint].Declared.Domain;
  Clock.scheduleAfter(networkDelay(Index, Domain),
                      [=, this] { arriveAtEndpoint(Value); });
}

/// Handles the arrival of an attempt at its endpoint.
void RequestWorld::arriveAtEndpoint(const InFlightAttempt &Value) {
  FakeEndpoint &Target = Endpoints[Value.SendAction.Endpoint];
  bool IsDrainingEndpoint = Target.Declared.Id == EndpointId("e0");
  TimePoint DrainTime = StartTime + Options.DrainAt;
  if (IsDrainingEndpoint && Options.DrainAt > Duration::zero() &&
      Clock.now() >= DrainTime) {
    ++Report.RefusedDraining;
    Report.LastWorkAfterDrain = Clock.now() - DrainTime;
    return returnAnswer(Value, AttemptEnd::RefusedDraining, 0);
  }
  if (Target.Failing && Rng.withProbability(0.5))
    return returnAnswer(Value, AttemptEnd::NotSent, 0);
  if (Target.BusySlots >= Options.Slots) {
    ++Report.SlotsExceeded;
    return returnAnswer(Value, AttemptEnd::RefusedBusy, 0);
  }
  Caller &Requester = Callers[CallersByRequest[Value.SendAction.Request]];
  if (Requester.Order)
    ++Report.OrdersRun;
  std::uint32_t Runs = ++Requester.Runs;
  Report.RunTwice += Requester.Order && Runs == 2;
  RanRequests.insert(Value.SendAction.Request);
  Report.FalseNotRun +=
      RequestsReportedNotRun.contains(Value.SendAction.Request);
  Target.change(Clock.now(), 1);
  double Spread = 1.0 + Options.ServiceSpread * (2 * Rng.uniform() - 1);
  Duration Service = scaled(Options.ServiceTime, Spread * Target.Slowness);
  TimePoint End = std::min(Clock.now() + Service, Value.SendAction.Deadline);
  Clock.scheduleAt(End, [=, this] { finishRun(Value); });
}

void RequestWorld::finishRun(const InFlightAttempt &Value) {
  FakeEndpoint &Target = Endpoints[Value.SendAction.Endpoint];
  Target.change(Clock.now(), -1);
  if (Clock.now() >= Value.SendAction.Deadline)
    return returnAnswer(Value, AttemptEnd::SentNoAnswer, 0);
  if (Target.Failing)
    return returnAnswer(Value, AttemptEnd::Answered, 500);
  const RequestFaults &Faults = Options.Faults;
  if (Rng.withProbability(Faults.AnswerLost))
    return returnAnswer(Value, AttemptEnd::SentNoAnswer, 0);
  if (Rng.withProbability(Faults.AnswerTruncated)) {
    AttemptRecords[{Value.Daemon, Value.DaemonIncarnation,
                    Value.SendAction.Attempt}]
        .Truncated = true;
    return returnAnswer(Value,
                        Options.Protections.TruncationDetected
                            ? AttemptEnd::Truncated
                            : AttemptEnd::Answered,
                        200);
  }
  if (Rng.withProbability(Faults.AnswerLate)) {
    // The attempt times out first; the answer arrives later.
    returnAnswer(Value, AttemptEnd::SentNoAnswer, 0);
    Clock.scheduleAfter(LateAnswerDelay, [=, this] {
      returnAnswer(Value, AttemptEnd::Answered, 200);
    });
    return;
  }
  returnAnswer(Value, AttemptEnd::Answered, 200);
  if (Rng.withProbability(Faults.AnswerDuplicated)) {
    Clock.scheduleAfter(LateAnswerDelay, [=, this] {
      returnAnswer(Value, AttemptEnd::Answered, 200);
    });
  }
}

void RequestWorld::returnAnswer(const InFlightAttempt &Value, AttemptEnd End,
                                int Status) {
  const DomainId &Domain = Endpoints[Value.SendAction.Endpoint].Declared.Domain;
  InFlightAttempt Back = Value;
  // A misdirected answer arrives on the connection of another attempt. The
  // attempt identity in the answer reveals this.
  bool Crossed = End == AttemptEnd::Answered &&
                 Rng.withProbability(Options.Faults.AnswerCrossed);
  auto &Latest = LatestAttempts[Value.SendAction.Endpoint]
                               [{Value.Daemon, Value.DaemonIncarnation}];
  if (Crossed && !Options.Protections.AttemptIdentity) {
    AttemptRecords[{Value.Daemon, Value.DaemonIncarnation, Latest}].Request =
        Value.SendAction.Request;
    Back.SendAction.Attempt = Latest;
  }
  if (End == AttemptEnd::SentNoAnswer && !Options.Protections.SendTracked)
    End = AttemptEnd::NotSent;
  Clock.scheduleAfter(networkDelay(Value.Daemon, Domain),
                      [=, this] { endAttempt(Back, End, Status); });
}

void RequestWorld::endAttempt(const InFlightAttempt &Value, AttemptEnd End,
                              int Status) {
  if (!Options.Protections.SendTracked && End == AttemptEnd::SentNoAnswer)
    End = AttemptEnd::NotSent;
  AttemptEnded Event{Value.SendAction.Attempt, End, Status};
  Clock.scheduleAfter(Duration(1), [=, this] {
    deliver(Value.Daemon, Value.DaemonIncarnation, Event);
  });
}

void RequestWorld::perform(std::size_t, const CancelAttempt &) {}
void RequestWorld::perform(std::size_t, const RetryCounted &) {}
void RequestWorld::perform(std::size_t, const Drained &) {}

void RequestWorld::perform(std::size_t Index, const Answer &Action) {
  std::uint64_t CallerIndex = CallersByRequest[Action.Request];
  Caller &Requester = Callers[CallerIndex];
  AnsweredRequests.insert(Action.Request);
  bool AfterWarmup = Requester.SubmittedAt >= StartTime + Options.Warmup;
  if (const auto *Complete = std::get_if<CompleteAnswer>(&Action.Result)) {
    const AttemptRecord &Record = AttemptRecords[{
        Index, Daemons[Index].CurrentIncarnation, Complete->Attempt}];
    Report.WrongCaller += Record.Request != Action.Request;
    Report.TruncatedAsComplete += Record.Truncated;
    Requester.Done = true;
    Report.Answered += AfterWarmup;
    bool SucceededInTime =
        Complete->Status < 500 && Clock.now() <= Requester.Deadline;
    Report.AnsweredInTime += AfterWarmup && SucceededInTime;
    if (AfterWarmup && SucceededInTime)
      Report.Latencies.push_back(Clock.now() - Requester.SubmittedAt);
    return;
  }
  const auto *Refused = std::get_if<Refusal>(&Action.Result);
  if (!Refused) {
    Requester.Done = true;
    ++Report.Retained;
    return;
  }
  Report.Refused += AfterWarmup;
  ++Report.Refusals[Refused->Cause];
  bool NotRun = reasonInfo(Refused->Cause).Certainty == RunCertainty::NotRun;
  if (NotRun) {
    Report.FalseNotRun += RanRequests.contains(Action.Request);
    RequestsReportedNotRun.insert(Action.Request);
  }
  resubmit(CallerIndex, Refused->RetryAfter);
}

void RequestWorld::storeCall(std::size_t Index,
                             const std::function<RequestEvent()> &Call,
                             const RequestEvent &FailureEvent) {
  Incarnation CallerIncarnation = Daemons[Index].CurrentIncarnation;
  const StoreFaults &Faults = Options.Faults.Store;
  bool Outage = Clock.now() < OutageUntil;
  if (Outage || Rng.withProbability(Faults.CallLost)) {
    Clock.scheduleAfter(CallTimeout, [=, this] {
      deliver(Index, CallerIncarnation, FailureEvent);
    });
    return;
  }
  bool LosesAnswer = Rng.withProbability(Faults.AnswerLost);
  bool EffectIsLate = Rng.withProbability(Faults.EffectLate);
  if (EffectIsLate || LosesAnswer) {
    Clock.scheduleAfter(CallTimeout, [=, this] {
      deliver(Index, CallerIncarnation, FailureEvent);
    });
  }
  Duration Delay = EffectIsLate ? CallTimeout + StoreDelay * 20 : StoreDelay;
  Clock.scheduleAfter(Delay, [=, this] {
    RequestEvent Event = Call();
    if (EffectIsLate || LosesAnswer)
      return;
    Clock.scheduleAfter(
        StoreDelay, [=, this] { deliver(Index, CallerIncarnation, Event); });
  });
}

void RequestWorld::perform(std::size_t Index, const RecordClaims &Action) {
  storeCall(
      Index, [=, this] { return Store.record(Action); },
      ClaimAnswered{Action.Batch.Number, Action.Batch.Writer,
                    ClaimWrite::Unknown});
}

void RequestWorld::perform(std::size_t Index, const OpenClaimLog &Action) {
  storeCall(
      Index, [=, this] { return Store.open(Action); },
      ClaimLogOpened{Action.Writer, ClaimWrite::Unknown});
}

void RequestWorld::perform(std::size_t Index, const LoadClaims &Action) {
  ClaimsLoaded FailureEvent;
  FailureEvent.FirstNumber = Action.FirstNumber;
  storeCall(
      Index, [=, this] { return Store.load(Action); }, FailureEvent);
}

void RequestWorld::perform(std::size_t Index, const SendPeerMessage &Action) {
  ++Report.PeerMessages;
  if (const auto *SentReport = std::get_if<PeerReport>(&Action.Message)) {
    Report.PeerEntries +=
        SentReport->Demands.size() + SentReport->Grants.size() +
        SentReport->Endpoints.size() + SentReport->Limits.size();
  }
  if (Rng.withProbability(Options.Faults.PeerMessageLost))
    return;
  for (std::size_t RecipientIndex = 0; RecipientIndex < Daemons.size();
       ++RecipientIndex) {
    if (Daemons[RecipientIndex].Info.Daemon != Action.Recipient)
      continue;
    Clock.scheduleAfter(
        networkDelay(Index, Daemons[RecipientIndex].Info.Domain), [=, this] {
          deliver(RecipientIndex, Daemons[RecipientIndex].CurrentIncarnation,
                  PeerMessageReceived{Action.Message});
        });
  }
}

void RequestWorld::crashDaemon(std::size_t Index) {
  if (!Daemons[Index].Plane)
    return;
  Daemons[Index].Plane.reset();
  Clock.scheduleAfter(RestartDelay, [=, this] { startDaemon(Index); });
  for (std::uint64_t Each = 0; Each < Callers.size(); ++Each) {
    Caller &Requester = Callers[Each];
    if (Requester.Done || Requester.Daemon != Index ||
        Requester.DaemonIncarnation != Daemons[Index].CurrentIncarnation)
      continue;
    // The connection breaks, and the caller retries an order at another daemon.
    Requester.DaemonIncarnation = Incarnation();
    resubmit(Each, Duration::zero());
  }
}

void RequestWorld::planFaults() {
  constexpr Duration Step = std::chrono::milliseconds(100);
  const RequestFaults &Faults = Options.Faults;
  double StepSeconds = toSeconds(Step);
  if (Rng.withProbability(Faults.CrashesPerSecond * StepSeconds))
    crashDaemon(Rng.below(Daemons.size()));
  if (Rng.withProbability(Faults.PausesPerSecond * StepSeconds)) {
    // A new pause never shortens the current one, so that events stay in order.
    TimePoint &PausedUntil = Daemons[Rng.below(Daemons.size())].PausedUntil;
    PausedUntil = std::max(
        PausedUntil, Clock.now() + scaled(Faults.MaxPause, Rng.uniform()));
  }
  if (Rng.withProbability(Faults.OutagesPerSecond * StepSeconds))
    OutageUntil = Clock.now() + scaled(Faults.MaxOutage, Rng.uniform());
  Clock.scheduleAfter(Step, [this] { planFaults(); });
}

RequestWorldReport RequestWorld::run() {
  TimePoint Start = Clock.now();
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    startDaemon(Index);
  // Let peers exchange reports before the first request arrives.
  Clock.runUntil(Start + std::chrono::milliseconds(5));
  planArrival();
  planFaults();
  Clock.runUntil(Start + Options.Length);
  return finish();
}

RequestWorldReport RequestWorld::finish() {
  Duration UsedTime{};
  for (auto &[Id, Value] : Endpoints) {
    Value.change(Clock.now(), 0);
    UsedTime += Value.BusyTime;
  }
  Duration Available = (Options.Length - Options.Warmup) *
                       static_cast<Duration::rep>(Options.Endpoints) *
                       static_cast<Duration::rep>(Options.Slots);
  Report.SlotUtilization = toSeconds(UsedTime) / toSeconds(Available);
  Options.Faults = RequestFaults();
  ArrivalsEnabled = false;
  Clock.runUntil(Clock.now() + SettleTime);
  for (const auto &[Request, Index] : CallersByRequest)
    Report.NeverAnswered +=
        !Callers[Index].Done && !AnsweredRequests.contains(Request);
  Report.StoreWrites = Store.Writes;
  return Report;
}

} // namespace banyanworks
