/// \file
/// Implements StartEvidence.
#include "pool/StartEvidence.h"

namespace banyanworks::pool {

void StartEvidence::answered(OrderResult Result) {
  AwaitedSince.reset();
  Started = Started || mayHaveTakenEffect(Result);
}

} // namespace banyanworks::pool
