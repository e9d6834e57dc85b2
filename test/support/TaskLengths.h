/// \file
/// Defines lengthFactor(), the measured spread of task lengths within a step.
#ifndef BANYANWORKS_TEST_SUPPORT_TASKLENGTHS_H
#define BANYANWORKS_TEST_SUPPORT_TASKLENGTHS_H

#include "base/Random.h"

#include <cmath>

namespace banyanworks::testing {

/// Draws the length of a task relative to its step's typical length; one
/// standard deviation is a factor of exp(0.3).
inline double lengthFactor(Random &Generator) {
  // The sum of 12 uniform draws has a standard deviation of 1.
  double Sum = -6.0;
  for (int Draw = 0; Draw < 12; ++Draw)
    Sum += Generator.uniform();
  return std::exp(0.3 * Sum);
}

} // namespace banyanworks::testing

#endif
