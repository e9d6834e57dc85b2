/// \file
/// Implements the least-squares fit.
#include "bench/LineFit.h"

#include "base/Check.h"

#include <algorithm>
#include <cmath>

namespace banyanworks::bench {

LineFit fitLine(const std::vector<Point> &Points) {
  BANYANWORKS_CHECK(Points.size() >= 2, "a line fit needs at least two points");
  double Count = static_cast<double>(Points.size());
  double SumSize = 0;
  double SumCost = 0;
  double SumSquare = 0;
  double SumProduct = 0;
  double MaxCost = 0;
  for (const Point &Each : Points) {
    SumSize += Each.Size;
    SumCost += Each.Cost;
    SumSquare += Each.Size * Each.Size;
    SumProduct += Each.Size * Each.Cost;
    MaxCost = std::max(MaxCost, std::abs(Each.Cost));
  }
  LineFit Line;
  double Denominator = Count * SumSquare - SumSize * SumSize;
  Line.Slope = (Count * SumProduct - SumSize * SumCost) / Denominator;
  Line.Intercept = (SumCost - Line.Slope * SumSize) / Count;
  for (const Point &Each : Points) {
    double Residual = std::abs(Each.Cost - Line.costAt(Each.Size));
    if (MaxCost > 0)
      Line.MaxRelativeError =
          std::max(Line.MaxRelativeError, Residual / MaxCost);
  }
  return Line;
}

} // namespace banyanworks::bench
