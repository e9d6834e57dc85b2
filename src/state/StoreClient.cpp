/// \file
/// Implements retries, the resolution of lost answers and the rejection of
/// stale reads.
#include "state/StoreClient.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

/// The condition and identity of a write, for the read-back.
struct WriteTarget {
  std::string Key;
  std::optional<StoreRevision> Expected;
  std::optional<WriteIdentity> Identity;
  bool IsDelete = false;
};

/// The target of a conditional write; nothing for any other request, which can
/// be sent again without a read-back.
std::optional<WriteTarget> conditionalWrite(const StoreRequest &Request) {
  if (const auto *Put = std::get_if<PutRequest>(&Request)) {
    if (!Put->ExpectedVersion)
      return std::nullopt;
    auto Stamped = parseStampedValue(Put->Value);
    return WriteTarget{Put->Key, Put->ExpectedVersion,
                       Stamped ? std::optional(Stamped->Identity)
                               : std::nullopt};
  }
  const auto *Delete = std::get_if<DeleteRequest>(&Request);
  if (!Delete || !Delete->ExpectedVersion)
    return std::nullopt;
  return WriteTarget{Delete->Key, Delete->ExpectedVersion, std::nullopt, true};
}

bool isLease(const StoreRequest &Request) {
  return std::holds_alternative<LeaseGrantRequest>(Request) ||
         std::holds_alternative<LeaseRenewRequest>(Request) ||
         std::holds_alternative<LeaseRevokeRequest>(Request);
}

bool isRead(const StoreRequest &Request) {
  return std::holds_alternative<GetRequest>(Request) ||
         std::holds_alternative<ListRequest>(Request);
}

/// True if the current entry is the result of the write.
bool isOwnWrite(const WriteTarget &Target,
                const std::optional<StoreEntry> &Current) {
  if (Target.IsDelete)
    return !Current;
  if (!Current || !Target.Identity)
    return false;
  auto Stamped = parseStampedValue(Current->Value);
  return Stamped && Stamped->Identity == *Target.Identity;
}

/// True if the key still has the version that the write expects.
bool isUnchanged(const WriteTarget &Target,
                 const std::optional<StoreEntry> &Current) {
  StoreRevision Version = Current ? Current->Version : StoreRevision();
  return Target.Expected && Version == *Target.Expected;
}

} // namespace

StoreClient::StoreClient(const StoreClientOptions &Options, std::uint64_t Seed)
    : Options(Options), Generator(Seed), Breaker(Options.Breaker),
      Budget(Options.CallsPerSecond, Options.Burst) {}

StoreOperationId StoreClient::submit(StoreRequest Request, TimePoint Now,
                                     TimePoint Deadline) {
  StoreOperationId Id(++LastOperation);
  Operation Op;
  Op.Request = std::move(Request);
  Op.Deadline = Deadline;
  Op.NextAttempt = Now;
  if (!Breaker.allowsCall(Now)) {
    ++Counters.BreakerRejections;
    finishWithoutAnswer(Id, Op);
    Actions.Outcomes.back().RetryAfter = Breaker.nextProbe() - Now;
    return Id;
  }
  auto Added = Pending.emplace(Id, std::move(Op)).first;
  trySend(Id, Added->second, Now);
  return Id;
}

