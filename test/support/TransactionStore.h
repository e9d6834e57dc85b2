/// \file
/// Defines TransactionStore, a stand-in for a linearizable store with
/// transactions, leases and watches, and StoreSession, one daemon's way to it.
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
  /// What has changed after a revision; nothing if it is forgotten.
  WatchResult events(const std::string &Prefix, StoreRevision After) const;
  bool hasEvents(const std::string &Prefix, StoreRevision After) const;
  StoreLeaseId grantLease(Duration TimeToLive);
  bool renewLease(StoreLeaseId Lease);
  bool revokeLease(StoreLeaseId Lease);

  /// Forgets the history, so that watches have to list again.
  void compact() { CompactedRevision = Revision; }
  StoreRevision revision() const { return StoreRevision(Revision); }
  /// Runs \p Work at the store, whatever becomes of the caller.
  void runAfter(Duration Delay, std::function<void()> Work) {
    Clock.after(Delay, std::move(Work));
  }
  /// Writes as an operator or a worker does.
  void put(const std::string &Key, const std::string &Value);
  void erase(const std::string &Key);

private:
  struct LeaseState {
    Duration TimeToLive{};
    TimePoint ExpiresAt;
  };
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

/// What goes wrong between one daemon and the store.
struct StoreFaults {
  /// No call gets through, and none is answered.
  bool Unresponsive = false;
  /// Calls are refused at once without an effect.
  bool RefusesCalls = false;
  /// The share of writes that take effect without an answer.
  double LostAnswerRate = 0.0;
  /// Lost writes take effect so much later.
  Duration LostWriteDelay{};
  Duration Latency = std::chrono::milliseconds(2);
};

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
  /// Carries a call there and its result back, through what is wrong.
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
