/// \file
/// Registers the benchmark "jobs": the job plane's decisions against the naive
/// policies, and the time that decisions take.
#include "base/Random.h"
#include "bench/BenchCommand.h"
#include "bench/JobsSimulation.h"
#include "kernel/Registry.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace banyanworks::bench {

namespace {

constexpr double HoursAfterLastArrival = 72;

SchedulerSettings naive() {
  SchedulerSettings Result;
  Result.OrderPolicy = "arrival";
  Result.PlacementPolicy = "first-fit";
  Result.VictimPolicy = "newest-whole-job";
  Result.ProtectUncheckpointable = false;
  return Result;
}

double mean(const std::vector<double> &Values) {
  if (Values.empty())
    return 0;
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(Values.size());
}

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

std::string number(double Value, const char *Unit = "") {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%.3g%s", Value, Unit);
  return Text;
}

std::string met(bool Yes) { return Yes ? "yes" : "no"; }

class JobsBench : public BenchCommand {
public:
  std::string description() const override {
    return "Decisions about jobs, against the naive policies";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", Seed, "Seed of the job lists");
    Command.add_option("--deployment", Only, "hanbit, adeyemi, target or all");
    Command.add_option("--load", Load, "Offered load, of the capacity");
    Command.add_flag("--skip-times", SkipTimes,
                     "Leave out the time that decisions take");
  }

  BenchTable run() override {
    Table.Title =
        "Job plane, seed " + std::to_string(Seed) + ", load " + number(Load);
    if (Only == "all" || Only == "hanbit")
      compare(hanbit());
    if (Only == "all" || Only == "adeyemi")
      compare(adeyemi());
    if (Only == "all" || Only == "target")
      compare(targetSize());
    if (!SkipTimes)
      measureTimes();
    return Table;
  }

private:
  void add(const std::string &Measure, const std::string &Case,
           const std::string &Value, const std::string &Target = "",
           const std::string &Met = "") {
    Table.Rows.push_back(BenchRow{Measure, Case, Value, Target, Met});
  }

  void compare(Deployment Where);
  void addGuarantees(const std::string &Case, const JobsReport &Ours);
  void addCompletion(const std::string &Case, const JobsReport &Ours,
                     const JobsReport &Naive);
  void measureTimes();

  std::uint64_t Seed = 1;
  std::string Only = "all";
  double Load = 0.85;
  bool SkipTimes = false;
  BenchTable Table;
};

void JobsBench::compare(Deployment Where) {
  Where.Load = Load;
  std::vector<SimulatedJob> Jobs = jobsOf(Where, Seed);
  Duration Limit = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<3600>>(HoursAfterLastArrival));
  JobsReport Ours = JobsSimulation(Where, SchedulerSettings()).run(Jobs, Limit);
  JobsReport Naive = JobsSimulation(Where, naive()).run(Jobs, Limit);
  const std::string &Case = Where.Name;
  add("jobs", Case, std::to_string(Jobs.size()));
  add("finished, failed, refused, unfinished", Case,
      std::to_string(Ours.CompletionSeconds.size()) + ", " +
          std::to_string(Ours.Failed) + ", " + std::to_string(Ours.Refused) +
          ", " + std::to_string(Ours.Unfinished));
  add("the same, naive", Case,
      std::to_string(Naive.CompletionSeconds.size()) + ", " +
          std::to_string(Naive.Failed) + ", " + std::to_string(Naive.Refused) +
          ", " + std::to_string(Naive.Unfinished));
  addGuarantees(Case, Ours);
  addCompletion(Case, Ours, Naive);
  double Outage =
      Ours.OutagePossible > 0 ? Ours.OutageWork / Ours.OutagePossible : 0;
  double NaiveOutage =
      Naive.OutagePossible > 0 ? Naive.OutageWork / Naive.OutagePossible : 0;
  add("useful work while a domain is out, of what the rest could do", Case,
      number(Outage) + " (naive " + number(NaiveOutage) + ")", "at least 0.98",
      met(Outage >= 0.98));
  add("starts in the domain that is out", Case,
      std::to_string(Ours.StartsWhileOut), "0", met(Ours.StartsWhileOut == 0));
  double Lost = Ours.WorkDone > 0 ? Ours.WorkLost / Ours.WorkDone : 0;
  double NaiveLost = Naive.WorkDone > 0 ? Naive.WorkLost / Naive.WorkDone : 0;
  add("work lost to reclaim and drain, of work done", Case,
      number(100 * Lost, "%") + " (naive " + number(100 * NaiveLost, "%") + ")",
      "at most 1%", met(Lost <= 0.01));
}

void JobsBench::addGuarantees(const std::string &Case, const JobsReport &Ours) {
  add("guarantees asked for and not had within grace and 3.5 s", Case,
      std::to_string(Ours.GuaranteedMisses) + " of " +
          std::to_string(Ours.GuaranteedAsks),
      "0", met(Ours.GuaranteedMisses == 0));
  add("steps with a guarantee that could not be carved", Case,
      std::to_string(Ours.UncarvableSteps) + " of " +
          std::to_string(Ours.CheckedSteps),
      "0", met(Ours.UncarvableSteps == 0));
}

