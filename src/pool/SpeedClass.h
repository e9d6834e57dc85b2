/// \file
/// Defines SpeedClass, a worker's speed relative to most workers.
#ifndef BANYANWORKS_POOL_SPEEDCLASS_H
#define BANYANWORKS_POOL_SPEEDCLASS_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace banyanworks::pool {

/// Ordered from slow to fast.
enum class SpeedClass : std::uint8_t { Slow, Common, Fast };

inline constexpr std::size_t SpeedClasses = 3;

constexpr std::string_view speedClassName(SpeedClass Class) {
  switch (Class) {
  case SpeedClass::Slow:
    return "slow";
  case SpeedClass::Common:
    return "common";
  case SpeedClass::Fast:
    return "fast";
  }
  return "unknown";
}

} // namespace banyanworks::pool

#endif
