/// \file
/// Implements the fake store.
#include "support/FakeStore.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace banyanworks::testing {

namespace {

/// Returns the key or prefix of a request, to which fault rules apply.
struct KeyOf {
  std::string operator()(const WatchRequest &R) const { return R.Prefix; }
  std::string operator()(const ListRequest &R) const { return R.Prefix; }
  std::string operator()(const GetRequest &R) const { return R.Key; }
  std::string operator()(const PutRequest &R) const { return R.Key; }
  std::string operator()(const DeleteRequest &R) const { return R.Key; }
  std::string operator()(const LeaseGrantRequest &) const { return {}; }
  std::string operator()(const LeaseRenewRequest &) const { return {}; }
  std::string operator()(const LeaseRevokeRequest &) const { return {}; }
};

/// Answers a read request from \p Entries; nullopt if the request is not a
/// read.
std::optional<StoreResult>
readFrom(const std::map<std::string, StoreEntry> &Entries,
         const StoreRequest &Request) {
  if (const auto *Get = std::get_if<GetRequest>(&Request)) {
    auto Found = Entries.find(Get->Key);
    if (Found == Entries.end())
      return EntryAnswer{};
    return EntryAnswer{Found->second};
  }
  const auto *List = std::get_if<ListRequest>(&Request);
  if (!List)
    return std::nullopt;
  EntriesAnswer Answer;
  for (auto It = Entries.lower_bound(List->Prefix);
       It != Entries.end() && It->first.starts_with(List->Prefix); ++It)
    Answer.Entries.push_back(It->second);
  return Answer;
}

} // namespace

/// Applies one request to the state of the store.
struct FakeStore::RequestVisitor {
  FakeStore &Store;
  TimePoint Now;

  StoreResult operator()(const GetRequest &Request) const {
    return *readFrom(Store.State.Entries, Request);
  }
  StoreResult operator()(const ListRequest &Request) const {
    return *readFrom(Store.State.Entries, Request);
  }
  StoreResult operator()(const PutRequest &Request) const {
    if (auto Current = conflict(Request.Key, Request.ExpectedVersion))
      return *Current;
    if (Request.Lease != StoreLeaseId() && !Store.Leases.count(Request.Lease))
      return LeaseGoneAnswer{};
    if (Request.Value.size() > MaxStoreValueBytes)
      return RefusedAnswer{};
    StoreRevision Version = Store.State.Revision.next();
    Store.put({Request.Key, Request.Value, Version, Request.Lease});
    return WrittenAnswer{Version};
  }
  StoreResult operator()(const DeleteRequest &Request) const {
    if (auto Current = conflict(Request.Key, Request.ExpectedVersion))
      return *Current;
    Store.erase(Request.Key);
    return WrittenAnswer{Store.State.Revision};
  }
  StoreResult operator()(const LeaseGrantRequest &Request) const {
    StoreLeaseId Lease(++Store.LastLease);
    Store.Leases[Lease] = {Request.TimeToLive, Now + Request.TimeToLive};
    return LeaseAnswer{Lease, Request.TimeToLive};
  }
  StoreResult operator()(const LeaseRenewRequest &Request) const {
    auto Found = Store.Leases.find(Request.Lease);
    if (Found == Store.Leases.end())
      return LeaseGoneAnswer{};
    Found->second.End = Now + Found->second.TimeToLive;
    return LeaseAnswer{Request.Lease, Found->second.TimeToLive};
  }
  StoreResult operator()(const LeaseRevokeRequest &Request) const {
    Store.endLease(Request.Lease);
    return LeaseAnswer{Request.Lease, Duration::zero()};
  }
  StoreResult operator()(const WatchRequest &Request) const {
    return Store.eventsFor(Request);
  }

  /// Returns the answer to a conditional write if its condition is not met.
  std::optional<ConflictAnswer>
  conflict(const std::string &Key,
           const std::optional<StoreRevision> &Expected) const {
    if (!Expected)
      return std::nullopt;
    auto Found = Store.State.Entries.find(Key);
    bool Exists = Found != Store.State.Entries.end();
    StoreRevision Version = Exists ? Found->second.Version : StoreRevision();
    if (Version == *Expected)
      return std::nullopt;
    return Exists ? ConflictAnswer{Found->second} : ConflictAnswer{};
  }
};

