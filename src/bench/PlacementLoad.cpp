/// \file
/// Implements the seeded load of the placement benchmark.
#include "bench/PlacementLoad.h"

#include "jobs/Migrations.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <cmath>

namespace banyanworks::bench {

namespace {

/// Gangs that wait for room at most; more are not drawn.
constexpr std::size_t MaxWaiting = 16;
/// Work since the last checkpoint at most.
constexpr Duration CheckpointInterval = std::chrono::minutes(10);
constexpr Duration ShortestRun = std::chrono::minutes(30);
constexpr Duration LongestRun = std::chrono::hours(48);
constexpr double TailExponent = 1.3;

Duration drawRunTime(Random &Dice) {
  double Factor = std::pow(1 - Dice.uniform(), -1 / TailExponent);
  auto Drawn =
      Duration(static_cast<std::int64_t>(double(ShortestRun.count()) * Factor));
  return std::min(Drawn, LongestRun);
}

} // namespace

void addWorkers(CellTree &Cells, const ClusterSize &Size) {
  for (std::uint32_t Index = 0;
       Index < Size.AcceleratorWorkers + Size.PlainWorkers; ++Index) {
    WorkerInfo Info;
    Info.Id = WorkerId("w" + std::to_string(Index));
    bool Plain = Index >= Size.AcceleratorWorkers;
    std::uint32_t Position = Plain ? Index - Size.AcceleratorWorkers : Index;
    // Racks of the two sorts do not adjoin.
    Info.RackNumber = Position / Size.WorkersPerRack + (Plain ? 1000000 : 0);
    Info.Rack = RackId("r" + std::to_string(Info.RackNumber));
    Info.Capacity = Size.PerWorker;
    if (Plain)
      Info.Capacity.Accelerators = 0;
    else
      Info.AcceleratorModel = "a";
    Cells.addWorker(Info);
  }
}

PlacementLoad::PlacementLoad(const ClusterSize &Size,
                             const LoadSettings &Settings)
    : Settings(Settings), Dice(Settings.Seed), Ledger(Cells),
      Place(Registry<PlacementPolicy>::instance().make(Settings.Placement)) {
  addWorkers(Cells, Size);
}

double PlacementLoad::occupancy() const {
  return 1 - double(Cells.free().Accelerators) /
                 double(Cells.capacity().Accelerators);
}

std::shared_ptr<const JobSpec> PlacementLoad::draw() {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(++LastJob);
  Spec->Checkpointable = Dice.withProbability(0.9);
  std::uint32_t Size = Dice.below(100);
  std::int32_t Accelerators = 8;
  if (Size < 45)
    Accelerators = 1;
  else if (Size < 65)
    Accelerators = 2;
  else if (Size < 85)
    Accelerators = 4;
  Spec->Members = Dice.withProbability(0.1) ? 2 + Dice.below(3) : 1;
  Spec->PerMember = {2000L * Accelerators, 8192L * Accelerators, Accelerators};
  return Spec;
}

bool PlacementLoad::startOne() {
  while (Waiting.size() < MaxWaiting)
    Waiting.push_back(draw());
  for (auto Next = Waiting.begin(); Next != Waiting.end(); ++Next) {
    PlacementResult Result = (*Place)(Cells, Ledger, {*Next, false, {}});
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
  Duration RunTime = drawRunTime(Dice);
  Ends.emplace(Now + RunTime, Spec->Id);
  ++Counts.Started;
  Counts.WorkDone +=
      toSeconds(RunTime) * Spec->Members * Spec->PerMember.Accelerators;
}

void PlacementLoad::endFirst() {
  auto First = Ends.begin();
  Now = First->first;
  const RunningGang &Gang = Gangs.at(First->second);
  for (std::uint32_t Member = 0; Member < Gang.Members.size(); ++Member)
    Cells.release({First->second, 0, Member});
  Gangs.erase(First->second);
  Ends.erase(First);
}

std::vector<RunningGang> PlacementLoad::running() const {
  std::vector<RunningGang> Result;
  Result.reserve(Gangs.size());
  for (const auto &Entry : Gangs) {
    Result.push_back(Entry.second);
    Duration Ran = Now - Entry.second.StartedAt;
    Result.back().AtRisk = Duration(Ran.count() % CheckpointInterval.count());
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
    for (std::uint32_t Member = 0; Member < Move.To.size(); ++Member)
      Cells.release({Move.Job, 0, Member});
  for (Migration &Move : Plan) {
    RunningGang &Gang = Gangs.at(Move.Job);
    const JobSpec &Spec = *Gang.Spec;
    for (std::uint32_t Member = 0; Member < Spec.Members; ++Member)
      Cells.allocate({Move.Job, 0, Member}, Move.To[Member].Worker,
                     Spec.PerMember, Move.To[Member].Accelerators);
    Gang.Members = std::move(Move.To);
    Gang.LastMoved = Now;
    ++Counts.Moved;
    // The gang is checkpointed first, so that only its restart is lost.
    constexpr Duration RestartTime = std::chrono::seconds(60);
    Counts.WorkLostToMoves +=
        toSeconds(RestartTime) * Spec.Members * Spec.PerMember.Accelerators;
  }
}

void PlacementLoad::step() {
  if (occupancy() < Settings.Occupancy && startOne())
    return;
  endFirst();
  if (Settings.Migrations > 0)
    migrate();
}

} // namespace banyanworks::bench
