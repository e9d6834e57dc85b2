/// \file
/// Implements the seeded load of the placement benchmark.
#include "bench/PlacementLoad.h"

#include "jobs/Migrations.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <cmath>

namespace banyanworks::bench {

namespace {

/// Maximum number of waiting gangs.
constexpr std::size_t MaxWaiting = 16;
/// Interval between checkpoints; bounds the unsaved work of a gang.
constexpr Duration CheckpointInterval = std::chrono::minutes(10);
constexpr Duration MinRunTime = std::chrono::minutes(30);
constexpr Duration MaxRunTime = std::chrono::hours(48);
constexpr double TailExponent = 1.3;

Duration drawRunTime(Random &Rng) {
  double Factor = std::pow(1 - Rng.uniform(), -1 / TailExponent);
  auto Drawn =
      Duration(static_cast<std::int64_t>(double(MinRunTime.count()) * Factor));
  return std::min(Drawn, MaxRunTime);
}

} // namespace

void addWorkers(CellTree &Cells, const ClusterSize &Size) {
  for (std::uint32_t Index = 0;
       Index < Size.AcceleratorWorkers + Size.CpuOnlyWorkers; ++Index) {
    WorkerInfo Info;
    Info.Id = WorkerId("w" + std::to_string(Index));
    bool CpuOnly = Index >= Size.AcceleratorWorkers;
    std::uint32_t Position = CpuOnly ? Index - Size.AcceleratorWorkers : Index;
    // Racks with accelerators and CPU-only racks are not adjacent.
    Info.RackNumber = Position / Size.WorkersPerRack + (CpuOnly ? 1000000 : 0);
    Info.Rack = RackId("r" + std::to_string(Info.RackNumber));
    Info.Capacity = Size.PerWorker;
    if (CpuOnly)
      Info.Capacity.Accelerators = 0;
    else
      Info.AcceleratorModel = "a";
    Cells.addWorker(Info);
  }
}

PlacementLoad::PlacementLoad(const ClusterSize &Size,
                             const LoadSettings &Settings)
    : Settings(Settings), Rng(Settings.Seed), Ledger(Cells),
      Policy(Registry<PlacementPolicy>::instance().make(Settings.Placement)) {
  addWorkers(Cells, Size);
}

double PlacementLoad::occupancy() const {
  return 1 - double(Cells.free().Accelerators) /
                 double(Cells.capacity().Accelerators);
}

std::shared_ptr<const JobSpec> PlacementLoad::drawJob() {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(++LastJob);
  Spec->Checkpointable = Rng.withProbability(0.9);
  std::uint32_t Size = Rng.below(100);
  std::int32_t Accelerators = 8;
  if (Size < 45)
    Accelerators = 1;
  else if (Size < 65)
    Accelerators = 2;
  else if (Size < 85)
    Accelerators = 4;
  Spec->Members = Rng.withProbability(0.1) ? 2 + Rng.below(3) : 1;
  Spec->PerMember = {2000L * Accelerators, 8192L * Accelerators, Accelerators};
  return Spec;
}

bool PlacementLoad::startNextGang() {
  while (Waiting.size() < MaxWaiting)
    Waiting.push_back(drawJob());
  for (auto Next = Waiting.begin(); Next != Waiting.end(); ++Next) {
    PlacementResult Result = (*Policy)(Cells, Ledger, {*Next, false, {}});
    if (!Result.placed())
      continue;
    start(*Next, std::move(Result.Members));
    Waiting.erase(Next);
    return true;
  }
  return false;
}

void PlacementLoad::start(const std::shared_ptr<const JobSpec> &Spec,
                          std::vector<MemberPlacement> Members) {
  for (std::uint32_t Member = 0; Member < Members.size(); ++Member)
    Cells.allocate({Spec->Id, 0, Member}, Members[Member].Worker,
                   Spec->PerMember, Members[Member].Accelerators);
  RunningGang &Gang = Gangs[Spec->Id];
  Gang.Spec = Spec;
  Gang.StartedAt = Now;
  Gang.Members = std::move(Members);
  Duration RunTime = drawRunTime(Rng);
  EndTimes.emplace(Now + RunTime, Spec->Id);
  ++Counts.Started;
  Counts.WorkDone +=
      toSeconds(RunTime) * Spec->Members * Spec->PerMember.Accelerators;
}

void PlacementLoad::endNextGang() {
  auto First = EndTimes.begin();
  Now = First->first;
  const RunningGang &Gang = Gangs.at(First->second);
  for (std::uint32_t Member = 0; Member < Gang.Members.size(); ++Member)
    Cells.release({First->second, 0, Member});
  Gangs.erase(First->second);
  EndTimes.erase(First);
}

std::vector<RunningGang> PlacementLoad::running() const {
  std::vector<RunningGang> Result;
  Result.reserve(Gangs.size());
  for (const auto &Entry : Gangs) {
    Result.push_back(Entry.second);
    Duration RunTime = Now - Entry.second.StartedAt;
    Result.back().AtRisk =
        Duration(RunTime.count() % CheckpointInterval.count());
  }
  return Result;
}

void PlacementLoad::migrate() {
  std::vector<RunningGang> Running = running();
  MigrationLimits Limits;
  Limits.Gangs = Settings.Migrations;
  std::vector<Migration> Plan =
      planMigrations(Cells, Ledger, Running, Now, Limits);
  for (const Migration &Move : Plan)
    for (std::uint32_t Member = 0; Member < Move.NewPlacements.size(); ++Member)
      Cells.release({Move.Job, 0, Member});
  for (Migration &Move : Plan) {
    RunningGang &Gang = Gangs.at(Move.Job);
    const JobSpec &Spec = *Gang.Spec;
    for (std::uint32_t Member = 0; Member < Spec.Members; ++Member)
      Cells.allocate({Move.Job, 0, Member}, Move.NewPlacements[Member].Worker,
                     Spec.PerMember, Move.NewPlacements[Member].Accelerators);
    Gang.Members = std::move(Move.NewPlacements);
    Gang.LastMoved = Now;
    ++Counts.Moved;
    // Gangs are checkpointed before a move, so only the restart time is lost.
    constexpr Duration RestartTime = std::chrono::seconds(60);
    Counts.WorkLostToMoves +=
        toSeconds(RestartTime) * Spec.Members * Spec.PerMember.Accelerators;
  }
}

void PlacementLoad::step() {
  if (occupancy() < Settings.Occupancy && startNextGang())
    return;
  endNextGang();
  if (Settings.Migrations > 0)
    migrate();
}

} // namespace banyanworks::bench
