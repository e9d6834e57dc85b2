/// \file
/// Implements the kinds of guaranteed cells.
#include "jobs/CellShape.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace banyanworks {

bool CellShape::matches(const WorkerKind &Kind) const {
  return Kind.Accelerators >= std::max(Accelerators, 1) &&
         (AcceleratorModel.empty() ||
          AcceleratorModel == Kind.AcceleratorModel);
}

std::int32_t CellShape::acceleratorCount(const WorkerKind &Kind) const {
  return Level == CellLevel::Group ? Accelerators : Workers * Kind.Accelerators;
}

CellShape shapeOf(const GuaranteedCell &Cell) {
  CellShape Result;
  Result.Level = Cell.Level;
  Result.AcceleratorModel = Cell.AcceleratorModel;
  switch (Cell.Level) {
  case CellLevel::Group:
    Result.Accelerators = static_cast<std::int32_t>(
        std::bit_ceil(static_cast<std::uint32_t>(Cell.Accelerators)));
    break;
  case CellLevel::Worker:
    Result.Workers = 1;
    break;
  case CellLevel::Rack:
    Result.Workers = Cell.Workers;
    break;
  }
  return Result;
}

bool packsBefore(const CellShape &Left, const CellShape &Right) {
  auto Rank = [](const CellShape &Shape) {
    // Whole workers come before groups of any model, since a group can be had
    // from a broken worker too.
    bool Group = Shape.Level == CellLevel::Group;
    return std::make_tuple(Group, Shape.AcceleratorModel.empty(),
                           -Shape.Workers, -Shape.Accelerators,
                           Shape.AcceleratorModel);
  };
  return Rank(Left) < Rank(Right);
}

} // namespace banyanworks
