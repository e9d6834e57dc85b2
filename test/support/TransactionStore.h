/// \file
/// Defines TransactionStore, a fake of a linearizable store with transactions,
/// leases and watches, and StoreSession, one daemon's connection to it.
#ifndef BANYANWORKS_TEST_SUPPORT_TRANSACTIONSTORE_H
#define BANYANWORKS_TEST_SUPPORT_TRANSACTIONSTORE_H

#include "base/Random.h"
#include "state/AsyncStore.h"
#include "support/VirtualClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace banyanworks::testing {

class VirtualTimers;

class TransactionStore {
public:
  explicit TransactionStore(VirtualClock &Clock) : Clock(Clock) {}

  TransactionResult apply(const Transaction &Changes);
  ListResult list(const std::string &Prefix) const;
  /// Returns the events after a revision; Compacted if the history no longer
  /// covers them.
  WatchResult events(const std::string &Prefix,
                     StoreRevision AfterRevision) const;
  bool hasEvents(const std::string &Prefix, StoreRevision AfterRevision) const;
  StoreLeaseId grantLease(Duration TimeToLive);
  bool renewLease(StoreLeaseId Lease);
  bool revokeLease(StoreLeaseId Lease);

  /// Longest value, and entries of a transaction, that the store takes; others
  /// are refused as invalid.
  std::size_t MaxValueBytes = MaxStoreValueBytes;
  static constexpr std::size_t MaxEntries = 32;
  /// Refuses each write of a key that contains this text; nothing if empty.
  std::string RefusedKeys;
  /// Number of transactions that were refused as invalid.
  std::size_t RefusedTransactions = 0;

  /// Drops the history, so that watches have to list again.
  void compact() { CompactedRevision = Revision; }
  StoreRevision revision() const { return StoreRevision(Revision); }
  /// Runs \p Work at the store, independently of the caller's process.
  void runAfter(Duration Delay, std::function<void()> Work) {
    Clock.scheduleAfter(Delay, std::move(Work));
  }
  /// Writes a key as an operator or a worker does.
  void put(const std::string &Key, const std::string &Value);
  void erase(const std::string &Key);

private:
  struct LeaseState {
    Duration TimeToLive{};
    TimePoint ExpiresAt;
  };
  bool isInvalid(const Transaction &Changes) const;
  void write(const std::string &Key, const std::string *Value,
             StoreLeaseId Lease);
  void scheduleLeaseExpiry(StoreLeaseId Lease);

  VirtualClock &Clock;
  std::map<std::string, StoreEntry> Entries;
  std::vector<StoreEvent> History;
  std::map<StoreLeaseId, LeaseState> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t CompactedRevision = 0;
  std::uint64_t LastLease = 0;
};

/// Faults between one daemon and the store.
struct StoreFaults {
  /// No call reaches the store, and none is answered.
  bool Unresponsive = false;
  /// Calls end as unknown after a round trip without effect, as with a store
  /// that resets its connections.
  bool ResetsConnections = false;
  /// Calls are rejected immediately without effect.
  bool RefusesCalls = false;
  /// Fraction of writes that take effect without an answer.
  double LostAnswerRate = 0.0;
  /// Delay after which such writes take effect.
  Duration LostWriteDelay{};
  /// Watches with a wait time receive nothing until this time, and are then
  /// cut, as when the store drops its history.
  TimePoint WatchesStalledUntil = TimePoint::min();
  /// Watches without a wait time receive nothing during that time either.
  bool StallsAllWatches = false;
  Duration Latency = std::chrono::milliseconds(2);
};

/// Performs one daemon's calls to the store, subject to its faults.
class StoreSession : public AsyncStore {
public:
  StoreSession(TransactionStore &Store, VirtualTimers &Timers,
               std::uint64_t Seed)
      : Store(Store), Timers(Timers), Generator(Seed) {}

  StoreFaults Faults;

  void list(const std::string &Prefix,
            std::function<void(ListResult)> Done) override;
  void read(const std::string &Key,
            std::function<void(ListResult)> Done) override;
  void watch(const WatchRequest &Request,
             std::function<void(WatchResult)> Done) override;
  void commit(const Transaction &Changes, Duration Timeout,
              std::function<void(TransactionResult)> Done) override;
  void grantLease(Duration TimeToLive,
                  std::function<void(LeaseResult)> Done) override;
  void renewLease(StoreLeaseId Lease,
                  std::function<void(LeaseResult)> Done) override;
  void endLease(StoreLeaseId Lease,
                std::function<void(LeaseResult)> Done) override;

private:
  /// Performs a call at the store and returns its result, subject to the
  /// faults.
  template <typename Result>
  void performCall(bool Writes, Duration Timeout, std::function<Result()> Work,
                   std::function<void(Result)> Done);
  void waitForEvents(const WatchRequest &Request, TimePoint Until,
                     const std::function<void(WatchResult)> &Done);

  TransactionStore &Store;
  VirtualTimers &Timers;
  Random Generator;
};

} // namespace banyanworks::testing

#endif
