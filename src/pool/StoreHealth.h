/// \file
/// Defines StoreHealth, what a daemon knows of its connection to the store.
#ifndef BANYANWORKS_POOL_STOREHEALTH_H
#define BANYANWORKS_POOL_STOREHEALTH_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <set>

namespace banyanworks::pool {

struct StoreHealthLimits {
  /// Time after which a call without an answer is overdue; above the response
  /// time of a slow store (0.4 s).
  Duration MaxSilence = std::chrono::milliseconds(600);
  /// Consecutive failures after which the store is unavailable. One failure
  /// can be a single lost answer or a watch that the store has cut.
  std::uint32_t MaxFailures = 2;
  /// Bounds of the retry time before its spread; the upper one keeps a caller's
  /// delay after the return of the store below the slack of most jobs.
  Duration MinRetryAfter = std::chrono::seconds(1);
  Duration MaxRetryAfter = std::chrono::seconds(2);
};

/// Derives from a daemon's own calls whether the store is available.
///
/// The load that it addresses: in an outage, each entry sends a write for each
/// request and learns only from its timeout that the store does not answer. Up
/// to 40 requests a day were answered as unknown although they had reached
/// nothing.
///
/// The store is unavailable if consecutive calls failed, or if a call is
/// overdue and no other call was answered since that answer was due. Any answer
/// makes it available again; the watches go on asking in an outage.
class StoreHealth {
public:
  using CallNumber = std::uint64_t;

  explicit StoreHealth(const StoreHealthLimits &Limits = {}) : Limits(Limits) {}

  /// Records a call to which the store may answer as late as \p AnswerDue
  /// without delay of its own: the time of the call plus its wait time.
  CallNumber callSent(TimePoint Now, TimePoint AnswerDue);
  /// Records the end of a call. A call that the store rejected was answered.
  void callEnded(CallNumber Number, bool Answered, TimePoint Now);

  /// Records that a part of an answer has arrived. A store that is sending a
  /// large answer is available.
  void answerArriving(TimePoint Now);

  bool available(TimePoint Now) const;
  /// Returns the retry time for a caller that is rejected in an outage. It
  /// grows with the outage, and is spread by \p SpreadKey by up to its own
  /// length so that callers do not return together.
  Duration retryAfter(TimePoint Now, std::uint64_t SpreadKey) const;

private:
  struct PendingCall {
    TimePoint SentAt;
    TimePoint AnswerDue;
  };

  StoreHealthLimits Limits;
  std::map<CallNumber, PendingCall> Pending;
  /// Times at which the answers of the pending calls are due.
  std::multiset<TimePoint> AnswersDue;
  CallNumber LastCall = 0;
  TimePoint LastAnswer;
  TimePoint LastFailure;
  std::uint32_t Failures = 0;
};

} // namespace banyanworks::pool

#endif
