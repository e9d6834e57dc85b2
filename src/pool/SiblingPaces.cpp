/// \file
/// Implements SiblingPaces.
#include "pool/SiblingPaces.h"

#include <algorithm>

namespace banyanworks::pool {

double SiblingPaces::median() const {
  std::vector<double> Paces;
  Paces.reserve(Known.size());
  for (const PaceComparison &Each : Known)
    Paces.push_back(Each.Ratio);
  auto Middle = Paces.begin() + static_cast<std::ptrdiff_t>(Paces.size() / 2);
  std::nth_element(Paces.begin(), Middle, Paces.end());
  return *Middle;
}

std::vector<PaceComparison> SiblingPaces::add(const WorkerId &Worker,
                                              double Pace) {
  Known.push_back({Worker, Pace});
  if (Known.size() < LeastTasks)
    return {};
  double Middle = median();
  if (Middle <= 0.0)
    return {};
  std::vector<PaceComparison> Result;
  if (Known.size() == LeastTasks)
    Result = Known;
  else
    Result.push_back(Known.back());
  for (PaceComparison &Each : Result)
    Each.Ratio /= Middle;
  return Result;
}

} // namespace banyanworks::pool
