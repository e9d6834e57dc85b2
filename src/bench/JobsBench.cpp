/// \file
/// Registers the benchmark "jobs": quality of the job plane's decisions
/// compared with naive policies, and decision times.
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

SchedulerSettings naiveSettings() {
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

std::string yesNo(bool Met) { return Met ? "yes" : "no"; }

class JobsBench : public BenchCommand {
public:
  std::string description() const override {
    return "Scheduling of jobs, compared with naive policies";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", Seed, "Seed of the job lists");
    Command.add_option("--deployment", DeploymentFilter,
                       "hanbit, adeyemi, target or all");
    Command.add_option("--load", Load,
                       "Offered load as a fraction of the capacity");
    Command.add_flag("--skip-times", SkipTimes,
                     "Do not measure decision times");
  }

  BenchTable run() override {
    Table.Title =
        "Job plane, seed " + std::to_string(Seed) + ", load " + number(Load);
    if (DeploymentFilter == "all" || DeploymentFilter == "hanbit")
      compare(hanbit());
    if (DeploymentFilter == "all" || DeploymentFilter == "adeyemi")
      compare(adeyemi());
    if (DeploymentFilter == "all" || DeploymentFilter == "target")
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

  void compare(Deployment Cluster);
  void addGuarantees(const std::string &Case, const JobsReport &Report);
  void addCompletion(const std::string &Case, const JobsReport &Report,
                     const JobsReport &Naive);
  void measureTimes();

  std::uint64_t Seed = 1;
  std::string DeploymentFilter = "all";
  double Load = 0.85;
  bool SkipTimes = false;
  BenchTable Table;
};

void JobsBench::compare(Deployment Cluster) {
  Cluster.Load = Load;
  std::vector<SimulatedJob> Jobs = makeJobs(Cluster, Seed);
  Duration TimeLimit = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<3600>>(HoursAfterLastArrival));
  JobsReport Report =
      JobsSimulation(Cluster, SchedulerSettings()).run(Jobs, TimeLimit);
  JobsReport Naive =
      JobsSimulation(Cluster, naiveSettings()).run(Jobs, TimeLimit);
  const std::string &Case = Cluster.Name;
  add("jobs", Case, std::to_string(Jobs.size()));
  add("finished, failed, refused, unfinished", Case,
      std::to_string(Report.CompletionSeconds.size()) + ", " +
          std::to_string(Report.Failed) + ", " +
          std::to_string(Report.Refused) + ", " +
          std::to_string(Report.Unfinished));
  add("the same, naive", Case,
      std::to_string(Naive.CompletionSeconds.size()) + ", " +
          std::to_string(Naive.Failed) + ", " + std::to_string(Naive.Refused) +
          ", " + std::to_string(Naive.Unfinished));
  addGuarantees(Case, Report);
  addCompletion(Case, Report, Naive);
  double Outage = Report.OutageWorkPossible > 0
                      ? Report.OutageWorkDone / Report.OutageWorkPossible
                      : 0;
  double NaiveOutage = Naive.OutageWorkPossible > 0
                           ? Naive.OutageWorkDone / Naive.OutageWorkPossible
                           : 0;
  add("useful work while a domain is out of service, fraction of the possible",
      Case, number(Outage) + " (naive " + number(NaiveOutage) + ")",
      "at least 0.98", yesNo(Outage >= 0.98));
  add("starts in the domain that is out of service", Case,
      std::to_string(Report.StartsOutOfService), "0",
      yesNo(Report.StartsOutOfService == 0));
  double Lost = Report.WorkDone > 0 ? Report.WorkLost / Report.WorkDone : 0;
  double NaiveLost = Naive.WorkDone > 0 ? Naive.WorkLost / Naive.WorkDone : 0;
  add("work lost to reclaim and drain, fraction of work done", Case,
      number(100 * Lost, "%") + " (naive " + number(100 * NaiveLost, "%") + ")",
      "at most 1%", yesNo(Lost <= 0.01));
}

void JobsBench::addGuarantees(const std::string &Case,
                              const JobsReport &Report) {
  add("guarantees requested and not met within grace and 3.5 s", Case,
      std::to_string(Report.GuaranteedMisses) + " of " +
          std::to_string(Report.GuaranteedRequests),
      "0", yesNo(Report.GuaranteedMisses == 0));
  add("steps with guarantees that could not be packed", Case,
      std::to_string(Report.UnpackableSteps) + " of " +
          std::to_string(Report.CheckedSteps),
      "0", yesNo(Report.UnpackableSteps == 0));
}

void JobsBench::addCompletion(const std::string &Case, const JobsReport &Report,
                              const JobsReport &Naive) {
  double Mean = mean(Report.CompletionSeconds) / mean(Naive.CompletionSeconds);
  double Tail = percentile(Report.CompletionSeconds, 0.99) /
                percentile(Naive.CompletionSeconds, 0.99);
  add("mean completion time, naive = 1", Case,
      number(Mean) + " (" + number(mean(Report.CompletionSeconds), " s") + ")",
      "at most 0.5", yesNo(Mean <= 0.5));
  add("p99 completion time, naive = 1", Case,
      number(Tail) + " (" +
          number(percentile(Report.CompletionSeconds, 0.99), " s") + ")",
      "at most 0.5", yesNo(Tail <= 0.5));
}

/// Measures decisions on jobs that are submitted to a full failure domain with
/// \p Scale times the workers and tasks of the target size.
SchedulerTimes measureTimesAtScale(std::uint32_t Scale, std::uint64_t Seed) {
  Deployment Cluster = targetSize();
  Cluster.Domains = 1;
  Cluster.AcceleratorWorkers = 225 * Scale;
  Cluster.CpuOnlyWorkers = 975 * Scale;
  Cluster.OutageStart = std::chrono::hours(1000);
  Cluster.OutageEnd = std::chrono::hours(1001);
  Random Rng(Seed);
  std::vector<SimulatedJob> Jobs;
  std::uint64_t NextId = 1;
  auto Add = [&](Duration At, std::uint32_t Members, std::int32_t Each) {
    SimulatedJob Job;
    Job.Spec.Id = JobId(NextId++);
    Job.Spec.Workspace = makeWorkspaceId(Rng.below(Cluster.Workspaces));
    Job.Spec.Kind = JobKindId("kind");
    Job.Spec.Members = Members;
    Job.Spec.PerMember = Resources{900, 3000, Each};
    Job.Spec.ExpectedRunTime = std::chrono::hours(5);
    Job.SubmittedAt = TimePoint(At);
    Job.RunTime = std::chrono::minutes(60 + Rng.below(540));
    Jobs.push_back(Job);
  };
  // Initial load: 28,000 tasks in CPU-only gangs of 1 to 64 members and 1,200
  // accelerator tasks, times the scale.
  std::uint32_t Tasks = 0;
  while (Tasks < 28000 * Scale) {
    std::uint32_t Members = 1U << Rng.below(7);
    Add(std::chrono::milliseconds(Tasks), Members, 0);
    Tasks += Members;
  }
  for (std::uint32_t Index = 0; Index != 1200 * Scale; ++Index)
    Add(std::chrono::milliseconds(40000 * Scale + Index), 1, 1);
  Duration Begin = std::chrono::seconds(120 * Scale);
  for (std::uint32_t Index = 0; Index != 3000; ++Index) {
    std::int32_t Each = Rng.withProbability(0.2) ? 1 : 0;
    Add(Begin + Index * std::chrono::milliseconds(50), 1, Each);
  }
  for (std::uint32_t Index = 0; Index != 200; ++Index) {
    Duration At = std::chrono::seconds(160);
    At += Index * std::chrono::milliseconds(500);
    Add(Begin + At, 128, 0);
  }
  // Gangs of 128 members end after 200 ms, so that the next one can start.
  for (SimulatedJob &Job : Jobs) {
    if (Job.Spec.Members == 128)
      Job.RunTime = Job.Spec.ExpectedRunTime = std::chrono::milliseconds(200);
  }
  JobsSimulation Simulation(Cluster, SchedulerSettings());
  Simulation.run(Jobs, std::chrono::seconds(10));
  return Simulation.times();
}

void JobsBench::measureTimes() {
  SchedulerTimes Once = measureTimesAtScale(1, Seed);
  SchedulerTimes Twice = measureTimesAtScale(2, Seed);
  auto LastValues = [](const std::vector<double> &All, std::size_t Count) {
    Count = std::min(Count, All.size());
    return std::vector<double>(All.end() - static_cast<std::ptrdiff_t>(Count),
                               All.end());
  };
  std::vector<double> One = LastValues(Once.SingleTask, 3000);
  double OneTail = percentile(One, 0.99) * 1e6;
  add("p99 decision, one task", "1,200 workers, 30,000 tasks, one domain",
      number(OneTail, " µs"), "100 µs", yesNo(OneTail <= 100));
  double GangTail = percentile(Once.Gang128, 0.99) * 1e3;
  add("p99 decision, a gang of 128", "1,200 workers, 30,000 tasks, one domain",
      number(GangTail, " ms"), "5 ms",
      yesNo(!Once.Gang128.empty() && GangTail <= 5));
  double Ratio = mean(LastValues(Twice.SingleTask, 3000)) / mean(One);
  add("mean decision when workers and tasks double", "one task", number(Ratio),
      "at most 1.3", yesNo(Ratio <= 1.3));
  add("fragmentation at 85% occupancy", "", "not measured here",
      "at least 0.95");
}

const Registry<BenchCommand>::Registration Registered("jobs", [] {
  return std::make_unique<JobsBench>();
});

} // namespace

} // namespace banyanworks::bench
