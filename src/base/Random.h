/// \file
/// Defines the seeded generator that policies, tests and benchmarks share.
#ifndef BANYANWORKS_BASE_RANDOM_H
#define BANYANWORKS_BASE_RANDOM_H

#include <cstdint>

#include <pcg_random.hpp>

namespace banyanworks {

/// A small, fast generator with the same sequence on every machine.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// A uniform number in [0, Bound); \p Bound must be positive.
  std::uint32_t below(std::uint32_t Bound) { return Engine(Bound); }
  /// A uniform number in [0, 1).
  double uniform() { return Engine() * 0x1p-32; }
  /// True with the probability \p Share.
  bool withProbability(double Probability) { return uniform() < Probability; }
  /// 64 uniform bits.
  std::uint64_t bits() {
    std::uint64_t High = Engine();
    return (High << 32) | Engine();
  }

private:
  pcg32 Engine;
};

} // namespace banyanworks

#endif
