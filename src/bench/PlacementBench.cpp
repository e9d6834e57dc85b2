/// \file
/// Registers the benchmark "placement": fragmentation under a sustained load
/// and placement decision times.
#include "bench/BenchCommand.h"
#include "bench/DecisionLoad.h"
#include "bench/PlacementLoad.h"
#include "jobs/Fragmentation.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace banyanworks::bench {

namespace {

std::string format(const char *Pattern, double Value) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), Pattern, Value);
  return Text.data();
}

std::string yesNo(bool Met) { return Met ? "yes" : "no"; }

/// One failure domain of a deployment.
struct Deployment {
  const char *Name;
  ClusterSize Size;
};

const std::array<Deployment, 3> Deployments = {{
    {"Hanbit, one of 3 domains", {17, 0, 8, {32000, 131072, 8}}},
    {"Adeyemi, one of 3 domains", {17, 0, 8, {64000, 131072, 8}}},
    {"target size, one of 11 domains", {21, 88, 8, {32000, 131072, 8}}},
}};

/// Fragmentation of one load: sums per gang size and means over the samples.
struct FragmentationResult {
  std::vector<GangSizeFit> Sums;
  double Mean = 0;
  double Occupancy = 0;
  LoadCounts Counts;
};

FragmentationResult runLoad(const ClusterSize &Size,
                            const LoadSettings &Settings,
                            std::uint64_t Events) {
  constexpr std::uint64_t SampleEvery = 20;
  PlacementLoad Load(Size, Settings);
  FragmentationResult Result;
  std::uint64_t Samples = 0;
  for (std::uint64_t Event = 0; Event < Events; ++Event) {
    Load.step();
    // The first tenth of the events fills the domain and is not sampled.
    if (Event < Events / 10 || Event % SampleEvery != 0)
      continue;
    std::vector<GangSizeFit> Fits = measureFragmentation(Load.cells());
    Result.Sums.resize(Fits.size());
    for (std::size_t Index = 0; Index < Fits.size(); ++Index) {
      Result.Sums[Index].Accelerators = Fits[Index].Accelerators;
      Result.Sums[Index].FitNow += Fits[Index].FitNow;
      Result.Sums[Index].FitPacked += Fits[Index].FitPacked;
    }
    Result.Mean += meanShare(Fits);
    Result.Occupancy += Load.occupancy();
    ++Samples;
  }
  Result.Mean /= double(Samples);
  Result.Occupancy /= double(Samples);
  Result.Counts = Load.counts();
  return Result;
}

class PlacementBench : public BenchCommand {
public:
  std::string description() const override {
    return "Fragmentation and decision times of the placement policies.";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", Seed, "Seed of the load");
    Command.add_option("--events", Events,
                       "Number of starts and ends of gangs");
    Command.add_option("--migrations", Migrations,
                       "Maximum number of gangs moved after a gang ends");
    Command.add_option("--decisions", Decisions,
                       "Decisions of each kind to measure");
  }