void StoreClient::trySend(StoreOperationId Id, Operation &Op, TimePoint Now) {
  if (!Breaker.allowsCall(Now)) {
    Op.NextAttempt = Breaker.nextProbe();
    return;
  }
  if (isLease(Op.Request)) {
    Budget.forceAcquire(Now);
  } else if (!Budget.tryAcquire(Now)) {
    ++Counters.BudgetDelays;
    Op.LastReason = Reason::StoreBudgetSpent;
    Op.NextAttempt = Budget.nextTokenTime(Now);
    return;
  }
  StoreRequest Request = Op.Request;
  auto Target = conditionalWrite(Op.Request);
  Op.ReadingBack = Op.MayHaveApplied && Target && Options.ResolveByIdentity;
  if (Op.ReadingBack)
    Request = GetRequest{Target->Key};
  Duration Timeout = Options.CallTimeout;
  if (const auto *Watch = std::get_if<WatchRequest>(&Request))
    Timeout += Watch->MaxWait;
  if (Op.Attempts++ > 0)
    ++Counters.Retries;
  Op.Call = StoreCallId(++LastCall);
  Op.SentAt = Now;
  Op.CallDeadline = Now + Timeout;
  Op.HighestWhenSent = HighestRevision;
  Op.FreshWhenSent = FreshSince;
  InFlight[Op.Call] = Id;
  Breaker.recordSend(Now);
  count(Request);
  Actions.Calls.push_back({Op.Call, std::move(Request), Timeout});
}

void StoreClient::count(const StoreRequest &Request) {
  if (std::holds_alternative<WatchRequest>(Request))
    ++Counters.Watches;
  else if (isLease(Request))
    ++Counters.Leases;
  else if (isRead(Request))
    ++Counters.Reads;
  else
    ++Counters.Writes;
}

void StoreClient::handleAnswer(StoreCallId Call, const StoreAnswer &Answer,
                               TimePoint Now) {
  auto Found = InFlight.find(Call);
  if (Found == InFlight.end())
    return;
  StoreOperationId Id = Found->second;
  InFlight.erase(Found);
  auto Op = Pending.find(Id);
  if (Op == Pending.end())
    return;
  Op->second.Call = StoreCallId();
  processAnswer(Id, Op->second, Answer, Now);
}

void StoreClient::processAnswer(StoreOperationId Id, Operation &Op,
                                const StoreAnswer &Answer, TimePoint Now) {
  if (std::holds_alternative<UnavailableAnswer>(Answer.Result)) {
    ++Counters.Unavailable;
    handleLostAnswer(Op, Now);
    return;
  }
  if (const auto *Refused = std::get_if<RefusedAnswer>(&Answer.Result)) {
    ++Counters.Refused;
    Op.LastReason = Reason::StoreBudgetSpent;
    scheduleRetry(Op, Now, Refused->RetryAfter);
    return;
  }
  Breaker.recordSuccess();
  bool Read = isRead(Op.Request) || Op.ReadingBack;
  if (Read && Answer.Revision < Op.HighestWhenSent) {
    ++Counters.StaleAnswers;
    scheduleRetry(Op, Now, Duration::zero());
    return;
  }
  HighestRevision = std::max(HighestRevision, Answer.Revision);
  if (!Read && !std::holds_alternative<WatchRequest>(Op.Request))
    FreshSince = std::max(FreshSince, Op.SentAt);
  if (Op.ReadingBack) {
    const auto *Entry = std::get_if<EntryAnswer>(&Answer.Result);
    resolve(Id, Op, Answer, Entry ? Entry->Entry : std::nullopt, Now);
    return;
  }
  if (const auto *Conflict = std::get_if<ConflictAnswer>(&Answer.Result)) {
    if (Op.MayHaveApplied && Options.ResolveByIdentity)
      resolve(Id, Op, Answer, Conflict->Current, Now);
    else
      finish(Id, Op, StoreStatus::Conflict, Reason::VersionConflict, Answer);
    return;
  }
  if (std::holds_alternative<LeaseGoneAnswer>(Answer.Result)) {
    bool Certain = !Op.MayHaveApplied || isLease(Op.Request);
    finish(Id, Op, Certain ? StoreStatus::Conflict : StoreStatus::Overwritten,
           Reason::VersionConflict, Answer);
    return;
  }
  finish(Id, Op, StoreStatus::Done, Reason::None, Answer);
}

