/// \file
/// Defines StoreClient, which carries operations to the store through lost
/// answers, stalls and outages and reports what is known about each.
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

/// One operation that a part of the daemon gave to the client.
using StoreOperationId = Number<struct StoreOperationTag>;

/// What is known at the end of an operation.
enum class StoreStatus : std::uint8_t {
  /// It took effect, or was read from a state that is not stale.
  Done,
  /// It did not take effect: the key held another value, or the lease is gone.
  Conflict,
  /// It did not take effect: it was never sent, or each call was refused.
  NotApplied,
  /// It may have taken effect and been overwritten since; the current value is
  /// given.
  Overwritten,
  /// It may have taken effect.
  Unknown,
};

/// The end of an operation.
struct StoreOutcome {
  StoreOperationId Operation;
  StoreStatus Status = StoreStatus::Unknown;
  /// Why, unless the status is Done.
  Reason Why = Reason::None;
  /// The answer for Done; ConflictAnswer or LeaseGoneAnswer for Conflict and
  /// Overwritten.
  StoreAnswer Answer;
  /// When the answered call was sent; the lower bound of when it took effect.
  TimePoint SentAt;
  /// For a read: it shows the store as it was at this time or later. A store
  /// that fails over may answer reads, but no write or lease call, from an old
  /// state; so this counts from the newest of those that came before the read.
  TimePoint FreshSince = TimePoint::min();
  /// When to try again, for NotApplied.
  Duration RetryAfter{};
};

/// A call for the adapter to send. It must report an answer or let it time out
/// here; the adapter itself never sends a call twice.
struct StoreCall {
  StoreCallId Call;
  StoreRequest Request;
  Duration Timeout{};
};

/// Calls to send and operations that ended.
struct StoreClientActions {
  std::vector<StoreCall> Calls;
  std::vector<StoreOutcome> Outcomes;
};

/// What was sent and what went wrong, for metrics.
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
  /// Writes with a lost answer, by what reading back showed.
  std::uint64_t ResolvedOwn = 0;
  std::uint64_t ResolvedOther = 0;
  std::uint64_t ResolvedUnchanged = 0;
  std::uint64_t BreakerRejections = 0;
  std::uint64_t BudgetDelays = 0;

  std::uint64_t calls() const { return Reads + Writes + Leases + Watches; }
};

/// Retries, time limits and the rate of a StoreClient.
struct StoreClientOptions {
  Duration CallTimeout = std::chrono::milliseconds(400);
  Duration InitialBackoff = std::chrono::milliseconds(20);
  Duration MaxBackoff = std::chrono::seconds(1);
  double CallsPerSecond = 50;
  double Burst = 100;
  CircuitBreaker::Options Breaker;
  /// Off only to show what the protection prevents.
  bool ResolveByIdentity = true;
};

/// Takes operations and returns calls. Conditional writes must be stamped by
/// stampValue(); a lost answer is resolved by reading the stamp back.
class StoreClient {
public:
  StoreClient(const StoreClientOptions &Options, std::uint64_t Seed);

  /// Takes an operation that must end by \p Deadline.
  StoreOperationId submit(StoreRequest Request, TimePoint Now,
                          TimePoint Deadline);
  /// Takes an answer; one to a call that timed out is ignored.
  void handleAnswer(StoreCallId Call, const StoreAnswer &Answer, TimePoint Now);
  /// Lets time pass and returns what there is to do.
  StoreClientActions poll(TimePoint Now);
  /// When poll() next has something to do.
  TimePoint nextDue() const;

  const StoreClientCounters &counters() const { return Counters; }
  /// True while the store is taken to be unreachable.
  bool isUnreachable() const { return Breaker.isOpen(); }
  /// The highest revision in any answer.
  StoreRevision highestRevision() const { return HighestRevision; }

private:
  struct Operation {
    StoreRequest Request;
    TimePoint Deadline;
    TimePoint NextAttempt;
    std::uint32_t Attempts = 0;
    /// True once some call may have taken effect without an answer.
    bool MayHaveApplied = false;
    /// True while the operation reads the key back.
    bool ReadingBack = false;
    /// Zero while no call is out.
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
  void lostAnswer(Operation &Op, TimePoint Now);
  void scheduleRetry(Operation &Op, TimePoint Now, Duration MinDelay);
  void processAnswer(StoreOperationId Id, Operation &Op,
                     const StoreAnswer &Answer, TimePoint Now);
  void resolve(StoreOperationId Id, Operation &Op, const StoreAnswer &Answer,
               const std::optional<StoreEntry> &Current, TimePoint Now);
  void finish(StoreOperationId Id, const Operation &Op, StoreStatus Status,
              Reason Why, StoreAnswer Answer);
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
  /// When the newest answered write or lease call was sent.
  TimePoint FreshSince = TimePoint::min();
  StoreClientCounters Counters;
  StoreClientActions Actions;
};

} // namespace banyanworks

#endif
