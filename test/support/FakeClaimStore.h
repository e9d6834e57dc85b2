/// \file
/// Defines FakeClaimStore, an in-memory store of claim log records, and the
/// fault rates of store calls.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKECLAIMSTORE_H
#define BANYANWORKS_TEST_SUPPORT_FAKECLAIMSTORE_H

#include "requests/RequestEvents.h"

#include <map>

namespace banyanworks {

/// Fault probabilities per store call.
struct StoreFaults {
  /// The call does not reach the store and times out.
  double CallLost = 0;
  /// The call takes effect, but its answer is lost.
  double AnswerLost = 0;
  /// The call takes effect only after the caller timed out.
  double EffectLate = 0;
};

/// Stores the records with the conditional writes of the platform's store.
class FakeClaimStore {
public:
  ClaimAnswered record(const RecordClaims &Call) {
    ++Writes;
    ClaimAnswered Answer{Call.Batch.Number, Call.Batch.Writer,
                         ClaimWrite::Done};
    if (Conditional && Batches.contains(Call.Batch.Number))
      Answer.Result = ClaimWrite::Conflict;
    else
      Batches[Call.Batch.Number] = Call.Batch;
    return Answer;
  }

  ClaimLogOpened open(const OpenClaimLog &Call) {
    ++Writes;
    if (Conditional && Call.ExpectedVersion != HeadVersion)
      return {Call.Writer, ClaimWrite::Conflict};
    ++HeadVersion;
    HeadStart = Call.Start;
    return {Call.Writer, ClaimWrite::Done};
  }

  ClaimsLoaded load(const LoadClaims &Call) const {
    ClaimsLoaded Answer;
    Answer.FirstNumber = Call.FirstNumber;
    Answer.Complete = true;
    Answer.HeadVersion = HeadVersion;
    Answer.HeadStart = HeadStart;
    for (auto It = Batches.lower_bound(Call.FirstNumber); It != Batches.end();
         ++It)
      Answer.Batches.push_back(It->second);
    return Answer;
  }

  bool Conditional = true;
  std::uint64_t Writes = 0;

private:
  std::uint64_t HeadVersion = 0;
  std::uint64_t HeadStart = 0;
  std::map<std::uint64_t, ClaimBatch> Batches;
};

} // namespace banyanworks

#endif