void StoreClient::resolve(StoreOperationId Id, Operation &Op,
                          const StoreAnswer &Answer,
                          const std::optional<StoreEntry> &Current,
                          TimePoint Now) {
  auto Target = conditionalWrite(Op.Request);
  if (!Target)
    return;
  if (isOwnWrite(*Target, Current)) {
    ++Counters.ResolvedOwn;
    StoreRevision Version = Current ? Current->Version : Answer.Revision;
    finish(Id, Op, StoreStatus::Done, Reason::None,
           {Answer.Revision, WrittenAnswer{Version}});
    return;
  }
  if (isUnchanged(*Target, Current)) {
    // The earlier call may still be in flight. Sending the same write again is
    // safe: both have the same condition, so at most one takes effect.
    ++Counters.ResolvedUnchanged;
    Op.MayHaveApplied = false;
    trySend(Id, Op, Now);
    Op.MayHaveApplied = true;
    return;
  }
  ++Counters.ResolvedOther;
  finish(Id, Op, StoreStatus::Overwritten, Reason::VersionConflict,
         {Answer.Revision, ConflictAnswer{Current}});
}

void StoreClient::handleLostAnswer(Operation &Op, TimePoint Now) {
  Breaker.recordFailure(Now);
  Op.LastReason = Reason::StoreUnavailable;
  if (!Op.ReadingBack)
    Op.MayHaveApplied = true;
  scheduleRetry(Op, Now, Duration::zero());
}

void StoreClient::scheduleRetry(Operation &Op, TimePoint Now,
                                Duration MinDelay) {
  std::uint32_t Doublings =
      std::min(Op.Attempts, 10U) - std::min(Op.Attempts, 1U);
  Duration MaxDelay =
      std::min(Options.InitialBackoff * (1U << Doublings), Options.MaxBackoff);
  auto Jittered = std::chrono::duration_cast<Duration>(
      MaxDelay * (0.5 + 0.5 * Generator.uniform()));
  Op.NextAttempt = Now + std::max(MinDelay, Jittered);
}

StoreClientActions StoreClient::poll(TimePoint Now) {
  std::vector<StoreOperationId> Expired;
  for (auto &[Id, Op] : Pending) {
    if (Op.Call != StoreCallId() && Now >= Op.CallDeadline) {
      ++Counters.Timeouts;
      InFlight.erase(Op.Call);
      Op.Call = StoreCallId();
      handleLostAnswer(Op, Now);
    }
    if (Op.Call == StoreCallId() && Now >= Op.Deadline)
      Expired.push_back(Id);
    else if (Op.Call == StoreCallId() && Now >= Op.NextAttempt)
      trySend(Id, Op, Now);
  }
  for (StoreOperationId Id : Expired) {
    Operation Op = std::move(Pending.at(Id));
    Pending.erase(Id);
    finishWithoutAnswer(Id, Op);
  }
  return std::exchange(Actions, {});
}

TimePoint StoreClient::nextDue() const {
  TimePoint Next = TimePoint::max();
  if (!Actions.Calls.empty() || !Actions.Outcomes.empty())
    return TimePoint();
  for (const auto &[Id, Op] : Pending) {
    bool Waits = Op.Call != StoreCallId();
    TimePoint WakeTime =
        Waits ? Op.CallDeadline : std::min(Op.NextAttempt, Op.Deadline);
    Next = std::min(Next, WakeTime);
  }
  return Next;
}

void StoreClient::finish(StoreOperationId Id, const Operation &Op,
                         StoreStatus Status, Reason Cause, StoreAnswer Answer) {
  Actions.Outcomes.push_back({Id, Status, Cause, std::move(Answer), Op.SentAt,
                              Op.FreshWhenSent, Duration::zero()});
  Pending.erase(Id);
}

void StoreClient::finishWithoutAnswer(StoreOperationId Id,
                                      const Operation &Op) {
  bool NotApplied = isRead(Op.Request) || !Op.MayHaveApplied;
  Actions.Outcomes.push_back(
      {Id,
       NotApplied ? StoreStatus::NotApplied : StoreStatus::Unknown,
       Op.LastReason,
       {{}, UnavailableAnswer{}},
       Op.SentAt,
       TimePoint::min(),
       Options.MaxBackoff});
}

} // namespace banyanworks
