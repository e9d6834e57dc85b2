/// \file
/// Defines the fragmentation metric: the ratio of the gangs that fit now to
/// those that would fit if the same free accelerators were packed perfectly.
#ifndef BANYANWORKS_JOBS_FRAGMENTATION_H
#define BANYANWORKS_JOBS_FRAGMENTATION_H

#include <cstdint>
#include <vector>

namespace banyanworks {

class CellTree;

/// Number of gangs of one size that fit.
struct GangSizeFit {
  /// Accelerators of one gang: on one worker up to the size of a worker, beyond
  /// that on whole workers of one rack.
  std::int32_t Accelerators = 0;
  std::int64_t FitNow = 0;
  std::int64_t FitPacked = 0;

  /// FitNow / FitPacked, or 1 if FitPacked is 0.
  double share() const;
};

/// Measures gang sizes from one accelerator to a rack, in powers of two up to
/// one worker and then of whole workers. Only the worker kind with the most
/// accelerators in total is measured.
std::vector<GangSizeFit> measureFragmentation(const CellTree &Cells);

/// The mean of share() over the sizes with a non-zero FitPacked; 1 if there are
/// none.
double meanShare(const std::vector<GangSizeFit> &Sizes);

} // namespace banyanworks

#endif
