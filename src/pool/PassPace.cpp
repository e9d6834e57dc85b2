/// \file
/// Implements PassPace.
#include "pool/PassPace.h"

#include <algorithm>

namespace banyanworks::pool {

void PassPace::passed(TimePoint Start, TimePoint End) {
  NextStart = End + std::min(PausePerPass * (End - Start), MaxPause);
}

} // namespace banyanworks::pool
