/// \file
/// Implements the deployments and the seeded job lists.
#include "bench/JobsWorkload.h"

#include "base/Random.h"

#include <algorithm>
#include <cmath>

namespace banyanworks::bench {

namespace {

constexpr std::uint32_t WorkersPerRack = 8;
constexpr std::uint32_t KindsPerWorkspace = 3;

/// Parameters of the log-normal distribution of the true run times.
constexpr double MedianSeconds = 600;
constexpr double LogSpread = 1.5;
constexpr double MinSeconds = 30;
constexpr double MaxSeconds = 12 * 3600;

/// Draws a standard normal variate with the Box-Muller transform.
double normal(Random &Rng) {
  constexpr double TwoPi = 6.283185307179586;
  double Radius = std::sqrt(-2.0 * std::log(1.0 - Rng.uniform()));
  return Radius * std::cos(TwoPi * Rng.uniform());
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// Draws a workspace from a skewed distribution: a few submit most of the work.
std::uint32_t drawWorkspace(const Deployment &Cluster, Random &Rng) {
  double Skewed = Rng.uniform() * Rng.uniform();
  return static_cast<std::uint32_t>(Skewed * Cluster.Workspaces);
}

void shapeAcceleratorGang(const Deployment &Cluster, JobSpec &Spec,
                          Random &Rng) {
  double Draw = Rng.uniform();
  std::int32_t Each = Draw < 0.4 ? 1 : Draw < 0.6 ? 2 : Draw < 0.75 ? 4 : 8;
  Spec.Members = 1;
  if (Draw >= 0.85) {
    std::uint32_t MaxMembers = std::max(2U, Cluster.AcceleratorWorkers / 2);
    Spec.Members = 2;
    while (Spec.Members * 2 <= MaxMembers && Rng.withProbability(0.5))
      Spec.Members *= 2;
    Spec.MemberAdjacency = Rng.withProbability(0.5)
                               ? Adjacency::SameRack
                               : Adjacency::NeighbouringRacks;
    Spec.AdjacencyRequired =
        Spec.Members <= WorkersPerRack && Rng.withProbability(0.3);
  }
  const Resources &Worker = Cluster.PerAcceleratorWorker;
  Spec.PerMember =
      Resources{Worker.MilliCores * Each / Worker.Accelerators / 2,
                Worker.MemoryMiB * Each / Worker.Accelerators / 2, Each};
}

void shapeCpuOnlyGang(const Deployment &Cluster, JobSpec &Spec, Random &Rng) {
  Spec.Members = 1;
  while (Spec.Members < 128 && Rng.withProbability(0.7))
    Spec.Members *= 2;
  Spec.PerMember = Resources{Cluster.PerCpuOnlyWorker.MilliCores / 32,
                             Cluster.PerCpuOnlyWorker.MemoryMiB / 40, 0};
}

/// Factor from 0.1 to 10 by which a job kind misestimates its run time; the
/// same for all jobs of the kind.
double estimateBias(std::uint32_t Workspace, std::uint32_t Kind,
                    std::uint64_t Seed) {
  Random Rng(Seed ^ (Workspace * 1000003ULL + Kind * 7919ULL + 17));
  return std::pow(10.0, Rng.uniform() * 2.0 - 1.0);
}

struct JobGenerator {
  const Deployment &Cluster;
  std::uint64_t Seed;
  Random Rng;
  std::uint64_t NextId = 1;

  SimulatedJob makeJob(TimePoint At, bool CpuOnly) {
    SimulatedJob Result;
    Result.SubmittedAt = At;
    JobSpec &Spec = Result.Spec;
    Spec.Id = JobId(NextId++);
    std::uint32_t Workspace = drawWorkspace(Cluster, Rng);
    std::uint32_t Kind = Rng.below(KindsPerWorkspace);
    Spec.Workspace = makeWorkspaceId(Workspace);
    Spec.Kind = JobKindId("kind-" + std::to_string(Kind));
    if (CpuOnly)
      shapeCpuOnlyGang(Cluster, Spec, Rng);
    else
      shapeAcceleratorGang(Cluster, Spec, Rng);
    double Seconds = MedianSeconds * std::exp(LogSpread * normal(Rng));
    if (CpuOnly)
      Seconds *= 6;
    Seconds = std::clamp(Seconds, MinSeconds, MaxSeconds);
    Result.RunTime = toDuration(Seconds);
    double Noise = std::pow(10.0, 0.15 * normal(Rng));
    Spec.ExpectedRunTime =
        toDuration(Seconds * Noise * estimateBias(Workspace, Kind, Seed));
    Spec.Checkpointable = Rng.withProbability(0.8);
    double Urgency = Rng.uniform();
    Spec.Urgency = Urgency < 0.05  ? Priority::Urgent
                   : Urgency < 0.7 ? Priority::Normal
                                   : Priority::Batch;
    Result.AlwaysFails = Rng.withProbability(0.01);
    return Result;
  }
};

double workOf(const SimulatedJob &Job) {
  double Each = Job.Spec.PerMember.Accelerators > 0
                    ? Job.Spec.PerMember.Accelerators
                    : static_cast<double>(Job.Spec.PerMember.MilliCores);
  return Each * Job.Spec.Members * toSeconds(Job.RunTime);
}

/// Appends jobs that offer the deployment's load on \p Capacity. One in ten
/// arrives in a burst.
void generateJobs(JobGenerator &Generator, double Capacity, bool CpuOnly,
                  std::vector<SimulatedJob> &Result) {
  double Span = toSeconds(Generator.Cluster.ArrivalSpan);
  double TargetWork = Capacity * Span * Generator.Cluster.Load;
  double GeneratedWork = 0;
  constexpr double BurstEverySeconds = 2 * 3600;
  while (GeneratedWork < TargetWork) {
    double At = Generator.Rng.uniform() * Span;
    if (Generator.Rng.withProbability(0.1))
      At = std::floor(At / BurstEverySeconds) * BurstEverySeconds;
    SimulatedJob Job = Generator.makeJob(TimePoint(toDuration(At)), CpuOnly);
    GeneratedWork += workOf(Job);
    Result.push_back(std::move(Job));
  }
}

} // namespace

Deployment hanbit() {
  Deployment Result;
  Result.Name = "Hanbit";
  Result.PerAcceleratorWorker = Resources{32000, 131072, 8};
  return Result;
}

Deployment adeyemi() {
  Deployment Result = hanbit();
  Result.Name = "Adeyemi";
  Result.PerAcceleratorWorker.MilliCores = 64000;
  return Result;
}

Deployment targetSize() {
  Deployment Result;
  Result.Name = "target size";
  Result.Domains = 11;
  Result.AcceleratorWorkers = 21;
  Result.CpuOnlyWorkers = 89;
  Result.PerAcceleratorWorker = Resources{32000, 131072, 8};
  Result.PerCpuOnlyWorker = Resources{32000, 131072, 0};
  Result.Workspaces = 300;
  Result.ArrivalSpan = std::chrono::hours(6);
  Result.OutageStart = std::chrono::hours(3);
  Result.OutageEnd = std::chrono::hours(4);
  Result.FailureStart = std::chrono::hours(1);
  Result.FailureEnd = std::chrono::hours(5);
  return Result;
}

DomainId makeDomainId(std::uint32_t Index) {
  return DomainId("zone-" + std::to_string(Index));
}

WorkspaceId makeWorkspaceId(std::uint32_t Index) {
  return WorkspaceId("workspace-" + std::to_string(Index));
}

std::vector<WorkerInfo> makeWorkers(const Deployment &Cluster,
                                    std::uint32_t Domain) {
  std::vector<WorkerInfo> Result;
  std::uint32_t Count = Cluster.AcceleratorWorkers + Cluster.CpuOnlyWorkers;
  for (std::uint32_t Index = 0; Index != Count; ++Index) {
    WorkerInfo Info;
    Info.Id = WorkerId(makeDomainId(Domain).str() + "-worker-" +
                       std::to_string(Index));
    Info.Domain = makeDomainId(Domain);
    Info.RackNumber = Index / WorkersPerRack;
    Info.Rack = RackId("rack-" + std::to_string(Info.RackNumber));
    bool CpuOnly = Index >= Cluster.AcceleratorWorkers;
    Info.Capacity =
        CpuOnly ? Cluster.PerCpuOnlyWorker : Cluster.PerAcceleratorWorker;
    Info.AcceleratorModel = CpuOnly ? "" : "standard";
    Result.push_back(std::move(Info));
  }
  return Result;
}

Configuration makeConfiguration(const Deployment &Cluster) {
  Configuration Result;
  Result.Version = ConfigVersion(1);
  for (std::uint32_t Domain = 0; Domain != Cluster.Domains; ++Domain)
    Result.Domains[makeDomainId(Domain)] =
        FailureDomain{makeDomainId(Domain), "region", true};
  for (std::uint32_t Index = 0; Index != Cluster.Workspaces; ++Index) {
    Workspace &Each = Result.Workspaces[makeWorkspaceId(Index)];
    Each.Id = makeWorkspaceId(Index);
  }
  // A third of each domain's accelerators is guaranteed, worker by worker and
  // round robin over the workspaces. Every third worker is guaranteed as two
  // groups of four accelerators, the others as whole workers.
  for (std::uint32_t Domain = 0; Domain != Cluster.Domains; ++Domain) {
    std::uint32_t GuaranteedWorkers = Cluster.AcceleratorWorkers / 3;
    for (std::uint32_t Unit = 0; Unit != GuaranteedWorkers; ++Unit) {
      std::uint32_t Owner =
          (Domain * GuaranteedWorkers + Unit) % Cluster.Workspaces;
      GuaranteedCell Cell;
      Cell.Level = Unit % 3 == 2 ? CellLevel::Group : CellLevel::Worker;
      Cell.Accelerators = Cell.Level == CellLevel::Group ? 4 : 0;
      Cell.Count = Cell.Level == CellLevel::Group ? 2 : 1;
      Cell.Domain = makeDomainId(Domain);
      Result.Workspaces[makeWorkspaceId(Owner)].Guarantee.push_back(Cell);
    }
  }
  return Result;
}

std::vector<SimulatedJob> makeJobs(const Deployment &Cluster,
                                   std::uint64_t Seed) {
  std::vector<SimulatedJob> Result;
  JobGenerator Generator{Cluster, Seed, Random(Seed)};
  generateJobs(Generator,
               1.0 * Cluster.Domains * Cluster.AcceleratorWorkers *
                   Cluster.PerAcceleratorWorker.Accelerators,
               false, Result);
  double CpuOnlyCores =
      static_cast<double>(Cluster.Domains) * Cluster.CpuOnlyWorkers *
      static_cast<double>(Cluster.PerCpuOnlyWorker.MilliCores);
  generateJobs(Generator, CpuOnlyCores, true, Result);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const SimulatedJob &Left, const SimulatedJob &Right) {
                     return Left.SubmittedAt < Right.SubmittedAt;
                   });
  return Result;
}

} // namespace banyanworks::bench
