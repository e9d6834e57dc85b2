/// \file
/// Defines Resources, the capacity of a worker or the demand of a task.
#ifndef BANYANWORKS_BASE_UNITS_H
#define BANYANWORKS_BASE_UNITS_H

#include <compare>
#include <cstdint>

namespace banyanworks {

/// Processor time in thousandths of a core, memory in MiB, and whole
/// accelerators. Components of a difference may be negative.
struct Resources {
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMiB = 0;
  std::int32_t Accelerators = 0;

  Resources &operator+=(const Resources &Other) {
    MilliCores += Other.MilliCores;
    MemoryMiB += Other.MemoryMiB;
    Accelerators += Other.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    MilliCores -= Other.MilliCores;
    MemoryMiB -= Other.MemoryMiB;
    Accelerators -= Other.Accelerators;
    return *this;
  }
  friend Resources operator+(Resources Left, const Resources &Right) {
    return Left += Right;
  }
  friend Resources operator-(Resources Left, const Resources &Right) {
    return Left -= Right;
  }
  friend Resources operator*(Resources Left, std::int32_t Count) {
    Left.MilliCores *= Count;
    Left.MemoryMiB *= Count;
    Left.Accelerators *= Count;
    return Left;
  }
  bool operator==(const Resources &) const = default;

  /// Returns true if no component exceeds that of \p Available.
  bool fitsIn(const Resources &Available) const {
    return MilliCores <= Available.MilliCores &&
           MemoryMiB <= Available.MemoryMiB &&
           Accelerators <= Available.Accelerators;
  }
};

} // namespace banyanworks

#endif
