/// \file
/// Defines FakeStore, an in-memory fake of the platform's store with fault
/// injection. It has no clock and no I/O: the caller passes the time and polls
/// for the answers that are due.
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

/// The kinds of fault that can be injected into a call.
enum class StoreFault : std::uint8_t {
  /// The call has no effect and is answered "unavailable" immediately.
  Fail,
  /// The call has no effect and is never answered.
  DropCall,
  /// The call takes effect but is answered "unavailable" immediately.
  FailAfterApplying,
  /// The call takes effect but is never answered.
  LoseAnswer,
  /// The call takes effect; its answer is delayed by FaultRule::Delay.
  Stall,
  /// The call is refused as if it exceeded the rate limit.
  RateLimit,
  /// A read is answered from the state at the time when the rule was added.
  Stale,
  /// A watch is answered without its events.
  DropEvents,
};

/// A fault and the calls into which it is injected.
struct FaultRule {
  StoreFault Fault = StoreFault::Fail;
  /// The maximum number of affected calls; zero for no limit.
  std::uint32_t MaxCalls = 0;
  /// Only calls for keys with this prefix are affected; lease calls have the
  /// empty key.
  std::string KeyPrefix;
  /// The probability that a matching call is affected.
  double Probability = 1.0;
  Duration Delay{};
  /// The time at which the rule expires.
  TimePoint Until = TimePoint::max();
  /// True if only puts and deletes are affected.
  bool WritesOnly = false;
};

/// An answer and the call to which it belongs.
struct FakeStoreAnswer {
  StoreCallId Call;
  StoreAnswer Answer;
};

/// The number of calls received, by kind; a waiting watch counts as one call.
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

  /// Receives a call. takeAnswers() returns its answer for the same client,
  /// immediately or later, or never if a fault loses it.
  StoreCallId call(StoreRequest Request, TimePoint Now,
                   std::uint32_t Client = 0);
  /// Advances the time to \p Now, which expires leases and watches, and returns
  /// the answers that are due for a client.
  std::vector<FakeStoreAnswer> takeAnswers(TimePoint Now,
                                           std::uint32_t Client = 0);
  /// Returns the next time at which takeAnswers() may have an effect.
  std::optional<TimePoint> nextDue() const;

  /// Adds a fault rule; the oldest rule that matches a call applies.
  void addFault(FaultRule Rule);
  void clearFaults() { Rules.clear(); }
  /// Expires every lease immediately.
  void expireAllLeases(TimePoint Now);
  /// Sets the delay between each call and its answer.
  void setLatency(Duration Value) { Latency = Value; }
  /// Sets the number of calls per second beyond which calls are refused; zero
  /// for no limit.
  void setRateLimit(std::uint32_t CallsPerSecond) {
    RateLimit = CallsPerSecond;
  }
  /// Sets the number of events that are retained for watches.
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
    Caller Requester;
    WatchRequest Request;
    TimePoint End;
    bool DropEvents = false;
    Duration Delay{};
  };
  struct RequestVisitor;

  /// Returns the rule that applies to a call, with the state for stale reads.
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
  void scheduleAnswer(Caller Requester, TimePoint ReadyTime,
                      StoreAnswer Answer);
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
