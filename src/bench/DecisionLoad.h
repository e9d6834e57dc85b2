/// \file
/// Defines DecisionLoad, which measures the time of placement decisions in one
/// failure domain under a load of many small tasks and guaranteed gangs.
#ifndef BANYANWORKS_BENCH_DECISIONLOAD_H
#define BANYANWORKS_BENCH_DECISIONLOAD_H

#include "base/Random.h"
#include "bench/PlacementLoad.h"
#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace banyanworks::bench {

/// Times of individual decisions, in microseconds.
struct DecisionTimes {
  std::vector<double> CpuOnlyTask;
  std::vector<double> AcceleratorTask;
  std::vector<double> GuaranteedTask;
  std::vector<double> CpuOnlyGang;
  std::vector<double> AcceleratorGang;
  /// Choice of victims for a guaranteed task while borrowing gangs use all
  /// remaining accelerators.
  std::vector<double> Reclaim;
  std::uint64_t Tasks = 0;
  /// Gangs of 128 members without a placement; their times are included.
  std::uint64_t UnplacedGangs = 0;
  std::uint64_t FailedReclaims = 0;
};

/// Returns the value at the quantile \p Share, from 0 to 1, of \p Times; zero
/// if there are none.
double percentile(std::vector<double> Times, double Share);

/// A load with the proportions of the target size (1,200 workers, of which 225
/// have eight accelerators, with 25 tasks per worker), scaled to a number of
/// workers.
class DecisionLoad {
public:
  DecisionLoad(std::uint32_t Workers, std::uint64_t Seed);

  /// Measures decisions, each including the search, the allocation and the
  /// charge to the guarantee. A gang ends for each gang that starts.
  DecisionTimes measure(std::uint32_t Decisions);

private:
  enum class JobClass { CpuOnly, Accelerator, Guaranteed };

  std::shared_ptr<JobSpec> drawJob(JobClass Class);
  struct Decision {
    double Microseconds = 0;
    bool Placed = false;
  };

  /// Places a gang; ends it again unless \p Retain is set.
  Decision placeGang(const std::shared_ptr<const JobSpec> &Spec, bool Retain);
  void endGang(const std::shared_ptr<const JobSpec> &Spec);
  void configureGuarantees(std::uint32_t Workers);
  /// Fills the free accelerators with borrowing gangs and measures the choice
  /// of victims.
  void measureReclaim(DecisionTimes &Times);
  void replaceRunningGang(JobClass Class, std::vector<double> &Times);

  Random Rng;
  CellTree Cells;
  GuaranteeLedger Ledger;
  std::unique_ptr<PlacementPolicy> Policy;
  std::array<std::vector<std::shared_ptr<const JobSpec>>, 3> Running;
  std::uint32_t Workspaces = 0;
  std::uint64_t LastJob = 0;
};

} // namespace banyanworks::bench

#endif
