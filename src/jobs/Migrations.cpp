/// \file
/// Implements the planning of migrations.
#include "jobs/Migrations.h"

#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"
#include "kernel/Registry.h"

#include <map>
#include <optional>

namespace banyanworks {

namespace {

/// The cost of a move: a fixed part for the checkpoint, and a part for each
/// accelerator until the gang runs again.
constexpr Duration CheckpointCost = std::chrono::seconds(30);
constexpr Duration RestartCost = std::chrono::seconds(60);

double moveCost(const RunningGang &Gang) {
  const JobSpec &Spec = *Gang.Spec;
  return toSeconds(CheckpointCost) +
         toSeconds(RestartCost) * Spec.Members * Spec.PerMember.Accelerators;
}

/// Returns the free accelerators, each counted once for every level of free
/// groups that it is part of, including levels of 2, 4, 8, ... whole workers in
/// one rack.
std::int64_t groupedAccelerators(const CellTree &Cells) {
  std::int64_t Result = 0;
  const auto &Totals = Cells.freeGroups().totals();
  for (KindSlot Kind = 0; Kind < Totals.size(); ++Kind) {
    const GroupTotals &Total = Totals[Kind];
    for (int Level = 0; Level < GroupLevels; ++Level)
      Result += (std::int64_t(Total.Merged[Level]) << Level) * (Level + 1);
    std::size_t Largest = Total.RacksByWholeWorkers.size();
    for (std::size_t FreeWorkers = 2; FreeWorkers < Largest; ++FreeWorkers) {
      std::int64_t Workers = 0;
      for (std::size_t Group = 2; Group <= FreeWorkers; Group *= 2)
        Workers += static_cast<std::int64_t>(FreeWorkers / Group * Group);
      Result += Workers * Total.RacksByWholeWorkers[FreeWorkers] *
                Cells.kinds()[Kind].Accelerators;
    }
  }
  return Result;
}

class Planner {
public:
  Planner(const CellTree &Cells, const GuaranteeLedger &Ledger,
          const std::vector<RunningGang> &Running, TimePoint Now,
          const MigrationLimits &Limits)
      : Trial(Cells), Ledger(Ledger), Now(Now), Limits(Limits),
        PlaceGang(Registry<PlacementPolicy>::instance().make("cell-fit")) {
    for (const RunningGang &Gang : Running)
      if (isMovable(Gang))
        Movable.push_back({&Gang, Gang.Members});
  }

  std::vector<Migration> run() {
    std::vector<Migration> Result;
    while (Result.size() < Limits.Gangs) {
      std::optional<MoveSet> Best =
          bestMoveSet(Limits.Gangs - static_cast<std::uint32_t>(Result.size()));
      if (!Best)
        break;
      apply(*Best);
      for (std::size_t Index = 0; Index < Best->Gangs.size(); ++Index) {
        Candidate &Gang = Movable[Best->Gangs[Index]];
        Gang.Moved = true;
        Result.push_back({Gang.Running->Spec->Id, Best->NewPlacements[Index]});
      }
    }
    return Result;
  }

private:
  using Placements = std::vector<MemberPlacement>;
  struct Candidate {
    const RunningGang *Running;
    Placements CurrentPlacements;
    bool Moved = false;
  };
  /// Gangs that move together, by index, and the new placements of each.
  struct MoveSet {
    std::vector<std::size_t> Gangs;
    std::vector<Placements> NewPlacements;
    double CostPerAccelerator = 0;
  };

  bool isMovable(const RunningGang &Gang) const {
    bool Settled = Gang.LastMoved == TimePoint() ||
                   Now - Gang.LastMoved >= Limits.SettlingTime;
    return Settled && !Gang.UnderGuarantee && Gang.Spec->Checkpointable &&
           Gang.Spec->PerMember.Accelerators > 0 &&
           !Ledger.isCharged(Gang.Spec->Id);
  }

  void release(const Candidate &Gang) {
    for (std::uint32_t Member = 0; Member < Gang.CurrentPlacements.size();
         ++Member)
      Trial.release({Gang.Running->Spec->Id, Gang.Running->Run, Member});
  }