StoreCallId FakeStore::call(StoreRequest Request, TimePoint Now,
                            std::uint32_t Client) {
  expireLapsedLeases(Now);
  StoreCallId Call(++LastCall);
  Caller Requester{Client, Call};
  countCall(Request);
  if (exceedsRateLimit(Now)) {
    ++Counters.Refused;
    scheduleAnswer(Requester, Now,
                   {{}, RefusedAnswer{std::chrono::seconds(1)}});
    return Call;
  }
  std::optional<ActiveRule> Selected = selectFault(Request, Now);
  StoreFault Fault = Selected ? Selected->Rule.Fault : StoreFault::DropEvents;
  if (Selected && Fault == StoreFault::DropCall)
    return Call;
  if (Selected && Fault == StoreFault::Fail) {
    scheduleAnswer(Requester, Now, {{}, UnavailableAnswer{}});
    return Call;
  }
  if (Selected && Fault == StoreFault::RateLimit) {
    ++Counters.Refused;
    scheduleAnswer(Requester, Now,
                   {{}, RefusedAnswer{std::chrono::seconds(1)}});
    return Call;
  }
  if (Selected && Fault == StoreFault::Stale) {
    if (auto Read = readFrom(Selected->StaleState.Entries, Request)) {
      scheduleAnswer(Requester, Now, {Selected->StaleState.Revision, *Read});
      return Call;
    }
  }
  bool LosesAnswer = Selected && Fault == StoreFault::LoseAnswer;
  Duration Delay = Selected ? Selected->Rule.Delay : Duration::zero();
  if (const auto *Watch = std::get_if<WatchRequest>(&Request)) {
    if (!LosesAnswer)
      Watches.push_back({Requester, *Watch, Now + Watch->MaxWait,
                         Selected && Fault == StoreFault::DropEvents, Delay});
    answerWatches(Now);
    return Call;
  }
  StoreResult Result = apply(Request, Now);
  if (Selected && Fault == StoreFault::FailAfterApplying)
    Result = UnavailableAnswer{};
  if (!LosesAnswer)
    scheduleAnswer(Requester, Now + Delay, {State.Revision, std::move(Result)});
  answerWatches(Now);
  return Call;
}

std::vector<FakeStoreAnswer> FakeStore::takeAnswers(TimePoint Now,
                                                    std::uint32_t Client) {
  expireLapsedLeases(Now);
  answerWatches(Now);
  std::vector<FakeStoreAnswer> Result;
  auto &ClientAnswers = PendingAnswers[Client];
  auto End = ClientAnswers.upper_bound(Now);
  for (auto It = ClientAnswers.begin(); It != End; ++It)
    Result.push_back(std::move(It->second));
  ClientAnswers.erase(ClientAnswers.begin(), End);
  return Result;
}

std::optional<TimePoint> FakeStore::nextDue() const {
  TimePoint Next = TimePoint::max();
  for (const auto &Answers : PendingAnswers)
    if (!Answers.second.empty())
      Next = std::min(Next, Answers.second.begin()->first);
  for (const WaitingWatch &Watch : Watches)
    Next = std::min(Next, Watch.End);
  for (const auto &Entry : Leases)
    Next = std::min(Next, Entry.second.End);
  if (Next == TimePoint::max())
    return std::nullopt;
  return Next;
}

void FakeStore::addFault(FaultRule Rule) {
  Snapshot StaleState;
  if (Rule.Fault == StoreFault::Stale)
    StaleState = State;
  Rules.push_back({std::move(Rule), std::move(StaleState)});
}

void FakeStore::expireAllLeases(TimePoint Now) {
  std::vector<StoreLeaseId> All;
  for (const auto &Entry : Leases)
    All.push_back(Entry.first);
  for (StoreLeaseId Lease : All)
    endLease(Lease);
  answerWatches(Now);
}

std::optional<FakeStore::ActiveRule>
FakeStore::selectFault(const StoreRequest &Request, TimePoint Now) {
  std::string Key = std::visit(KeyOf(), Request);
  bool Write = std::holds_alternative<PutRequest>(Request) ||
               std::holds_alternative<DeleteRequest>(Request);
  for (auto It = Rules.begin(); It != Rules.end(); ++It) {
    FaultRule &Rule = It->Rule;
    if (Now >= Rule.Until || (Rule.WritesOnly && !Write) ||
        !Key.starts_with(Rule.KeyPrefix) ||
        !Rng.withProbability(Rule.Probability))
      continue;
    ++Counters.Injected;
    ActiveRule Result = *It;
    if (Rule.MaxCalls != 0 && --Rule.MaxCalls == 0)
      Rules.erase(It);
    return Result;
  }
  return std::nullopt;
}

