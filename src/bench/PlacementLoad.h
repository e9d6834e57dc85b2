/// \file
/// Defines PlacementLoad, a seeded sequence of gangs that start and end in one
/// failure domain in virtual time, placed by a policy.
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

/// The workers of a failure domain.
struct ClusterSize {
  std::uint32_t AcceleratorWorkers = 17;
  std::uint32_t CpuOnlyWorkers = 0;
  std::uint32_t WorkersPerRack = 8;
  Resources PerWorker{32000, 131072, 8};
};

/// Adds workers to \p Cells. CPU-only workers have the same cores and memory as
/// the others and are placed in separate racks.
void addWorkers(CellTree &Cells, const ClusterSize &Size);

/// Parameters of a load and its placement policy.
struct LoadSettings {
  std::string Placement = "cell-fit";
  /// Fraction of the accelerators that the load keeps in use.
  double Occupancy = 0.85;
  /// Maximum number of gangs in one migration plan; zero disables migrations.
  std::uint32_t Migrations = 0;
  std::uint64_t Seed = 1;
};

/// Counters of a load. Work is in accelerator seconds.
struct LoadCounts {
  std::uint64_t Started = 0;
  std::uint64_t Moved = 0;
  double WorkDone = 0;
  double WorkLostToMoves = 0;
};

/// A load of gangs with heavy-tailed run times and one to four members of 1, 2,
/// 4 or 8 accelerators each. A gang that does not fit waits in a short queue,
/// and later gangs may start before it.
class PlacementLoad {
public:
  PlacementLoad(const ClusterSize &Size, const LoadSettings &Settings);

  /// Starts or ends one gang.
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
