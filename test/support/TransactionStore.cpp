/// \file
/// Implements TransactionStore and StoreSession.
#include "support/TransactionStore.h"

#include "support/VirtualTimers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(1);
constexpr Duration WatchPollInterval = std::chrono::milliseconds(5);

} // namespace

void TransactionStore::write(const std::string &Key, const std::string *Value,
                             StoreLeaseId Lease) {
  StoreEvent Event;
  Event.Key = Key;
  Event.Revision = StoreRevision(Revision);
  if (Value) {
    Event.Entry = StoreEntry{Key, *Value, StoreRevision(Revision), Lease};
    Entries[Key] = *Event.Entry;
  } else if (Entries.erase(Key) == 0) {
    return;
  }
  History.push_back(std::move(Event));
}

bool TransactionStore::isInvalid(const Transaction &Changes) const {
  if (Changes.Conditions.size() + Changes.Puts.size() + Changes.Deletes.size() >
      MaxEntries)
    return true;
  return std::any_of(Changes.Puts.begin(), Changes.Puts.end(),
                     [this](const Transaction::Put &Put) {
                       return Put.Value.size() > MaxValueBytes ||
                              (!RefusedKeys.empty() &&
                               Put.Key.find(RefusedKeys) != std::string::npos);
                     });
}

TransactionResult TransactionStore::apply(const Transaction &Changes) {
  TransactionResult Result;
  if (isInvalid(Changes)) {
    ++RefusedTransactions;
    Result.Status = CallStatus::Invalid;
    return Result;
  }
  Result.Status = CallStatus::Rejected;
  bool AllHold = true;
  for (const Transaction::Condition &Required : Changes.Conditions) {
    auto Found = Entries.find(Required.Key);
    StoreRevision CurrentVersion =
        Found == Entries.end() ? StoreRevision() : Found->second.Version;
    AllHold &= CurrentVersion == Required.Version;
    if (Found != Entries.end())
      Result.Current.push_back(Found->second);
  }
  if (!AllHold)
    return Result;
  for (const Transaction::Put &Put : Changes.Puts) {
    if (Put.Lease == StoreLeaseId() || Leases.contains(Put.Lease))
      continue;
    Result.LeaseGone = true;
    return Result;
  }
  ++Revision;
  for (const Transaction::Put &Put : Changes.Puts)
    write(Put.Key, &Put.Value, Put.Lease);
  for (const std::string &Key : Changes.Deletes)
    write(Key, nullptr, StoreLeaseId());
  Result.Current.clear();
  Result.Status = CallStatus::Done;
  Result.Version = StoreRevision(Revision);
  return Result;
}

ListResult TransactionStore::list(const std::string &Prefix) const {
  ListResult Result;
  Result.Status = CallStatus::Done;
  Result.AtRevision = StoreRevision(Revision);
  for (const auto &[Key, Entry] : Entries)
    if (Key.starts_with(Prefix))
      Result.Entries.push_back(Entry);
  return Result;
}

bool TransactionStore::hasEvents(const std::string &Prefix,
                                 StoreRevision AfterRevision) const {
  return std::any_of(
      History.rbegin(), History.rend(), [&](const StoreEvent &Event) {
        return Event.Revision > AfterRevision && Event.Key.starts_with(Prefix);
      });
}

WatchResult TransactionStore::events(const std::string &Prefix,
                                     StoreRevision AfterRevision) const {
  WatchResult Result;
  Result.Status = CallStatus::Done;
  Result.AtRevision = StoreRevision(Revision);
  Result.Changes.Compacted = AfterRevision.value() < CompactedRevision;
  if (Result.Changes.Compacted)
    return Result;
  for (const StoreEvent &Event : History)
    if (Event.Revision > AfterRevision && Event.Key.starts_with(Prefix))
      Result.Changes.Events.push_back(Event);
  return Result;
}

StoreLeaseId TransactionStore::grantLease(Duration TimeToLive) {
  StoreLeaseId Id(++LastLease);
  Leases[Id] = {TimeToLive, Clock.now() + TimeToLive};
  scheduleLeaseExpiry(Id);
  return Id;
}

void TransactionStore::scheduleLeaseExpiry(StoreLeaseId Lease) {
  Clock.scheduleAt(Leases.at(Lease).ExpiresAt, [this, Lease] {
    auto Found = Leases.find(Lease);
    if (Found == Leases.end())
      return;
    if (Found->second.ExpiresAt > Clock.now())
      scheduleLeaseExpiry(Lease);
    else
      revokeLease(Lease);
  });
}

bool TransactionStore::renewLease(StoreLeaseId Lease) {
  auto Found = Leases.find(Lease);
  if (Found == Leases.end())
    return false;
  Found->second.ExpiresAt = Clock.now() + Found->second.TimeToLive;
  return true;
}

bool TransactionStore::revokeLease(StoreLeaseId Lease) {
  if (Leases.erase(Lease) == 0)
    return false;
  std::vector<std::string> Keys;
  for (const auto &[Key, Entry] : Entries)
    if (Entry.Lease == Lease)
      Keys.push_back(Key);
  ++Revision;
  for (const std::string &Key : Keys)
    write(Key, nullptr, StoreLeaseId());
  return true;
}