bool FakeStore::exceedsRateLimit(TimePoint Now) {
  if (RateLimit == 0)
    return false;
  if (Now - RateWindowStart >= std::chrono::seconds(1)) {
    RateWindowStart = Now;
    CallsInWindow = 0;
  }
  return ++CallsInWindow > RateLimit;
}

void FakeStore::countCall(const StoreRequest &Request) {
  ++Counters.Calls;
  if (std::holds_alternative<WatchRequest>(Request))
    ++Counters.Watches;
  else if (std::holds_alternative<GetRequest>(Request) ||
           std::holds_alternative<ListRequest>(Request))
    ++Counters.Reads;
  else if (std::holds_alternative<PutRequest>(Request) ||
           std::holds_alternative<DeleteRequest>(Request))
    ++Counters.Writes;
  else
    ++Counters.Leases;
}

StoreResult FakeStore::apply(const StoreRequest &Request, TimePoint Now) {
  return std::visit(RequestVisitor{*this, Now}, Request);
}

void FakeStore::put(StoreEntry Entry) {
  State.Revision = State.Revision.next();
  std::string Key = Entry.Key;
  State.Entries[Key] = Entry;
  recordEvent(Key, std::move(Entry));
}

void FakeStore::erase(const std::string &Key) {
  if (State.Entries.erase(Key) == 0)
    return;
  State.Revision = State.Revision.next();
  recordEvent(Key, std::nullopt);
}

void FakeStore::recordEvent(const std::string &Key,
                            std::optional<StoreEntry> Entry) {
  Events.push_back({State.Revision, Key, std::move(Entry)});
  while (Events.size() > RetainedEvents) {
    CompactedTo = Events.front().Revision;
    Events.pop_front();
  }
}

void FakeStore::endLease(StoreLeaseId Lease) {
  if (Lease == StoreLeaseId() || Leases.erase(Lease) == 0)
    return;
  std::vector<std::string> BoundKeys;
  for (const auto &[Key, Entry] : State.Entries)
    if (Entry.Lease == Lease)
      BoundKeys.push_back(Key);
  for (const std::string &Key : BoundKeys)
    erase(Key);
}

void FakeStore::expireLapsedLeases(TimePoint Now) {
  std::vector<StoreLeaseId> Expired;
  for (const auto &[Lease, Granted] : Leases)
    if (Granted.End <= Now)
      Expired.push_back(Lease);
  for (StoreLeaseId Lease : Expired)
    endLease(Lease);
}

void FakeStore::scheduleAnswer(Caller Requester, TimePoint ReadyTime,
                               StoreAnswer Answer) {
  PendingAnswers[Requester.Client].emplace(
      ReadyTime + Latency, FakeStoreAnswer{Requester.Call, std::move(Answer)});
}

EventsAnswer FakeStore::eventsFor(const WatchRequest &Request) const {
  EventsAnswer Answer;
  if (Request.AfterRevision < CompactedTo) {
    Answer.Compacted = true;
    return Answer;
  }
  for (const StoreEvent &Event : Events) {
    if (Event.Revision > Request.AfterRevision &&
        Event.Key.starts_with(Request.Prefix))
      Answer.Events.push_back(Event);
  }
  return Answer;
}

void FakeStore::answerWatches(TimePoint Now) {
  std::vector<WaitingWatch> Remaining;
  for (WaitingWatch &Watch : Watches) {
    EventsAnswer Answer = eventsFor(Watch.Request);
    bool HasEvents = Answer.Compacted || !Answer.Events.empty();
    if (!HasEvents && Now < Watch.End) {
      Remaining.push_back(std::move(Watch));
      continue;
    }
    if (Watch.DropEvents)
      Answer = {};
    scheduleAnswer(Watch.Requester, Now + Watch.Delay,
                   {State.Revision, std::move(Answer)});
  }
  Watches = std::move(Remaining);
}

} // namespace banyanworks::testing