  void allocate(const Candidate &Gang, const Placements &NewPlacements) {
    for (std::uint32_t Member = 0; Member < NewPlacements.size(); ++Member) {
      Trial.allocate({Gang.Running->Spec->Id, Gang.Running->Run, Member},
                     NewPlacements[Member].Worker,
                     Gang.Running->Spec->PerMember,
                     NewPlacements[Member].Accelerators);
    }
  }

  void apply(const MoveSet &Chosen) {
    for (std::size_t Gang : Chosen.Gangs)
      release(Movable[Gang]);
    for (std::size_t Index = 0; Index < Chosen.Gangs.size(); ++Index)
      allocate(Movable[Chosen.Gangs[Index]], Chosen.NewPlacements[Index]);
  }

  /// Returns each gang as a set of its own and, for each worker, the set of all
  /// its gangs.
  std::vector<std::vector<std::size_t>>
  candidateSets(std::uint32_t MaxGangs) const {
    std::vector<std::vector<std::size_t>> Result;
    std::map<WorkerId, std::vector<std::size_t>> ByWorker;
    for (std::size_t Index = 0; Index < Movable.size(); ++Index) {
      if (Movable[Index].Moved)
        continue;
      Result.push_back({Index});
      for (const MemberPlacement &Member : Movable[Index].CurrentPlacements) {
        if (auto &GangsOnWorker = ByWorker[Member.Worker];
            GangsOnWorker.empty() || GangsOnWorker.back() != Index)
          GangsOnWorker.push_back(Index);
      }
    }
    for (auto &[Worker, Gangs] : ByWorker)
      if (Gangs.size() > 1 && Gangs.size() <= MaxGangs)
        Result.push_back(std::move(Gangs));
    return Result;
  }

  /// Finds and allocates placements on other workers for all gangs of the set.
  bool findPlacements(MoveSet &Moves) {
    std::vector<WorkerId> Left;
    for (std::size_t Gang : Moves.Gangs)
      for (const MemberPlacement &Member : Movable[Gang].CurrentPlacements)
        Left.push_back(Member.Worker);
    for (std::size_t Gang : Moves.Gangs) {
      PlacementResult Result = (*PlaceGang)(
          Trial, Ledger, {Movable[Gang].Running->Spec, false, Left});
      if (!Result.placed())
        return false;
      allocate(Movable[Gang], Result.Members);
      Moves.NewPlacements.push_back(std::move(Result.Members));
    }
    return true;
  }

  std::optional<MoveSet> bestMoveSet(std::uint32_t MaxGangs) {
    std::optional<MoveSet> Best;
    std::int64_t Before = groupedAccelerators(Trial);
    for (std::vector<std::size_t> &Set : candidateSets(MaxGangs)) {
      MoveSet Option{std::move(Set), {}, 0};
      double Cost = 0;
      for (std::size_t Gang : Option.Gangs) {
        release(Movable[Gang]);
        Cost += moveCost(*Movable[Gang].Running);
      }
      bool Replaced = findPlacements(Option);
      std::int64_t Gain = groupedAccelerators(Trial) - Before;
      for (std::size_t Gang : Option.Gangs)
        release(Movable[Gang]);
      for (std::size_t Gang : Option.Gangs)
        allocate(Movable[Gang], Movable[Gang].CurrentPlacements);
      if (!Replaced || Gain <= 0)
        continue;
      Option.CostPerAccelerator = Cost / double(Gain);
      if (Option.CostPerAccelerator > Limits.CostPerAccelerator ||
          (Best && Option.CostPerAccelerator >= Best->CostPerAccelerator))
        continue;
      Best = std::move(Option);
    }
    return Best;
  }

  CellTree Trial;
  const GuaranteeLedger &Ledger;
  TimePoint Now;
  MigrationLimits Limits;
  std::unique_ptr<PlacementPolicy> PlaceGang;
  std::vector<Candidate> Movable;
};

} // namespace

std::vector<Migration> planMigrations(const CellTree &Cells,
                                      const GuaranteeLedger &Ledger,
                                      const std::vector<RunningGang> &Running,
                                      TimePoint Now,
                                      const MigrationLimits &Limits) {
  return Planner(Cells, Ledger, Running, Now, Limits).run();
}

} // namespace banyanworks