void JobsBench::addCompletion(const std::string &Case, const JobsReport &Ours,
                              const JobsReport &Naive) {
  double Mean = mean(Ours.CompletionSeconds) / mean(Naive.CompletionSeconds);
  double Tail = percentile(Ours.CompletionSeconds, 0.99) /
                percentile(Naive.CompletionSeconds, 0.99);
  add("mean completion time, naive = 1", Case,
      number(Mean) + " (" + number(mean(Ours.CompletionSeconds), " s") + ")",
      "at most 0.5", met(Mean <= 0.5));
  add("p99 completion time, naive = 1", Case,
      number(Tail) + " (" +
          number(percentile(Ours.CompletionSeconds, 0.99), " s") + ")",
      "at most 0.5", met(Tail <= 0.5));
}

/// A single failure domain with all workers and tasks of the target size,
/// times \p Scale, filled and then asked for more.
DecisionTimes timesAt(std::uint32_t Scale, std::uint64_t Seed) {
  Deployment Where = targetSize();
  Where.Domains = 1;
  Where.AcceleratorWorkers = 225 * Scale;
  Where.PlainWorkers = 975 * Scale;
  Where.OutAt = std::chrono::hours(1000);
  Where.BackAt = std::chrono::hours(1001);
  Random Dice(Seed);
  std::vector<SimulatedJob> Jobs;
  std::uint64_t NextId = 1;
  auto Add = [&](Duration At, std::uint32_t Members, std::int32_t Each) {
    SimulatedJob Job;
    Job.Spec.Id = JobId(NextId++);
    Job.Spec.Workspace = workspaceName(Dice.below(Where.Workspaces));
    Job.Spec.Kind = JobKindId("kind");
    Job.Spec.Members = Members;
    Job.Spec.PerMember = Resources{900, 3000, Each};
    Job.Spec.ExpectedRunTime = std::chrono::hours(5);
    Job.SubmittedAt = TimePoint(At);
    Job.Needs = std::chrono::minutes(60 + Dice.below(540));
    Jobs.push_back(Job);
  };
  // The fill: 30,000 tasks in gangs of 1 to 64.
  std::uint32_t Tasks = 0;
  while (Tasks < 28000 * Scale) {
    std::uint32_t Members = 1U << Dice.below(7);
    Add(std::chrono::milliseconds(Tasks), Members, 0);
    Tasks += Members;
  }
  for (std::uint32_t Index = 0; Index != 1200 * Scale; ++Index)
    Add(std::chrono::milliseconds(40000 * Scale + Index), 1, 1);
  Duration Begin = std::chrono::seconds(120 * Scale);
  for (std::uint32_t Index = 0; Index != 3000; ++Index) {
    std::int32_t Each = Dice.chance(0.2) ? 1 : 0;
    Add(Begin + Index * std::chrono::milliseconds(50), 1, Each);
  }
  for (std::uint32_t Index = 0; Index != 200; ++Index) {
    Duration At = std::chrono::seconds(160);
    At += Index * std::chrono::milliseconds(500);
    Add(Begin + At, 128, 0);
  }
  // The probes of 128 members end soon, so that there is room for the next.
  for (SimulatedJob &Job : Jobs) {
    if (Job.Spec.Members == 128)
      Job.Needs = Job.Spec.ExpectedRunTime = std::chrono::milliseconds(200);
  }
  JobsSimulation Simulation(Where, SchedulerSettings());
  Simulation.run(Jobs, std::chrono::seconds(10));
  return Simulation.times();
}

void JobsBench::measureTimes() {
  DecisionTimes Once = timesAt(1, Seed);
  DecisionTimes Twice = timesAt(2, Seed);
  auto Late = [](const std::vector<double> &All, std::size_t Count) {
    Count = std::min(Count, All.size());
    return std::vector<double>(All.end() - static_cast<std::ptrdiff_t>(Count),
                               All.end());
  };
  std::vector<double> One = Late(Once.OneTask, 3000);
  double OneTail = percentile(One, 0.99) * 1e6;
  add("p99 decision, one task", "1,200 workers, 30,000 tasks, one domain",
      number(OneTail, " µs"), "100 µs", met(OneTail <= 100));
  double GangTail = percentile(Once.Gang128, 0.99) * 1e3;
  add("p99 decision, a gang of 128", "1,200 workers, 30,000 tasks, one domain",
      number(GangTail, " ms"), "5 ms",
      met(!Once.Gang128.empty() && GangTail <= 5));
  double Ratio = mean(Late(Twice.OneTask, 3000)) / mean(One);
  add("mean decision when workers and tasks double", "one task", number(Ratio),
      "at most 1.3", met(Ratio <= 1.3));
  add("fragmentation at 85% occupancy", "", "not measured here",
      "at least 0.95");
}

const Registry<BenchCommand>::Registration Registered("jobs", [] {
  return std::make_unique<JobsBench>();
});

} // namespace

} // namespace banyanworks::bench
