/// \file
/// Implements OutageDetector.
#include "pool/OutageDetector.h"

#include <algorithm>

namespace banyanworks::pool {

void OutageDetector::workerSilent(TimePoint At) {
  SilentAt.push_back(At);
  while (At - SilentAt.front() > Memory)
    SilentAt.pop_front();
}

bool OutageDetector::isOutage(TimePoint At, std::size_t Workers) const {
  auto Lost =
      std::count_if(SilentAt.begin(), SilentAt.end(), [At](TimePoint Other) {
        return At - Other <= Window && Other - At <= Window;
      });
  return static_cast<double>(Lost) >=
         std::max(1.0, static_cast<double>(Workers) * MinShare);
}

} // namespace banyanworks::pool
