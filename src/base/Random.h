/// \file
/// Defines Random, the seeded random number generator of policies, tests and
/// benchmarks.
#ifndef BANYANWORKS_BASE_RANDOM_H
#define BANYANWORKS_BASE_RANDOM_H

#include <cstdint>

#include <pcg_random.hpp>

namespace banyanworks {

/// A PCG generator; a seed gives the same sequence on every platform.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns a uniform integer in [0, Bound); \p Bound must be positive.
  std::uint32_t below(std::uint32_t Bound) { return Engine(Bound); }
  /// Returns a uniform real number in [0, 1).
  double uniform() { return Engine() * 0x1p-32; }
  /// Returns true with the given probability, in [0, 1].
  bool withProbability(double Probability) { return uniform() < Probability; }
  /// Returns 64 uniform random bits.
  std::uint64_t bits() {
    std::uint64_t High = Engine();
    return (High << 32) | Engine();
  }

private:
  pcg32 Engine;
};

} // namespace banyanworks

#endif
