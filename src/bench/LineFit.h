/// \file
/// Defines LineFit, a least-squares line through measured points, which
/// extrapolates costs to larger sizes.
#ifndef BANYANWORKS_BENCH_LINEFIT_H
#define BANYANWORKS_BENCH_LINEFIT_H

#include <vector>

namespace banyanworks::bench {

/// One measurement at one size.
struct Point {
  double Size = 0;
  double Cost = 0;
};

/// The least-squares line Cost = Intercept + Slope * Size.
struct LineFit {
  double Intercept = 0;
  double Slope = 0;
  /// The largest absolute residual, relative to the largest cost.
  double MaxRelativeError = 0;

  double costAt(double Size) const { return Intercept + Slope * Size; }
};

/// Fits a line to at least two points of different sizes.
LineFit fitLine(const std::vector<Point> &Points);

} // namespace banyanworks::bench

#endif
