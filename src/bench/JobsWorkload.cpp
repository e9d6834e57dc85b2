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

/// Median and spread of the true run times.
constexpr double MedianSeconds = 600;
constexpr double LogSpread = 1.5;
constexpr double LeastSeconds = 30;
constexpr double MostSeconds = 12 * 3600;

/// One normal variate by the method of Box and Muller.
double normal(Random &Dice) {
  constexpr double TwoPi = 6.283185307179586;
  double Radius = std::sqrt(-2.0 * std::log(1.0 - Dice.uniform()));
  return Radius * std::cos(TwoPi * Dice.uniform());
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// A workspace; a few ask for most of the work.
std::uint32_t pickWorkspace(const Deployment &Where, Random &Dice) {
  double Skewed = Dice.uniform() * Dice.uniform();
  return static_cast<std::uint32_t>(Skewed * Where.Workspaces);
}

void shapeAcceleratorGang(const Deployment &Where, JobSpec &Spec,
                          Random &Dice) {
  double Which = Dice.uniform();
  std::int32_t Each = Which < 0.4 ? 1 : Which < 0.6 ? 2 : Which < 0.75 ? 4 : 8;
  Spec.Members = 1;
  if (Which >= 0.85) {
    std::uint32_t Most = std::max(2U, Where.AcceleratorWorkers / 2);
    Spec.Members = 2;
    while (Spec.Members * 2 <= Most && Dice.withProbability(0.5))
      Spec.Members *= 2;
    Spec.MemberAdjacency = Dice.withProbability(0.5)
                               ? Adjacency::SameRack
                               : Adjacency::NeighbouringRacks;
    Spec.AdjacencyRequired =
        Spec.Members <= WorkersPerRack && Dice.withProbability(0.3);
  }
  const Resources &Worker = Where.PerAcceleratorWorker;
  Spec.PerMember =
      Resources{Worker.MilliCores * Each / Worker.Accelerators / 2,
                Worker.MemoryMiB * Each / Worker.Accelerators / 2, Each};
}

void shapePlainGang(const Deployment &Where, JobSpec &Spec, Random &Dice) {
  Spec.Members = 1;
  while (Spec.Members < 128 && Dice.withProbability(0.7))
    Spec.Members *= 2;
  Spec.PerMember = Resources{Where.PerPlainWorker.MilliCores / 32,
                             Where.PerPlainWorker.MemoryMiB / 40, 0};
}

/// What a kind's declarations are off by, the same for all its jobs.
double biasOf(std::uint32_t Workspace, std::uint32_t Kind, std::uint64_t Seed) {
  Random Dice(Seed ^ (Workspace * 1000003ULL + Kind * 7919ULL + 17));
  return std::pow(10.0, Dice.uniform() * 2.0 - 1.0);
}

struct JobMaker {
  const Deployment &Where;
  std::uint64_t Seed;
  Random Dice;
  std::uint64_t NextId = 1;

  SimulatedJob make(TimePoint At, bool Plain) {
    SimulatedJob Result;
    Result.SubmittedAt = At;
    JobSpec &Spec = Result.Spec;
    Spec.Id = JobId(NextId++);
    std::uint32_t Workspace = pickWorkspace(Where, Dice);
    std::uint32_t Kind = Dice.below(KindsPerWorkspace);
    Spec.Workspace = workspaceName(Workspace);
    Spec.Kind = JobKindId("kind-" + std::to_string(Kind));
    if (Plain)
      shapePlainGang(Where, Spec, Dice);
    else
      shapeAcceleratorGang(Where, Spec, Dice);
    double Seconds = MedianSeconds * std::exp(LogSpread * normal(Dice));
    if (Plain)
      Seconds *= 6;
    Seconds = std::clamp(Seconds, LeastSeconds, MostSeconds);
    Result.Needs = toDuration(Seconds);
    double Noise = std::pow(10.0, 0.15 * normal(Dice));
    Spec.ExpectedRunTime =
        toDuration(Seconds * Noise * biasOf(Workspace, Kind, Seed));
    Spec.Checkpointable = Dice.withProbability(0.8);
    double Urgency = Dice.uniform();
    Spec.Urgency = Urgency < 0.05  ? Priority::Urgent
                   : Urgency < 0.7 ? Priority::Normal
                                   : Priority::Batch;
    Result.AlwaysFails = Dice.withProbability(0.01);
    return Result;
  }
};

double workOf(const SimulatedJob &Job) {
  double Each = Job.Spec.PerMember.Accelerators > 0
                    ? Job.Spec.PerMember.Accelerators
                    : static_cast<double>(Job.Spec.PerMember.MilliCores);
  return Each * Job.Spec.Members * toSeconds(Job.Needs);
}

/// Arrivals that would keep \p Capacity busy at the deployment's load; one
/// in ten comes in a burst.
void fill(JobMaker &Maker, double Capacity, bool Plain,
          std::vector<SimulatedJob> &Result) {
  double Span = toSeconds(Maker.Where.Span);
  double Wanted = Capacity * Span * Maker.Where.Load;
  double Given = 0;
  constexpr double BurstEverySeconds = 2 * 3600;
  while (Given < Wanted) {
    double At = Maker.Dice.uniform() * Span;
    if (Maker.Dice.withProbability(0.1))
      At = std::floor(At / BurstEverySeconds) * BurstEverySeconds;
    SimulatedJob Job = Maker.make(TimePoint(toDuration(At)), Plain);
    Given += workOf(Job);
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
  Result.PlainWorkers = 89;
  Result.PerAcceleratorWorker = Resources{32000, 131072, 8};
  Result.PerPlainWorker = Resources{32000, 131072, 0};
  Result.Workspaces = 300;
  Result.Span = std::chrono::hours(6);
  Result.OutAt = std::chrono::hours(3);
  Result.BackAt = std::chrono::hours(4);
  Result.FailFrom = std::chrono::hours(1);
  Result.FailUntil = std::chrono::hours(5);
  return Result;
}

DomainId domainName(std::uint32_t Index) {
  return DomainId("zone-" + std::to_string(Index));
}

WorkspaceId workspaceName(std::uint32_t Index) {
  return WorkspaceId("workspace-" + std::to_string(Index));
}

std::vector<WorkerInfo> workersOf(const Deployment &Where,
                                  std::uint32_t Domain) {
  std::vector<WorkerInfo> Result;
  std::uint32_t Count = Where.AcceleratorWorkers + Where.PlainWorkers;
  for (std::uint32_t Index = 0; Index != Count; ++Index) {
    WorkerInfo Info;
    Info.Id =
        WorkerId(domainName(Domain).str() + "-worker-" + std::to_string(Index));
    Info.Domain = domainName(Domain);
    Info.RackNumber = Index / WorkersPerRack;
    Info.Rack = RackId("rack-" + std::to_string(Info.RackNumber));
    bool Plain = Index >= Where.AcceleratorWorkers;
    Info.Capacity = Plain ? Where.PerPlainWorker : Where.PerAcceleratorWorker;
    Info.AcceleratorModel = Plain ? "" : "standard";
    Result.push_back(std::move(Info));
  }
  return Result;
}

Configuration configurationOf(const Deployment &Where) {
  Configuration Result;
  Result.Version = ConfigVersion(1);
  for (std::uint32_t Domain = 0; Domain != Where.Domains; ++Domain)
    Result.Domains[domainName(Domain)] =
        FailureDomain{domainName(Domain), "region", true};
  for (std::uint32_t Index = 0; Index != Where.Workspaces; ++Index) {
    Workspace &Each = Result.Workspaces[workspaceName(Index)];
    Each.Id = workspaceName(Index);
  }
  // A third of each domain's accelerators is promised, in turn, as whole
  // workers to the first workspaces and as groups of four to the next.
  for (std::uint32_t Domain = 0; Domain != Where.Domains; ++Domain) {
    std::uint32_t Promised = Where.AcceleratorWorkers / 3;
    for (std::uint32_t Unit = 0; Unit != Promised; ++Unit) {
      std::uint32_t Owner = (Domain * Promised + Unit) % Where.Workspaces;
      GuaranteedCell Cell;
      Cell.Level = Unit % 3 == 2 ? CellLevel::Group : CellLevel::Worker;
      Cell.Accelerators = Cell.Level == CellLevel::Group ? 4 : 0;
      Cell.Count = Cell.Level == CellLevel::Group ? 2 : 1;
      Cell.Domain = domainName(Domain);
      Result.Workspaces[workspaceName(Owner)].Guarantee.push_back(Cell);
    }
  }
  return Result;
}

std::vector<SimulatedJob> jobsOf(const Deployment &Where, std::uint64_t Seed) {
  std::vector<SimulatedJob> Result;
  JobMaker Maker{Where, Seed, Random(Seed)};
  fill(Maker,
       1.0 * Where.Domains * Where.AcceleratorWorkers *
           Where.PerAcceleratorWorker.Accelerators,
       false, Result);
  double PlainCores = static_cast<double>(Where.Domains) * Where.PlainWorkers *
                      static_cast<double>(Where.PerPlainWorker.MilliCores);
  fill(Maker, PlainCores, true, Result);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const SimulatedJob &Left, const SimulatedJob &Right) {
                     return Left.SubmittedAt < Right.SubmittedAt;
                   });
  return Result;
}

} // namespace banyanworks::bench
