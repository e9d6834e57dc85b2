/// \file
/// Implements the measurement of placement decision times.
#include "bench/DecisionLoad.h"

#include "kernel/Registry.h"

#include <algorithm>
#include <chrono>

namespace banyanworks::bench {

namespace {

constexpr std::uint32_t GangMembers = 128;
/// Fraction of the accelerators in use when gangs of 128 members are placed.
constexpr double AcceleratorsInUse = 0.7;
constexpr std::uint32_t TasksPerCpuOnlyWorker = 30;

ClusterSize clusterSize(std::uint32_t Workers) {
  ClusterSize Size;
  Size.AcceleratorWorkers = Workers * 225 / 1200;
  Size.CpuOnlyWorkers = Workers - Size.AcceleratorWorkers;
  return Size;
}

} // namespace

double percentile(std::vector<double> Times, double Share) {
  if (Times.empty())
    return 0;
  auto Index = static_cast<std::size_t>(double(Times.size() - 1) * Share);
  std::nth_element(Times.begin(),
                   Times.begin() + static_cast<std::ptrdiff_t>(Index),
                   Times.end());
  return Times[Index];
}

DecisionLoad::DecisionLoad(std::uint32_t Workers, std::uint64_t Seed)
    : Rng(Seed), Ledger(Cells),
      Policy(Registry<PlacementPolicy>::instance().make("cell-fit")) {
  ClusterSize Size = clusterSize(Workers);
  addWorkers(Cells, Size);
  configureGuarantees(Size.AcceleratorWorkers);
  for (std::uint32_t Task = 0;
       Task < Size.CpuOnlyWorkers * TasksPerCpuOnlyWorker; ++Task)
    placeGang(drawJob(JobClass::CpuOnly), true);
  for (JobClass Class : {JobClass::Guaranteed, JobClass::Accelerator}) {
    double Divisor = Class == JobClass::Guaranteed ? 2 : 1;
    auto MinFree = static_cast<std::int32_t>(Cells.capacity().Accelerators *
                                             (1 - AcceleratorsInUse / Divisor));
    for (int Unplaced = 0;
         Cells.free().Accelerators > MinFree && Unplaced < 1000; ++Unplaced)
      placeGang(drawJob(Class), true);
  }
}

void DecisionLoad::configureGuarantees(std::uint32_t Workers) {
  // One workspace per four workers. A quarter of the accelerators is guaranteed
  // at the group level, further cells at the rack or the worker level.
  Configuration Config;
  Workspaces = std::max(Workers / 4, 1U);
  for (std::uint32_t Index = 0; Index < Workspaces; ++Index) {
    Workspace &Owner =
        Config.Workspaces[WorkspaceId("s" + std::to_string(Index))];
    GuaranteedCell Cell;
    Cell.Domain = DomainId("d");
    Cell.Level = CellLevel::Group;
    Cell.Accelerators = 2;
    Cell.Count = 4;
    Owner.Guarantee.push_back(Cell);
    Cell.Level = Index % 4 == 0 ? CellLevel::Rack : CellLevel::Worker;
    Cell.Workers = 2;
    Cell.Count = 1;
    Owner.Guarantee.push_back(Cell);
  }
  Ledger.configure(Config, DomainId("d"));
}

std::shared_ptr<JobSpec> DecisionLoad::drawJob(JobClass Class) {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(++LastJob);
  Spec->Workspace = WorkspaceId("none");
  if (Class == JobClass::CpuOnly) {
    Spec->PerMember = {500 + Rng.below(1000), 1024 + Rng.below(4096), 0};
    return Spec;
  }
  if (Class == JobClass::Guaranteed)
    Spec->Workspace = WorkspaceId("s" + std::to_string(Rng.below(Workspaces)));
  auto Accelerators = static_cast<std::int32_t>(1U << Rng.below(3));
  Spec->PerMember = {2000L * Accelerators, 8192L * Accelerators, Accelerators};
  return Spec;
}

DecisionLoad::Decision
DecisionLoad::placeGang(const std::shared_ptr<const JobSpec> &Spec,
                        bool Retain) {
  auto Start = std::chrono::steady_clock::now();
  bool Covered = Ledger.coversGang(*Spec);
  PlacementResult Result = (*Policy)(Cells, Ledger, {Spec, Covered, {}});
  if (Result.placed()) {
    if (Covered)
      Ledger.charge(*Spec, Result.Members);
    for (std::uint32_t Member = 0; Member < Result.Members.size(); ++Member)
      Cells.allocate({Spec->Id, 0, Member}, Result.Members[Member].Worker,
                     Spec->PerMember, Result.Members[Member].Accelerators);
  }
  std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - Start;
  if (!Result.placed())
    return {Elapsed.count(), false};
  if (!Retain) {
    endGang(Spec);
    return {Elapsed.count(), true};
  }
  JobClass Class = JobClass::Accelerator;
  if (Spec->PerMember.Accelerators == 0)
    Class = JobClass::CpuOnly;
  else if (Covered)
    Class = JobClass::Guaranteed;
  Running[static_cast<int>(Class)].push_back(Spec);
  return {Elapsed.count(), true};
}

void DecisionLoad::endGang(const std::shared_ptr<const JobSpec> &Spec) {
  for (std::uint32_t Member = 0; Member < Spec->Members; ++Member)
    Cells.release({Spec->Id, 0, Member});
  Ledger.discharge(Spec->Id);
}

void DecisionLoad::replaceRunningGang(JobClass Class,
                                      std::vector<double> &Times) {
  auto &Candidates = Running[static_cast<int>(Class)];
  if (Candidates.empty())
    return;
  std::swap(
      Candidates[Rng.below(static_cast<std::uint32_t>(Candidates.size()))],
      Candidates.back());
  std::shared_ptr<const JobSpec> Ended = Candidates.back();
  Candidates.pop_back();
  endGang(Ended);
  // The replacement has the same shape, which keeps the load constant.
  auto Next = std::make_shared<JobSpec>(*Ended);
  Next->Id = JobId(++LastJob);
  Times.push_back(placeGang(Next, true).Microseconds);
}

DecisionTimes DecisionLoad::measure(std::uint32_t Decisions) {
  constexpr std::uint32_t GangInterval = 25;
  DecisionTimes Times;
  for (std::uint32_t Index = 0; Index < Decisions; ++Index) {
    replaceRunningGang(JobClass::CpuOnly, Times.CpuOnlyTask);
    replaceRunningGang(JobClass::Accelerator, Times.AcceleratorTask);
    replaceRunningGang(JobClass::Guaranteed, Times.GuaranteedTask);
    if (Index % GangInterval != 0)
      continue;
    for (JobClass Class : {JobClass::CpuOnly, JobClass::Accelerator}) {
      std::shared_ptr<JobSpec> Gang = drawJob(Class);
      Gang->Members = GangMembers;
      Gang->PerMember = {500, 1024, Class == JobClass::CpuOnly ? 0 : 1};
      Decision GangDecision = placeGang(Gang, false);
      Times.UnplacedGangs += GangDecision.Placed ? 0 : 1;
      (Class == JobClass::CpuOnly ? Times.CpuOnlyGang : Times.AcceleratorGang)
          .push_back(GangDecision.Microseconds);
    }
  }
  Times.Tasks = Cells.taskCount();
  measureReclaim(Times);
  return Times;
}

void DecisionLoad::measureReclaim(DecisionTimes &Times) {
  constexpr int Samples = 200;
  auto Victims = Registry<VictimPolicy>::instance().make("least-loss");
  constexpr int Failures = 50;
  for (int Failed = 0; Failed < Failures;)
    Failed += placeGang(drawJob(JobClass::Accelerator), true).Placed ? 0 : 1;
  std::vector<RunningGang> Borrowing;
  for (const auto &Spec : Running[static_cast<int>(JobClass::Accelerator)]) {
    RunningGang Gang;
    Gang.Spec = Spec;
    Gang.AtRisk = std::chrono::seconds(Rng.below(600));
    const TaskAllocation *Allocation = Cells.allocationOf({Spec->Id, 0, 0});
    Gang.Members = {
        {Cells.cell(Allocation->Slot).Info.Id, Allocation->Accelerators}};
    Borrowing.push_back(std::move(Gang));
  }
  while (Times.Reclaim.size() < Samples) {
    std::shared_ptr<JobSpec> Spec = drawJob(JobClass::Guaranteed);
    if (!Ledger.coversGang(*Spec))
      continue;
    auto Start = std::chrono::steady_clock::now();
    VictimPlan Plan = (*Victims)(Cells, Ledger, {Spec, true, {}}, Borrowing,
                                 TimePoint(std::chrono::hours(1)));
    std::chrono::duration<double, std::micro> Elapsed =
        std::chrono::steady_clock::now() - Start;
    Times.Reclaim.push_back(Elapsed.count());
    Times.FailedReclaims += Plan.Placement.placed() ? 0 : 1;
  }
}

} // namespace banyanworks::bench
