/// \file
/// Defines BenchCommand, the interface of a benchmark that produces one table.
/// Each implementation registers itself in Registry<BenchCommand>.
#ifndef BANYANWORKS_BENCH_BENCHCOMMAND_H
#define BANYANWORKS_BENCH_BENCHCOMMAND_H

#include <string>
#include <vector>

#include <CLI/CLI.hpp>

namespace banyanworks::bench {

/// One measured row of a table.
struct BenchRow {
  std::string Measure;
  /// The configuration that was measured, such as a deployment or a size.
  std::string Case;
  /// The measured value with its unit, or "not measured".
  std::string Value;
  /// The target with its unit; empty if there is none.
  std::string Target;
  /// Whether the target is met: "yes", "no", or empty where there is no target
  /// or no measurement.
  std::string Met;
};

/// A table that a subcommand prints.
struct BenchTable {
  std::string Title;
  std::vector<BenchRow> Rows;
};

/// A subcommand that measures one table.
class BenchCommand {
public:
  virtual ~BenchCommand() = default;

  /// One-line description of the measurement for the help text.
  virtual std::string description() const = 0;
  /// Registers the command-line flags for seeds and sizes.
  virtual void addFlags(CLI::App &Command) = 0;
  /// Runs the measurement; may be called only once.
  virtual BenchTable run() = 0;
};

} // namespace banyanworks::bench

#endif
