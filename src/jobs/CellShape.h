/// \file
/// Defines CellShape, one kind of guaranteed cell with its sizes normalised.
#ifndef BANYANWORKS_JOBS_CELLSHAPE_H
#define BANYANWORKS_JOBS_CELLSHAPE_H

#include "jobs/CellTree.h"
#include "model/Configuration.h"

#include <string>

namespace banyanworks {

/// A kind of guaranteed cell.
struct CellShape {
  CellLevel Level = CellLevel::Group;
  /// Accelerators of a Group, a power of two; 0 for Worker and Rack.
  std::int32_t Accelerators = 0;
  /// Workers, all of one kind and in one rack; 0 for a Group.
  std::int32_t Workers = 0;
  /// Empty for any model.
  std::string AcceleratorModel;

  bool operator==(const CellShape &) const = default;

  /// True if the cell may lie on workers of that kind.
  bool matches(const WorkerKind &Kind) const;
  /// Accelerators of one cell on workers of that kind.
  std::int32_t acceleratorCount(const WorkerKind &Kind) const;
};

/// The shape that a configuration asks for; a Group is rounded up to a power
/// of two.
CellShape shapeOf(const GuaranteedCell &Cell);

/// The order in which shapes are carved: those bound to a model before others,
/// within these the large before the small.
bool packsBefore(const CellShape &Left, const CellShape &Right);

} // namespace banyanworks

#endif
