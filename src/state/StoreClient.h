/// \file
/// Defines StoreClient, which executes store operations in spite of lost
/// answers, stalls and outages and reports the known outcome of each.
#ifndef BANYANWORKS_STATE_STORECLIENT_H
#define BANYANWORKS_STATE_STORECLIENT_H

#include "base/Random.h"
#include "base/Reason.h"
#include "state/CallBudget.h"
#include "state/CircuitBreaker.h"
#include "state/Store.h"
#include "state/WriteIdentity.h"

#include <cstdint>
#include <map>
#include <vector>

namespace banyanworks {

/// The number of an operation that was submitted to the client.
using StoreOperationId = Number<struct StoreOperationTag>;

/// The outcome of an operation as far as the client can know it.
enum class StoreStatus : std::uint8_t {
  /// The operation took effect, or the read returned a state that is not stale.
  Done,
  /// The operation had no effect: the key had another version, or the lease no
  /// longer exists.
  Conflict,
  /// The operation had no effect: it was never sent, or each call was refused.
  NotApplied,
  /// The operation may have taken effect and been overwritten since; the answer
  /// has the current value.
  Overwritten,
  /// The operation may have taken effect, or may still do so.
  Unknown,
};

/// The outcome of an operation with its details.
struct StoreOutcome {
  StoreOperationId Operation;
  StoreStatus Status = StoreStatus::Unknown;
  /// The reason, unless the status is Done.
  Reason Cause = Reason::None;
  /// The answer for Done; ConflictAnswer or LeaseGoneAnswer for Conflict and
  /// Overwritten.
  StoreAnswer Answer;
  /// The time at which the answered call was sent; it took effect at this time
  /// or later.
  TimePoint SentAt;
  /// For a read: the result reflects the store's state at this time or later.
  /// During a failover the store may answer reads, but no write or lease calls,
  /// from an old state. This is therefore the send time of the latest write or
  /// lease call that was answered before the read was sent.
  TimePoint FreshSince = TimePoint::min();
  /// For NotApplied: the delay before a retry.
  Duration RetryAfter{};
};

/// A call for the adapter to send. The adapter reports the answer or lets the
/// client's timeout expire; it must not send a call twice.
struct StoreCall {
  StoreCallId Call;
  StoreRequest Request;
  Duration Timeout{};
};

/// Calls to send and outcomes of completed operations.
struct StoreClientActions {
  std::vector<StoreCall> Calls;
  std::vector<StoreOutcome> Outcomes;
};

/// Counts of calls and failures, for metrics.
struct StoreClientCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Timeouts = 0;
  std::uint64_t Unavailable = 0;
  std::uint64_t Refused = 0;
  std::uint64_t StaleAnswers = 0;
  /// Writes with a lost answer, by the entry that the read-back found: this
  /// write's, another writer's, or the unchanged one.
  std::uint64_t ResolvedOwn = 0;
  std::uint64_t ResolvedOther = 0;
  std::uint64_t ResolvedUnchanged = 0;
  std::uint64_t BreakerRejections = 0;
  std::uint64_t BudgetDelays = 0;

  std::uint64_t calls() const { return Reads + Writes + Leases + Watches; }
};

/// Retry, timeout and rate parameters of a StoreClient.
struct StoreClientOptions {
  Duration CallTimeout = std::chrono::milliseconds(400);
  Duration InitialBackoff = std::chrono::milliseconds(20);
  Duration MaxBackoff = std::chrono::seconds(1);
  double CallsPerSecond = 50;
  double Burst = 100;
  CircuitBreaker::Options Breaker;
  /// False only in experiments that show which failure the resolution by write
  /// identity prevents.
  bool ResolveByIdentity = true;
};

/// Turns submitted operations into calls. Values of conditional writes must be
/// stamped by stampValue(), because the client resolves a lost answer by
/// reading the stamp back.
class StoreClient {
public:
  StoreClient(const StoreClientOptions &Options, std::uint64_t Seed);

  /// Submits an operation, which completes by \p Deadline, or when its call in
  /// flight at that time is answered or times out.
  StoreOperationId submit(StoreRequest Request, TimePoint Now,
                          TimePoint Deadline);
  /// Handles an answer; the answer to a call that timed out is ignored.
  void handleAnswer(StoreCallId Call, const StoreAnswer &Answer, TimePoint Now);
  /// Advances to \p Now; returns new calls and outcomes.
  StoreClientActions poll(TimePoint Now);
  /// The time at which poll() must be called next; TimePoint::max() if nothing
  /// is pending.
  TimePoint nextDue() const;

  const StoreClientCounters &counters() const { return Counters; }
  /// True while the circuit breaker is open.
  bool isUnreachable() const { return Breaker.isOpen(); }
  /// The highest revision that any answer carried.
  StoreRevision highestRevision() const { return HighestRevision; }

private:
  struct Operation {
    StoreRequest Request;
    TimePoint Deadline;
    TimePoint NextAttempt;
    std::uint32_t Attempts = 0;
    /// True once a call without an answer may have taken effect.
    bool MayHaveApplied = false;
    /// True while the call in flight is a read-back of the key.
    bool ReadingBack = false;
    /// The call in flight; zero for none.
    StoreCallId Call;
    TimePoint SentAt;
    TimePoint CallDeadline;
    StoreRevision HighestWhenSent;
    TimePoint FreshWhenSent = TimePoint::min();
    Reason LastReason = Reason::StoreUnavailable;
  };
  using Operations = std::map<StoreOperationId, Operation>;

  void trySend(StoreOperationId Id, Operation &Op, TimePoint Now);
  void count(const StoreRequest &Request);
  void handleLostAnswer(Operation &Op, TimePoint Now);
  void scheduleRetry(Operation &Op, TimePoint Now, Duration MinDelay);
  void processAnswer(StoreOperationId Id, Operation &Op,
                     const StoreAnswer &Answer, TimePoint Now);
  void resolve(StoreOperationId Id, Operation &Op, const StoreAnswer &Answer,
               const std::optional<StoreEntry> &Current, TimePoint Now);
  void finish(StoreOperationId Id, const Operation &Op, StoreStatus Status,
              Reason Cause, StoreAnswer Answer);
  void finishWithoutAnswer(StoreOperationId Id, const Operation &Op);

  StoreClientOptions Options;
  Random Generator;
  CircuitBreaker Breaker;
  CallBudget Budget;
  Operations Pending;
  std::map<StoreCallId, StoreOperationId> InFlight;
  std::uint64_t LastOperation = 0;
  std::uint64_t LastCall = 0;
  StoreRevision HighestRevision;
  /// The send time of the latest answered write or lease call.
  TimePoint FreshSince = TimePoint::min();
  StoreClientCounters Counters;
  StoreClientActions Actions;
};

} // namespace banyanworks

#endif
