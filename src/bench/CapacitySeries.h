/// \file
/// Defines CapacitySeries, a cost that is measured at several sizes, and
/// functions to measure heap usage and processor time. Each series registers
/// itself in Registry<CapacitySeries>.
#ifndef BANYANWORKS_BENCH_CAPACITYSERIES_H
#define BANYANWORKS_BENCH_CAPACITYSERIES_H

#include "bench/LineFit.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanworks::bench {

/// A cost as a function of a size.
class CapacitySeries {
public:
  virtual ~CapacitySeries() = default;

  /// The role that incurs the cost, such as "owner of a failure domain".
  virtual std::string role() const = 0;
  /// Name of the cost, with its unit.
  virtual std::string cost() const = 0;
  /// Name of the size, with its unit.
  virtual std::string size() const = 0;
  /// The sizes to measure; at least four.
  virtual std::vector<double> sizes() const = 0;
  /// The size that one daemon is expected to handle in two years.
  virtual double targetSize() const = 0;
  /// Measures the cost at \p Size; negative if the run did not complete.
  virtual double measure(double Size, std::uint64_t Seed) = 0;
};

/// Heap memory in use, in bytes.
double heapBytes();

/// Processor time that this process has used, in seconds.
double processorSeconds();

} // namespace banyanworks::bench

#endif
