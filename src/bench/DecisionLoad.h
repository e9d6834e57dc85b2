/// \file
/// Defines DecisionLoad, which times placement decisions in one failure domain
/// that is kept busy with many small tasks and guaranteed gangs.
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

/// Decision times in microseconds, one for each decision.
struct DecisionTimes {
  std::vector<double> CpuOnlyTask;
  std::vector<double> AcceleratorTask;
  std::vector<double> GuaranteedTask;
  std::vector<double> CpuOnlyGang;
  std::vector<double> AcceleratorGang;
  /// Victims chosen for a task under a guarantee while all is lent.
  std::vector<double> Reclaim;
  std::uint64_t Tasks = 0;
  /// Gangs of 128 that found no place; their times count, too.
  std::uint64_t UnplacedGangs = 0;
  std::uint64_t FailedReclaims = 0;
};

/// The value below which that share of the times lies.
double percentile(std::vector<double> Times, double Share);

/// The proportions of the target size, 1,200 workers of which 225 have eight
/// accelerators and 25 tasks a worker, scaled to a number of workers.
class DecisionLoad {
public:
  DecisionLoad(std::uint32_t Workers, std::uint64_t Seed);

  /// Times decisions, each a place that is found, taken and charged, while as
  /// many gangs end as start.
  DecisionTimes measure(std::uint32_t Decisions);

private:
  enum class JobClass { CpuOnly, Accelerator, Guaranteed };

  std::shared_ptr<JobSpec> drawJob(JobClass Class);
  struct Decision {
    double Microseconds = 0;
    bool Placed = false;
  };

  /// Places a gang and keeps it if \p Keep.
  Decision placeGang(const std::shared_ptr<const JobSpec> &Spec, bool Retain);
  void endGang(const std::shared_ptr<const JobSpec> &Spec);
  void configureGuarantees(std::uint32_t Workers);
  /// Lends all that is left and times the choice of victims.
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
