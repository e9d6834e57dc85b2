/// \file
/// Defines the deployments and the seeded workloads of the benchmark of the job
/// plane.
#ifndef BANYANWORKS_BENCH_JOBSWORKLOAD_H
#define BANYANWORKS_BENCH_JOBSWORKLOAD_H

#include "base/Time.h"
#include "model/Configuration.h"
#include "model/Job.h"
#include "model/Worker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanworks::bench {

/// The size of a deployment, its offered load and its failures.
struct Deployment {
  std::string Name;
  std::uint32_t Domains = 3;
  /// Workers with accelerators, and CPU-only workers, per failure domain.
  std::uint32_t AcceleratorWorkers = 17;
  std::uint32_t CpuOnlyWorkers = 0;
  Resources PerAcceleratorWorker;
  Resources PerCpuOnlyWorker;
  std::uint32_t Workspaces = 4;
  /// Interval in which jobs arrive.
  Duration ArrivalSpan = std::chrono::hours(24);
  /// Offered load as a fraction of the accelerators, and of the cores of the
  /// CPU-only workers, under perfect packing.
  double Load = 0.85;
  /// One failure domain is out of service in this interval.
  Duration OutageStart = std::chrono::hours(10);
  Duration OutageEnd = std::chrono::hours(11);
  /// Every task on one worker of each failure domain fails in this interval.
  Duration FailureStart = std::chrono::hours(2);
  Duration FailureEnd = std::chrono::hours(8);
};

/// A job with its true run time, which may differ from the declared one.
struct SimulatedJob {
  JobSpec Spec;
  TimePoint SubmittedAt;
  Duration RunTime{};
  /// Every run of the job fails, on any worker.
  bool AlwaysFails = false;
};

Deployment hanbit();
Deployment adeyemi();
/// 11 failure domains with 1,200 workers and 1,800 accelerators.
Deployment targetSize();

DomainId makeDomainId(std::uint32_t Index);
WorkspaceId makeWorkspaceId(std::uint32_t Index);
/// Returns the workers of one failure domain.
std::vector<WorkerInfo> makeWorkers(const Deployment &Cluster,
                                    std::uint32_t Domain);
/// Returns a configuration with all domains in service that guarantees a third
/// of the accelerators.
Configuration makeConfiguration(const Deployment &Cluster);
/// Returns the jobs in the order of arrival.
std::vector<SimulatedJob> makeJobs(const Deployment &Cluster,
                                   std::uint64_t Seed);

} // namespace banyanworks::bench

#endif
