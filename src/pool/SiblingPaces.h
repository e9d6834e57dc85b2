/// \file
/// Defines SiblingPaces, which compares tasks of one step that run on different
/// workers.
#ifndef BANYANWORKS_POOL_SIBLINGPACES_H
#define BANYANWORKS_POOL_SIBLINGPACES_H

#include "base/Ids.h"

#include <cstddef>

#include <vector>

namespace banyanworks::pool {

/// How a task's pace compares with that of the tasks like it.
struct PaceComparison {
  WorkerId Worker;
  double Ratio = 1.0;
};

/// The paces of tasks that ask for the same work, each on its own.
class SiblingPaces {
public:
  /// A task has gone on at \p Pace on \p Worker. Returns the comparisons that
  /// this makes possible: none until enough tasks are known, then those of all
  /// of them, and from then on the task's own.
  std::vector<PaceComparison> add(const WorkerId &Worker, double Pace);

private:
  /// The median of fewer tells little.
  static constexpr std::size_t LeastTasks = 4;

  double median() const;

  std::vector<PaceComparison> Known;
};

} // namespace banyanworks::pool

#endif