  BenchTable run() override {
    Table.Title = "Placement, seed " + std::to_string(Seed) + ", " +
                  std::to_string(Events) + " events";
    for (const Deployment &Cluster : Deployments) {
      measure(Cluster, "first-fit", 0);
      measure(Cluster, "cell-fit", 0);
      measure(Cluster, "cell-fit", Migrations);
    }
    measureTimes();
    return Table;
  }

private:
  /// Measures the same decisions with increasing numbers of workers; the last
  /// number is twice the one before.
  void measureTimes() {
    DecisionTimes Previous;
    for (std::uint32_t Workers : {110U, 600U, 1200U, 2400U}) {
      DecisionTimes Times = DecisionLoad(Workers, Seed).measure(Decisions);
      std::string Case = std::to_string(Workers) + " workers in one tree, " +
                         std::to_string(Times.Tasks) + " tasks";
      auto Add = [&](const char *Label, const std::vector<double> &Now,
                     const std::vector<double> &HalfSize, double Target) {
        double High = percentile(Now, 0.99);
        Table.Rows.push_back({std::string("decision p99, ") + Label, Case,
                              format("%.1f us", High),
                              format("<= %.0f us", Target),
                              yesNo(High <= Target)});
        if (Workers < 1200)
          return;
        double Ratio = percentile(Now, 0.5) / percentile(HalfSize, 0.5);
        Table.Rows.push_back(
            {std::string("median relative to half the size, ") + Label, Case,
             format("%.2f", Ratio), "<= 1.3", yesNo(Ratio <= 1.3)});
      };
      Add("a CPU-only task", Times.CpuOnlyTask, Previous.CpuOnlyTask, 100);
      Add("a task on borrowed accelerators", Times.AcceleratorTask,
          Previous.AcceleratorTask, 100);
      Add("a guaranteed task", Times.GuaranteedTask, Previous.GuaranteedTask,
          100);
      Add("a CPU-only gang of 128", Times.CpuOnlyGang, Previous.CpuOnlyGang,
          5000);
      if (Workers > 110)
        Add("a gang of 128 accelerators", Times.AcceleratorGang,
            Previous.AcceleratorGang, 5000);
      Add("victims for a guaranteed task, all else borrowed", Times.Reclaim,
          Previous.Reclaim, 100);
      Table.Rows.push_back({"reclaims that failed though covered", Case,
                            std::to_string(Times.FailedReclaims), "0",
                            yesNo(Times.FailedReclaims == 0)});
      if (Workers > 110)
        Table.Rows.push_back({"gangs of 128 without a placement", Case,
                              std::to_string(Times.UnplacedGangs), "", ""});
      Previous = std::move(Times);
    }
  }

  void measure(const Deployment &Cluster, const char *Policy,
               std::uint32_t MaxMoves) {
    LoadSettings Settings;
    Settings.Placement = Policy;
    Settings.Migrations = MaxMoves;
    Settings.Seed = Seed;
    FragmentationResult Result = runLoad(Cluster.Size, Settings, Events);
    std::string Case = std::string(Cluster.Name) + ", " + Policy;
    if (MaxMoves > 0)
      Case += " with migrations";
    bool HasTarget = MaxMoves > 0;
    for (const GangSizeFit &Size : Result.Sums) {
      if (Size.FitPacked == 0)
        continue;
      Table.Rows.push_back(
          {"gangs that fit, fraction of perfect packing: " +
               std::to_string(Size.Accelerators) + " accelerators",
           Case, format("%.3f", Size.share()), HasTarget ? ">= 0.95" : "",
           HasTarget ? yesNo(Size.share() >= 0.95) : ""});
    }
    Table.Rows.push_back({"mean over sizes and samples", Case,
                          format("%.3f", Result.Mean),
                          HasTarget ? ">= 0.95" : "",
                          HasTarget ? yesNo(Result.Mean >= 0.95) : ""});
    Table.Rows.push_back(
        {"occupancy", Case, format("%.3f", Result.Occupancy), "", ""});
    if (!HasTarget)
      return;
    Table.Rows.push_back({"moves per started gang", Case,
                          format("%.3f", double(Result.Counts.Moved) /
                                             double(Result.Counts.Started)),
                          "", ""});
    double Lost = Result.Counts.WorkLostToMoves / Result.Counts.WorkDone;
    Table.Rows.push_back({"work lost to moves, fraction of work done", Case,
                          format("%.5f", Lost), "<= 0.01",
                          yesNo(Lost <= 0.01)});
  }

  std::uint64_t Seed = 1;
  std::uint64_t Events = 100000;
  std::uint32_t Migrations = 4;
  std::uint32_t Decisions = 5000;
  BenchTable Table;
};

const Registry<BenchCommand>::Registration Registered("placement", [] {
  return std::make_unique<PlacementBench>();
});

} // namespace

} // namespace banyanworks::bench
