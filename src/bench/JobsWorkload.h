/// \file
/// Defines the deployments and the seeded job lists of the job plane's
/// benchmark.
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

/// The size of a deployment and what is asked of it.
struct Deployment {
  std::string Name;
  std::uint32_t Domains = 3;
  /// In each failure domain: workers with accelerators, and without.
  std::uint32_t AcceleratorWorkers = 17;
  std::uint32_t CpuOnlyWorkers = 0;
  Resources PerAcceleratorWorker;
  Resources PerCpuOnlyWorker;
  std::uint32_t Workspaces = 4;
  /// Jobs arrive over this span.
  Duration ArrivalSpan = std::chrono::hours(24);
  /// The part of the accelerators, and of the plain workers' cores, that the
  /// jobs would keep busy if they were packed perfectly.
  double Load = 0.85;
  /// One failure domain is out from the first to the second moment.
  Duration OutageStart = std::chrono::hours(10);
  Duration OutageEnd = std::chrono::hours(11);
  /// One worker in each failure domain fails everything in this span.
  Duration FailureStart = std::chrono::hours(2);
  Duration FailureEnd = std::chrono::hours(8);
};

/// One job, and what is true of it whatever it declares.
struct SimulatedJob {
  JobSpec Spec;
  TimePoint SubmittedAt;
  Duration RunTime{};
  /// Each of its runs fails, wherever it is.
  bool AlwaysFails = false;
};

Deployment hanbit();
Deployment adeyemi();
/// 11 failure domains with 1,200 workers and 1,800 accelerators.
Deployment targetSize();

DomainId makeDomainId(std::uint32_t Index);
WorkspaceId makeWorkspaceId(std::uint32_t Index);
/// The workers of one failure domain.
std::vector<WorkerInfo> makeWorkers(const Deployment &Cluster,
                                    std::uint32_t Domain);
/// All domains in; guarantees of a third of the accelerators.
Configuration makeConfiguration(const Deployment &Cluster);
/// Jobs in the order of their arrival.
std::vector<SimulatedJob> makeJobs(const Deployment &Cluster,
                                   std::uint64_t Seed);

} // namespace banyanworks::bench

#endif
