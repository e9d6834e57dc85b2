/// \file
/// Defines the series of the owner of a failure domain: memory of workers and
/// tasks, processor time of a job's life, and the time of a recovery.
#include "bench/CapacitySeries.h"
#include "jobs/DomainScheduler.h"
#include "kernel/Registry.h"

#include <memory>

namespace banyanworks::bench {

namespace {

constexpr double BytesPerMiB = 1 << 20;
constexpr double MicrosPerSecond = 1e6;
constexpr double MillisPerSecond = 1e3;
constexpr std::uint32_t WorkersPerRack = 8;
constexpr std::uint32_t TargetWorkers = 110;
constexpr std::uint32_t TargetTasks = 2700;
constexpr std::uint32_t Workspaces = 300;
/// Jobs whose whole life is measured at each size.
constexpr std::uint32_t MeasuredJobs = 400;
const DomainId Domain("domain-1");

WorkerInfo workerInfo(std::uint32_t Index) {
  WorkerInfo Info;
  Info.Id = WorkerId("worker-" + std::to_string(Index));
  Info.Domain = Domain;
  Info.RackNumber = Index / WorkersPerRack;
  Info.Rack = RackId("rack-" + std::to_string(Info.RackNumber));
  // Three accelerators in two workers, as 1,800 among 1,200 workers, and
  // room for any number of small tasks.
  Info.Capacity = {1'000'000, 4'000'000, Index % 4 == 0 ? 6 : 0};
  Info.AcceleratorModel = Info.Capacity.Accelerators > 0 ? "a" : "";
  return Info;
}

WorkspaceId workspaceId(std::uint32_t Index) {
  return WorkspaceId("workspace-" + std::to_string(Index % Workspaces));
}

std::shared_ptr<const JobSpec> smallJob(std::uint32_t Index) {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(Index + 1);
  Spec->Workspace = workspaceId(Index);
  Spec->Service = ServiceId("service-" + std::to_string(Index % Workspaces));
  Spec->Kind = JobKindId("small");
  Spec->PerMember = {500, 1024, 0};
  Spec->ExpectedRunTime = std::chrono::hours(4);
  return Spec;
}

std::shared_ptr<const Configuration> configuration() {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigVersion(1);
  Config->Domains[Domain].Id = Domain;
  for (std::uint32_t I = 0; I < Workspaces; ++I)
    Config->Workspaces[workspaceId(I)].Id = workspaceId(I);
  return Config;
}

/// A scheduler that owns a domain with workers that run one task a job.
class OwnedDomain {
public:
  OwnedDomain() : Scheduler(settings(), Domain) {}

  void recover(std::uint32_t Workers, std::uint32_t Tasks) {
    std::vector<WorkerInventory> Inventories(Workers);
    OwnershipGained Gained;
    Gained.Term = Epoch(1);
    Gained.RecordsComplete = true;
    for (std::uint32_t I = 0; I < Workers; ++I) {
      Inventories[I].Info = workerInfo(I);
      Inventories[I].Session = Incarnation(1);
      Gained.ExpectedWorkers.push_back(Inventories[I].Info.Id);
    }
    for (std::uint32_t I = 0; I < Tasks; ++I) {
      auto Spec = smallJob(I);
      ActiveTask Task;
      Task.Task = {Spec->Id, 1, 0};
      Task.GrantEpoch = Epoch(0);
      Task.Phase = TaskPhase::Running;
      Task.Spec = Spec;
      Inventories[I % Workers].Tasks.push_back(Task);
      Gained.Jobs.push_back(Spec);
    }
    give(ConfigurationChanged{configuration()});
    give(PermissionRenewed{TimePoint::max()});
    give(Gained);
    for (WorkerInventory &Inventory : Inventories)
      give(WorkerJoined{std::move(Inventory)});
    give(Tick{});
  }

  /// Runs a job from its submission to its end with answers at once.
  void runJob(std::uint32_t Index) {
    auto Spec = smallJob(Index);
    give(JobSubmitted{Spec});
    Now += std::chrono::milliseconds(50);
    give(Tick{});
  }

  std::size_t runningJobs() const {
    std::size_t Running = 0;
    for (const JobView &View : Scheduler.jobs())
      Running += View.Phase == JobPhase::Running ? 1 : 0;
    return Running;
  }
  std::uint64_t ended() const { return Ended; }

private:
  static SchedulerSettings settings() {
    SchedulerSettings Settings;
    Settings.PlacementPolicy = "cell-fit";
    Settings.VictimPolicy = "least-loss";
    return Settings;
  }

