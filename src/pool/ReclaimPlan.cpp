/// \file
/// Implements planReclaim().
#include "pool/ReclaimPlan.h"

#include "pool/StopCost.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace banyanworks::pool {

namespace {

using Indexes = std::vector<std::size_t>;

/// The cheapest known stops that let more tasks fit.
struct StopStep {
  Indexes Victims;
  double Cost = 0.0;
  /// Number of tasks that fit in addition; zero if there is no step.
  std::uint32_t Gain = 0;

  double costPerTask() const { return Cost / Gain; }
};

/// Plans the stops on the workers of one region: a rack or all workers. Chooses
/// one step after the other by its cost per task.
class RegionPlanner {
public:
  RegionPlanner(const PlacementRequest &Request,
                const std::vector<ReclaimWorker> &Workers,
                const std::vector<ReclaimVictim> &Victims, Indexes Region)
      : Request(Request), Workers(Workers), Victims(Victims),
        Region(std::move(Region)) {
    for (std::size_t Index : this->Region) {
      State &Member = States[Index];
      Member.Free = Workers[Index].Free;
      Member.Fits = fits(Index, Member.Free);
      TotalFits += Member.Fits;
    }
  }

  std::optional<ReclaimPlan> plan() {
    for (std::size_t Index : Region)
      States[Index].Next = nextStep(Index);
    while (TotalFits < Request.Count) {
      const StopStep *Best = nullptr;
      for (std::size_t Index : Region) {
        const StopStep &Step = States[Index].Next;
        if (Step.Gain > 0 &&
            (!Best || Step.costPerTask() < Best->costPerTask()))
          Best = &Step;
      }
      if (!Best)
        return std::nullopt;
      apply(StopStep(*Best));
    }
    dropUnneeded();
    return result();
  }

private:
  struct State {
    Resources Free;
    std::uint32_t Fits = 0;
    StopStep Next;
  };

  std::uint32_t fits(std::size_t Index, const Resources &Free) const {
    PlacementTarget Target;
    Target.Worker = Workers[Index].Worker;
    Target.Free = Free;
    return fittingTasks(Request, Target);
  }

  /// Number of tasks that fit in addition when the groups are stopped.
  std::uint32_t gain(const Indexes &Stopped) const {
    std::map<std::size_t, Resources> Free;
    for (std::size_t Victim : Stopped) {
      for (const auto &[Index, Freed] : Victims[Victim].Freed) {
        auto Member = States.find(Index);
        if (Member != States.end())
          Free.try_emplace(Index, Member->second.Free).first->second += Freed;
      }
    }
    std::uint32_t Result = 0;
    for (const auto &[Index, Available] : Free)
      Result += fits(Index, Available) - States.at(Index).Fits;
    return std::min(Result, Request.Count - TotalFits);
  }

  /// Stops groups on the worker, the cheapest per freed resource first, until
  /// one more task fits there.
  StopStep
  stepInOrder(std::size_t Index,
              std::vector<std::pair<double, std::size_t>> Order,
              const std::map<std::size_t, Resources> &FreedHere) const {
    const State &Here = States.at(Index);
    auto Suffices = [&](const Resources &Free) {
      return fits(Index, Free) > Here.Fits;
    };
    std::stable_sort(Order.begin(), Order.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first < Right.first;
                     });
    StopStep Step;
    Resources Free = Here.Free;
    for (const auto &[Price, Victim] : Order) {
      if (Suffices(Free))
        break;
      Free += FreedHere.at(Victim);
      Step.Victims.push_back(Victim);
    }
    if (!Suffices(Free))
      return {};
    std::erase_if(Step.Victims, [&](std::size_t Victim) {
      bool Unneeded = Suffices(Free - FreedHere.at(Victim));
      if (Unneeded)
        Free -= FreedHere.at(Victim);
      return Unneeded;
    });
    for (std::size_t Victim : Step.Victims)
      Step.Cost += Victims[Victim].Cost;
    Step.Gain = gain(Step.Victims);
    return Step;
  }

