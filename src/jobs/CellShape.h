/// \file
/// Defines CellShape, the normalised size and accelerator model of a guaranteed
/// cell.
#ifndef BANYANWORKS_JOBS_CELLSHAPE_H
#define BANYANWORKS_JOBS_CELLSHAPE_H

#include "jobs/CellTree.h"
#include "model/Configuration.h"

#include <string>

namespace banyanworks {

/// The size and accelerator model of a guaranteed cell.
struct CellShape {
  CellLevel Level = CellLevel::Group;
  /// Number of accelerators of a Group, a power of two; 0 for Worker and Rack.
  std::int32_t Accelerators = 0;
  /// Number of whole workers, all of one kind and in one rack; 0 for a Group.
  std::int32_t Workers = 0;
  /// Empty for any model.
  std::string AcceleratorModel;

  bool operator==(const CellShape &) const = default;

  /// Returns true if workers of the kind can hold the cell.
  bool matches(const WorkerKind &Kind) const;
  /// Returns the number of accelerators of one cell on workers of the kind.
  std::int32_t acceleratorCount(const WorkerKind &Kind) const;
};

/// Returns the shape of a configured cell. The size of a Group is rounded up to
/// a power of two.
CellShape shapeOf(const GuaranteedCell &Cell);

/// Returns true if \p Left precedes \p Right in packing order: whole workers
/// before groups, then shapes with a model before those without, then larger
/// before smaller.
bool packsBefore(const CellShape &Left, const CellShape &Right);

} // namespace banyanworks

#endif