  void give(const JobEvent &Event) {
    std::vector<JobAction> Actions = Scheduler.handle(Now, Event);
    for (const JobAction &Action : Actions)
      std::visit([this](const auto &Order) { answer(Order); }, Action);
  }

  void answer(const HoldTask &Order) {
    give(HoldAnswered{Order.Task, Order.Worker, OrderResult::Done});
  }
  void answer(const StartTask &Order) {
    give(StartAnswered{Order.Task, Order.Worker, OrderResult::Done});
    give(TaskEnded{Order.Task, Order.Worker, TaskEnd::Succeeded, {}});
  }
  void answer(const JobProgressed &Progress) {
    if (Progress.Phase != JobPhase::Succeeded)
      return;
    ++Ended;
    give(OutcomeRecorded{Progress.Job});
  }
  template <typename Other> void answer(const Other &) {}

  DomainScheduler Scheduler;
  TimePoint Now{std::chrono::seconds(1000)};
  std::uint64_t Ended = 0;
};

class OwnerSeries : public CapacitySeries {
public:
  std::string role() const override { return "owner of a failure domain"; }
};

class OwnerTaskMemory : public OwnerSeries {
public:
  std::string cost() const override { return "heap, MiB"; }
  std::string size() const override { return "running tasks"; }
  std::vector<double> sizes() const override {
    return {1000, 2000, 4000, 8000, 16000};
  }
  double targetSize() const override { return TargetTasks; }
  double measure(double Size, std::uint64_t) override {
    double Before = heapBytes();
    OwnedDomain Owned;
    Owned.recover(TargetWorkers, static_cast<std::uint32_t>(Size));
    return (heapBytes() - Before) / BytesPerMiB;
  }
};

class OwnerWorkerMemory : public OwnerSeries {
public:
  std::string cost() const override { return "heap, MiB"; }
  std::string size() const override { return "workers"; }
  std::vector<double> sizes() const override {
    return {110, 220, 440, 880, 1760};
  }
  double targetSize() const override { return TargetWorkers; }
  double measure(double Size, std::uint64_t) override {
    double Before = heapBytes();
    OwnedDomain Owned;
    Owned.recover(static_cast<std::uint32_t>(Size), 100);
    return (heapBytes() - Before) / BytesPerMiB;
  }
};

class OwnerRecoveryTime : public OwnerSeries {
public:
  std::string cost() const override {
    return "processor time of a recovery, ms";
  }
  std::string size() const override { return "running tasks"; }
  std::vector<double> sizes() const override {
    return {1000, 2000, 4000, 8000, 16000};
  }
  double targetSize() const override { return TargetTasks; }
  double measure(double Size, std::uint64_t) override {
    OwnedDomain Owned;
    double Before = processorSeconds();
    Owned.recover(TargetWorkers, static_cast<std::uint32_t>(Size));
    return (processorSeconds() - Before) * MillisPerSecond;
  }
};

class OwnerJobTime : public OwnerSeries {
public:
  std::string cost() const override {
    return "processor time of a job's whole life, us";
  }
  std::string size() const override { return "running tasks beside it"; }
  std::vector<double> sizes() const override {
    return {1000, 2000, 4000, 8000, 16000};
  }
  double targetSize() const override { return TargetTasks; }
  double measure(double Size, std::uint64_t) override {
    auto Tasks = static_cast<std::uint32_t>(Size);
    OwnedDomain Owned;
    Owned.recover(TargetWorkers, Tasks);
    double Before = processorSeconds();
    for (std::uint32_t I = 0; I < MeasuredJobs; ++I)
      Owned.runJob(Tasks + I);
    double Spent = processorSeconds() - Before;
    if (Owned.ended() != MeasuredJobs)
      return -1;
    return Spent * MicrosPerSecond / MeasuredJobs;
  }
};

using Registration = Registry<CapacitySeries>::Registration;

const Registration TaskMemory("owner-task-memory", [] {
  return std::make_unique<OwnerTaskMemory>();
});
const Registration WorkerMemory("owner-worker-memory", [] {
  return std::make_unique<OwnerWorkerMemory>();
});
const Registration RecoveryTime("owner-recovery", [] {
  return std::make_unique<OwnerRecoveryTime>();
});
const Registration JobTime("owner-job",
                           [] { return std::make_unique<OwnerJobTime>(); });

} // namespace

} // namespace banyanworks::bench