  StopStep nextStep(std::size_t Index) const {
    const State &Here = States.at(Index);
    // fittingTasks() is bounded by the request's limits.
    if (Here.Fits >= Request.Count ||
        (Request.MaxPerWorker != 0 && Here.Fits >= Request.MaxPerWorker))
      return {};
    std::vector<std::pair<double, std::size_t>> ByFreedHere;
    std::vector<std::pair<double, std::size_t>> ByFreed;
    std::map<std::size_t, Resources> FreedHere;
    bool HasGang = false;
    for (std::size_t Victim : Workers[Index].Victims) {
      if (Stopped.contains(Victim) || FreedHere.contains(Victim))
        continue;
      double Weight = 0.0;
      double WeightHere = 0.0;
      for (const auto &[Other, Freed] : Victims[Victim].Freed) {
        if (!States.contains(Other))
          continue;
        Weight += coreSeconds(Freed, std::chrono::seconds(1));
        if (Other != Index)
          continue;
        WeightHere += coreSeconds(Freed, std::chrono::seconds(1));
        FreedHere[Victim] += Freed;
      }
      HasGang = HasGang || Weight > WeightHere;
      ByFreed.emplace_back(Victims[Victim].Cost / std::max(0.001, Weight),
                           Victim);
      ByFreedHere.emplace_back(
          Victims[Victim].Cost / std::max(0.001, WeightHere), Victim);
    }
    StopStep Result = stepInOrder(Index, std::move(ByFreedHere), FreedHere);
    if (!HasGang || Result.Gain == 0)
      return Result;
    StopStep WithGangs = stepInOrder(Index, std::move(ByFreed), FreedHere);
    return WithGangs.costPerTask() < Result.costPerTask() ? WithGangs : Result;
  }

  void setFree(std::size_t Index, const Resources &Free) {
    State &Member = States.at(Index);
    Member.Free = Free;
    TotalFits -= Member.Fits;
    Member.Fits = fits(Index, Free);
    TotalFits += Member.Fits;
  }

  void apply(const StopStep &Step) {
    std::set<std::size_t> Affected;
    for (std::size_t Victim : Step.Victims) {
      Stopped.insert(Victim);
      for (const auto &[Index, Freed] : Victims[Victim].Freed) {
        auto Member = States.find(Index);
        if (Member == States.end())
          continue;
        setFree(Index, Member->second.Free + Freed);
        Affected.insert(Index);
      }
    }
    if (TotalFits >= Request.Count)
      return;
    for (std::size_t Index : Affected)
      States.at(Index).Next = nextStep(Index);
  }

  /// Leaves out groups without which all tasks fit, the most expensive first.
  void dropUnneeded() {
    std::vector<std::size_t> Order(Stopped.begin(), Stopped.end());
    std::stable_sort(Order.begin(), Order.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return Victims[Left].Cost > Victims[Right].Cost;
                     });
    for (std::size_t Victim : Order) {
      std::map<std::size_t, Resources> Before;
      for (const auto &[Index, Freed] : Victims[Victim].Freed) {
        auto Member = States.find(Index);
        if (Member == States.end())
          continue;
        Before.try_emplace(Index, Member->second.Free);
        setFree(Index, Member->second.Free - Freed);
      }
      if (TotalFits >= Request.Count) {
        Stopped.erase(Victim);
        continue;
      }
      for (const auto &[Index, Free] : Before)
        setFree(Index, Free);
    }
  }

  ReclaimPlan result() const {
    ReclaimPlan Plan;
    Plan.Victims.assign(Stopped.begin(), Stopped.end());
    for (std::size_t Victim : Plan.Victims)
      Plan.Cost += Victims[Victim].Cost;
    Indexes Order = Region;
    std::stable_sort(Order.begin(), Order.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return States.at(Left).Fits > States.at(Right).Fits;
                     });
    std::uint32_t Missing = Request.Count;
    for (std::size_t Index : Order) {
      std::uint32_t Tasks = std::min(Missing, States.at(Index).Fits);
      if (Tasks > 0)
        Plan.Tasks[Index] = Tasks;
      Missing -= Tasks;
    }
    return Plan;
  }

  const PlacementRequest &Request;
  const std::vector<ReclaimWorker> &Workers;
  const std::vector<ReclaimVictim> &Victims;
  Indexes Region;
  std::unordered_map<std::size_t, State> States;
  std::set<std::size_t> Stopped;
  std::uint32_t TotalFits = 0;
};

} // namespace

std::optional<ReclaimPlan>
planReclaim(const PlacementRequest &Request,
            const std::vector<ReclaimWorker> &Workers,
            const std::vector<ReclaimVictim> &Victims) {
  std::map<RackId, Indexes> Regions;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index)
    Regions[Request.MaySpanRacks ? RackId() : Workers[Index].Worker->Rack]
        .push_back(Index);
  std::optional<ReclaimPlan> Best;
  for (auto &[Rack, Region] : Regions) {
    RegionPlanner Planner(Request, Workers, Victims, std::move(Region));
    std::optional<ReclaimPlan> Plan = Planner.plan();
    if (Plan && (!Best || Plan->Cost < Best->Cost))
      Best = std::move(Plan);
  }
  return Best;
}

} // namespace banyanworks::pool