void TransactionStore::put(const std::string &Key, const std::string &Value) {
  ++Revision;
  write(Key, &Value, StoreLeaseId());
}

void TransactionStore::erase(const std::string &Key) {
  ++Revision;
  write(Key, nullptr, StoreLeaseId());
}

template <typename Result>
void StoreSession::performCall(bool Writes, Duration Timeout,
                               std::function<Result()> Work,
                               std::function<void(Result)> Done) {
  Result Failed;
  if (Faults.RefusesCalls) {
    Failed.Status = CallStatus::NotApplied;
    Timers.schedule(Faults.Latency, [Failed, Done] { Done(Failed); });
    return;
  }
  if (Faults.ResetsConnections) {
    Timers.schedule(Faults.Latency, [Failed, Done] { Done(Failed); });
    return;
  }
  if (Faults.Unresponsive) {
    Timers.schedule(Timeout, [Failed, Done] { Done(Failed); });
    return;
  }
  if (Writes && Generator.withProbability(Faults.LostAnswerRate)) {
    // The store executes the call even if the daemon is killed.
    Store.runAfter(Faults.Latency + Faults.LostWriteDelay, [Work] { Work(); });
    Timers.schedule(Timeout, [Failed, Done] { Done(Failed); });
    return;
  }
  auto Answer = std::make_shared<Result>();
  Store.runAfter(Faults.Latency, [Answer, Work] { *Answer = Work(); });
  Timers.schedule(Faults.Latency * 2, [Answer, Done] { Done(*Answer); });
}

void StoreSession::list(const std::string &Prefix,
                        std::function<void(ListResult)> Done) {
  performCall<ListResult>(
      false, CallTimeout, [this, Prefix] { return Store.list(Prefix); },
      std::move(Done));
}

void StoreSession::read(const std::string &Key,
                        std::function<void(ListResult)> Done) {
  performCall<ListResult>(
      false, CallTimeout,
      [this, Key] {
        ListResult Found = Store.list(Key);
        std::erase_if(Found.Entries, [&Key](const StoreEntry &Entry) {
          return Entry.Key != Key;
        });
        return Found;
      },
      std::move(Done));
}

void StoreSession::watch(const WatchRequest &Request,
                         std::function<void(WatchResult)> Done) {
  bool Stalled = Timers.now() < Faults.WatchesStalledUntil;
  if (Stalled && Faults.StallsAllWatches &&
      Request.MaxWait == Duration::zero()) {
    WatchResult Empty;
    Empty.Status = CallStatus::Done;
    Empty.AtRevision = Request.AfterRevision;
    Timers.schedule(Faults.Latency * 2, [Empty, Done] { Done(Empty); });
    return;
  }
  waitForEvents(Request, Timers.now() + Request.MaxWait, Done);
}

void StoreSession::waitForEvents(const WatchRequest &Request, TimePoint Until,
                                 const std::function<void(WatchResult)> &Done) {
  if (Request.MaxWait > Duration::zero() &&
      Timers.now() < Faults.WatchesStalledUntil) {
    Timers.schedule(Faults.WatchesStalledUntil - Timers.now(),
                    [Done] { Done(WatchResult()); });
    return;
  }
  bool Ready = Store.hasEvents(Request.Prefix, Request.AfterRevision) ||
               Timers.now() >= Until;
  if (Ready || Faults.Unresponsive || Faults.RefusesCalls ||
      Faults.ResetsConnections) {
    performCall<WatchResult>(
        false, CallTimeout,
        [this, Request] {
          return Store.events(Request.Prefix, Request.AfterRevision);
        },
        Done);
    return;
  }
  Timers.schedule(WatchPollInterval, [this, Request, Until, Done] {
    waitForEvents(Request, Until, Done);
  });
}

void StoreSession::commit(const Transaction &Changes, Duration Timeout,
                          std::function<void(TransactionResult)> Done) {
  performCall<TransactionResult>(
      true, Timeout, [this, Changes] { return Store.apply(Changes); },
      std::move(Done));
}

void StoreSession::grantLease(Duration TimeToLive,
                              std::function<void(LeaseResult)> Done) {
  performCall<LeaseResult>(
      true, CallTimeout,
      [this, TimeToLive] {
        LeaseResult Result;
        Result.Status = CallStatus::Done;
        Result.Lease = Store.grantLease(TimeToLive);
        Result.TimeToLive = TimeToLive;
        return Result;
      },
      std::move(Done));
}

void StoreSession::renewLease(StoreLeaseId Lease,
                              std::function<void(LeaseResult)> Done) {
  performCall<LeaseResult>(
      false, CallTimeout,
      [this, Lease] {
        LeaseResult Result;
        Result.Status =
            Store.renewLease(Lease) ? CallStatus::Done : CallStatus::Rejected;
        return Result;
      },
      std::move(Done));
}

void StoreSession::endLease(StoreLeaseId Lease,
                            std::function<void(LeaseResult)> Done) {
  performCall<LeaseResult>(
      true, CallTimeout,
      [this, Lease] {
        LeaseResult Result;
        Result.Status =
            Store.revokeLease(Lease) ? CallStatus::Done : CallStatus::Rejected;
        return Result;
      },
      std::move(Done));
}

} // namespace banyanworks::testing
