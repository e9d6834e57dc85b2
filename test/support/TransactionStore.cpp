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
constexpr Duration WatchStep = std::chrono::milliseconds(5);

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

TransactionResult TransactionStore::apply(const Transaction &Changes) {
  TransactionResult Result;
  Result.Status = CallStatus::Rejected;
  bool Holds = true;
  for (const Transaction::Condition &Needed : Changes.Conditions) {
    auto Found = Entries.find(Needed.Key);
    StoreRevision Now =
        Found == Entries.end() ? StoreRevision() : Found->second.Version;
    Holds &= Now == Needed.Version;
    if (Found != Entries.end())
      Result.Current.push_back(Found->second);
  }
  if (!Holds)
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
                                 StoreRevision After) const {
  return std::any_of(
      History.rbegin(), History.rend(), [&](const StoreEvent &Event) {
        return Event.Revision > After && Event.Key.starts_with(Prefix);
      });
}

WatchResult TransactionStore::events(const std::string &Prefix,
                                     StoreRevision After) const {
  WatchResult Result;
  Result.Status = CallStatus::Done;
  Result.AtRevision = StoreRevision(Revision);
  Result.Changes.Compacted = After.value() < Forgotten;
  if (Result.Changes.Compacted)
    return Result;
  for (const StoreEvent &Event : History)
    if (Event.Revision > After && Event.Key.starts_with(Prefix))
      Result.Changes.Events.push_back(Event);
  return Result;
}

StoreLeaseId TransactionStore::grant(Duration TimeToLive) {
  StoreLeaseId Id(++LastLease);
  Leases[Id] = {TimeToLive, Clock.now() + TimeToLive};
  watchLease(Id);
  return Id;
}

void TransactionStore::watchLease(StoreLeaseId Lease) {
  Clock.at(Leases.at(Lease).Until, [this, Lease] {
    auto Found = Leases.find(Lease);
    if (Found == Leases.end())
      return;
    if (Found->second.Until > Clock.now())
      watchLease(Lease);
    else
      end(Lease);
  });
}

bool TransactionStore::renew(StoreLeaseId Lease) {
  auto Found = Leases.find(Lease);
  if (Found == Leases.end())
    return false;
  Found->second.Until = Clock.now() + Found->second.TimeToLive;
  return true;
}

bool TransactionStore::end(StoreLeaseId Lease) {
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
void StoreSession::carry(bool Writes, Duration Timeout,
                         std::function<Result()> Work,
                         std::function<void(Result)> Done) {
  Result Failed;
  if (Trouble.Refuses) {
    Failed.Status = CallStatus::NotApplied;
    Timers.after(Trouble.Latency, [Failed, Done] { Done(Failed); });
    return;
  }
  if (Trouble.Silent) {
    Timers.after(Timeout, [Failed, Done] { Done(Failed); });
    return;
  }
  if (Writes && Generator.chance(Trouble.LostAnswers)) {
    // The store carries it out whatever becomes of the daemon.
    Store.later(Trouble.Latency + Trouble.LateBy, [Work] { Work(); });
    Timers.after(Timeout, [Failed, Done] { Done(Failed); });
    return;
  }
  auto Answer = std::make_shared<Result>();
  Store.later(Trouble.Latency, [Answer, Work] { *Answer = Work(); });
  Timers.after(Trouble.Latency * 2, [Answer, Done] { Done(*Answer); });
}

void StoreSession::list(const std::string &Prefix,
                        std::function<void(ListResult)> Done) {
  carry<ListResult>(
      false, CallTimeout, [this, Prefix] { return Store.list(Prefix); },
      std::move(Done));
}

void StoreSession::read(const std::string &Key,
                        std::function<void(ListResult)> Done) {
  carry<ListResult>(
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
  waitForEvents(Request, Timers.now() + Request.MaxWait, Done);
}

void StoreSession::waitForEvents(const WatchRequest &Request, TimePoint Until,
                                 const std::function<void(WatchResult)> &Done) {
  bool Ready = Store.hasEvents(Request.Prefix, Request.AfterRevision) ||
               Timers.now() >= Until;
  if (Ready || Trouble.Silent || Trouble.Refuses) {
    carry<WatchResult>(
        false, CallTimeout,
        [this, Request] {
          return Store.events(Request.Prefix, Request.AfterRevision);
        },
        Done);
    return;
  }
  Timers.after(WatchStep, [this, Request, Until, Done] {
    waitForEvents(Request, Until, Done);
  });
}

void StoreSession::commit(const Transaction &Changes, Duration Timeout,
                          std::function<void(TransactionResult)> Done) {
  carry<TransactionResult>(
      true, Timeout, [this, Changes] { return Store.apply(Changes); },
      std::move(Done));
}

void StoreSession::grantLease(Duration TimeToLive,
                              std::function<void(LeaseResult)> Done) {
  carry<LeaseResult>(
      true, CallTimeout,
      [this, TimeToLive] {
        LeaseResult Result;
        Result.Status = CallStatus::Done;
        Result.Lease = Store.grant(TimeToLive);
        Result.TimeToLive = TimeToLive;
        return Result;
      },
      std::move(Done));
}

void StoreSession::renewLease(StoreLeaseId Lease,
                              std::function<void(LeaseResult)> Done) {
  carry<LeaseResult>(
      false, CallTimeout,
      [this, Lease] {
        LeaseResult Result;
        Result.Status =
            Store.renew(Lease) ? CallStatus::Done : CallStatus::Rejected;
        return Result;
      },
      std::move(Done));
}

void StoreSession::endLease(StoreLeaseId Lease,
                            std::function<void(LeaseResult)> Done) {
  carry<LeaseResult>(
      true, CallTimeout,
      [this, Lease] {
        LeaseResult Result;
        Result.Status =
            Store.end(Lease) ? CallStatus::Done : CallStatus::Rejected;
        return Result;
      },
      std::move(Done));
}

} // namespace banyanworks::testing
