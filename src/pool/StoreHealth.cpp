/// \file
/// Implements StoreHealth.
#include "pool/StoreHealth.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

constexpr std::uint64_t SpreadSteps = 16;

} // namespace

StoreHealth::CallNumber StoreHealth::callSent(TimePoint Now,
                                              TimePoint AnswerDue) {
  Pending[++LastCall] = {Now, AnswerDue};
  AnswersDue.insert(AnswerDue);
  return LastCall;
}

void StoreHealth::callEnded(CallNumber Number, bool Answered, TimePoint Now) {
  auto Found = Pending.find(Number);
  if (Found == Pending.end())
    return;
  PendingCall Call = Found->second;
  AnswersDue.erase(AnswersDue.find(Call.AnswerDue));
  Pending.erase(Found);
  if (Answered) {
    answerArriving(Now);
    return;
  }
  // A call that was due before the last answer says nothing about the time
  // since then. Calls that fail together, such as watches on cut connections,
  // are one failure.
  if (Call.AnswerDue < LastAnswer ||
      (Failures > 0 && Call.SentAt < LastFailure))
    return;
  LastFailure = Now;
  ++Failures;
}

void StoreHealth::answerArriving(TimePoint Now) {
  LastAnswer = Now;
  Failures = 0;
}

bool StoreHealth::available(TimePoint Now) const {
  if (Failures >= Limits.MaxFailures)
    return false;
  auto Oldest = AnswersDue.upper_bound(LastAnswer);
  return Oldest == AnswersDue.end() || Now - *Oldest < Limits.MaxSilence;
}

Duration StoreHealth::retryAfter(TimePoint Now, std::uint64_t SpreadKey) const {
  Duration Delay = std::clamp<Duration>(
      (Now - LastAnswer) / 2, Limits.MinRetryAfter, Limits.MaxRetryAfter);
  return Delay + Delay * static_cast<int>(SpreadKey % SpreadSteps) /
                     static_cast<int>(SpreadSteps);
}

} // namespace banyanworks::pool
