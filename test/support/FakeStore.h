/// \file
/// Defines FakeStore, a stand-in for the platform's store with faults on
/// demand. It is pure: time is passed in, and answers are taken out when due.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKESTORE_H
#define BANYANWORKS_TEST_SUPPORT_FAKESTORE_H

#include "base/Random.h"
#include "state/Store.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// What can go wrong with a call.
enum class StoreFault : std::uint8_t {
  /// Does not take effect; "unavailable" is answered at once.
  Fail,
  /// Does not take effect and is never answered.
  DropCall,
  /// Takes effect; "unavailable" is answered at once.
  FailAfterApplying,
  /// Takes effect and is never answered.
  LoseAnswer,
  /// Takes effect; the answer comes later by the rule's Delay.
  Stall,
  /// Is refused as over the rate limit.
  RateLimit,
  /// A read is answered from the state when the rule was added.
  Stale,
  /// A watch is answered without its events, as if there were none.
  DropEvents,
};

/// A fault and the calls that it strikes.
struct FaultRule {
  StoreFault Fault = StoreFault::Fail;
  /// The number of calls that are struck; zero for no limit.
  std::uint32_t MaxCalls = 0;
  /// Only calls for keys with this prefix; calls on leases have the key "".
  std::string KeyPrefix;
  /// The chance that a call is struck.
  double Probability = 1.0;
  Duration Delay{};
  /// The rule ends then.
  TimePoint Until = TimePoint::max();
  /// Only puts and deletes are struck.
  bool WritesOnly = false;
};

/// An answer and the call it belongs to.
struct FakeStoreAnswer {
  StoreCallId Call;
  StoreAnswer Answer;
};

/// How many calls came; a waiting watch counts as one.
struct FakeStoreCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Injected = 0;
};

/// A key-value store with compare-and-swap, leases and watches.
class FakeStore {
public:
  explicit FakeStore(std::uint64_t Seed = 1) : Rng(Seed) {}

  /// Takes a call. Its answer comes out of takeAnswers() for the same client
  /// now or later, or never if a fault loses it.
  StoreCallId call(StoreRequest Request, TimePoint Now,
                   std::uint32_t Client = 0);
  /// Lets time pass, which ends leases and watches, and returns the answers
  /// that are due to a client.
  std::vector<FakeStoreAnswer> takeAnswers(TimePoint Now,
                                           std::uint32_t Client = 0);
  /// When takeAnswers() may next have something to do.
  std::optional<TimePoint> nextDue() const;

  /// Adds a fault; the oldest rule that fits a call strikes it.
  void addFault(FaultRule Rule);
  void clearFaults() { Rules.clear(); }
  /// Ends every lease at once, as if all had lapsed.
  void expireAllLeases(TimePoint Now);
  /// Answers come this much later than the call.
  void setLatency(Duration Value) { Latency = Value; }
  /// Calls beyond this many in a second are refused; zero for no limit.
  void setRateLimit(std::uint32_t CallsPerSecond) {
    RateLimit = CallsPerSecond;
  }
  /// Changes that are kept for watches.
  void setRetainedEvents(std::size_t Count) { RetainedEvents = Count; }

  const FakeStoreCounters &counters() const { return Counters; }
  StoreRevision revision() const { return State.Revision; }
  const std::map<std::string, StoreEntry> &entries() const {
    return State.Entries;
  }

private:
  struct Snapshot {
    StoreRevision Revision;
    std::map<std::string, StoreEntry> Entries;
  };
  struct ActiveRule {
    FaultRule Rule;
    Snapshot StaleState;
  };
  struct GrantedLease {
    Duration TimeToLive{};
    TimePoint End;
  };
  struct Caller {
    std::uint32_t Client = 0;
    StoreCallId Call;
  };
  struct WaitingWatch {
    Caller From;
    WatchRequest Request;
    TimePoint End;
    bool DropEvents = false;
    Duration Delay{};
  };
  struct RequestVisitor;

  /// The fault that strikes a call, with the state that a stale read sees.
  std::optional<ActiveRule> selectFault(const StoreRequest &Request,
                                        TimePoint Now);
  bool exceedsRateLimit(TimePoint Now);
  void countCall(const StoreRequest &Request);
  StoreResult apply(const StoreRequest &Request, TimePoint Now);
  void put(StoreEntry Entry);
  void erase(const std::string &Key);
  void recordEvent(const std::string &Key, std::optional<StoreEntry> Entry);
  void endLease(StoreLeaseId Lease);
  void expireLapsedLeases(TimePoint Now);
  void scheduleAnswer(Caller From, TimePoint When, StoreAnswer Answer);
  EventsAnswer eventsFor(const WatchRequest &Request) const;
  void answerWatches(TimePoint Now);

  Random Rng;
  Snapshot State;
  std::deque<StoreEvent> Events;
  StoreRevision CompactedTo;
  std::size_t RetainedEvents = 10000;
  std::map<StoreLeaseId, GrantedLease> Leases;
  std::uint64_t LastLease = 0;
  std::vector<ActiveRule> Rules;
  std::vector<WaitingWatch> Watches;
  std::map<std::uint32_t, std::multimap<TimePoint, FakeStoreAnswer>>
      PendingAnswers;
  std::uint64_t LastCall = 0;
  Duration Latency{};
  std::uint32_t RateLimit = 0;
  TimePoint RateWindowStart;
  std::uint32_t CallsInWindow = 0;
  FakeStoreCounters Counters;
};

} // namespace banyanworks::testing

#endif
