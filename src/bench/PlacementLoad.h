/// \file
/// Defines PlacementLoad, a seeded sequence of gangs that arrive at and leave
/// one failure domain in virtual time, placed by a policy.
#ifndef BANYANWORKS_BENCH_PLACEMENTLOAD_H
#define BANYANWORKS_BENCH_PLACEMENTLOAD_H

#include "base/Random.h"
#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/Placement.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanworks::bench {

/// A failure domain's workers.
struct ClusterSize {
  std::uint32_t AcceleratorWorkers = 17;
  std::uint32_t CpuOnlyWorkers = 0;
  std::uint32_t WorkersPerRack = 8;
  Resources PerWorker{32000, 131072, 8};
};

/// Fills the tree; workers without accelerators have the same cores and memory
/// and racks of their own.
void addWorkers(CellTree &Cells, const ClusterSize &Size);

/// How a load is placed.
struct LoadSettings {
  std::string Placement = "cell-fit";
  /// The share of accelerators that is kept in use.
  double Occupancy = 0.85;
  /// Gangs moved in one plan; zero for no migrations.
  std::uint32_t Migrations = 0;
  std::uint64_t Seed = 1;
};

/// What a load did.
struct LoadCounts {
  std::uint64_t Started = 0;
  std::uint64_t Moved = 0;
  double WorkDone = 0;
  double WorkLostToMoves = 0;
};

/// Gangs of heavy-tailed run time with one member of 1, 2, 4 or 8 accelerators
/// each, or with several. A gang that does not fit waits in a short queue while
/// others pass it.
class PlacementLoad {
public:
  PlacementLoad(const ClusterSize &Size, const LoadSettings &Settings);

  /// One gang starts or ends.
  void step();

  const CellTree &cells() const { return Cells; }
  const LoadCounts &counts() const { return Counts; }
  double occupancy() const;

private:
  std::shared_ptr<const JobSpec> drawJob();
  bool startNextGang();
  void start(const std::shared_ptr<const JobSpec> &Spec,
             std::vector<MemberPlacement> Members);
  void endNextGang();
  void migrate();
  std::vector<RunningGang> running() const;

  LoadSettings Settings;
  Random Rng;
  CellTree Cells;
  GuaranteeLedger Ledger;
  std::unique_ptr<PlacementPolicy> Policy;
  std::deque<std::shared_ptr<const JobSpec>> Waiting;
  std::map<JobId, RunningGang> Gangs;
  std::multimap<TimePoint, JobId> EndTimes;
  LoadCounts Counts;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  std::uint64_t LastJob = 0;
};

} // namespace banyanworks::bench

#endif
