/// \file
/// Implements WorkerSpeed.
#include "pool/WorkerSpeed.h"

#include <algorithm>

namespace banyanworks::pool {

void WorkerSpeed::sample(double Ratio) {
  if (Ratio < LeastRatio || Ratio > MostRatio)
    return;
  ++Samples;
  Mean += std::max(LeastWeight, 1.0 / Samples) * (Ratio - Mean);
}

} // namespace banyanworks::pool
