/// \file
/// Implements PoolSimulation.
#include "support/PoolSimulation.h"

#include "pool/JobName.h"
#include "pool/StoreKeys.h"
#include "pool/WorkspaceCap.h"

#include <ostream>
#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr unsigned WorkersPerRack = 8;
const QueueId UrgentQueue("urgent");
/// Time until the directory shows the restart of a worker: an interval between
/// its heartbeats.
constexpr Duration DirectoryDelay = 1s;

} // namespace

PoolSimulation::PoolSimulation(std::uint64_t Seed, unsigned DaemonCount,
                               unsigned Racks, const PoolLimits &Limits,
                               const OwnerLimits &Ownership,
                               bool DetectsOutages)
    : Shared(Clock), Pool(Clock), DetectsOutages(DetectsOutages), Seed(Seed),
      Limits(Limits), Ownership(Ownership) {
  Pool.Behaviour = [this](const TaskKey &Task) {
    const pool::JobSpec &Spec = Jobs.at(Task.Job);
    const StepSpec &Step = Spec.Steps[Task.Step];
    return TaskBehaviour{Step.allocatedResources(), RunTimes.at(Task.Job),
                         Step.Gang ? Step.Tasks : 0, Spec.Program == "fails"};
  };
  for (unsigned Rack = 0; Rack < Racks; ++Rack) {
    for (unsigned Number = 0; Number < WorkersPerRack; ++Number) {
      PoolWorker Worker;
      std::string Name = std::to_string(Rack) + "-" + std::to_string(Number);
      Worker.Id = WorkerId("w" + Name);
      Worker.Address =
          "10.0." + std::to_string(Rack) + "." + std::to_string(Number) + ":1";
      Worker.Domain = DomainId("d" + std::to_string(Rack));
      Worker.Rack = RackId("r" + std::to_string(Rack));
      Worker.Service = ServiceId("service");
      Worker.Capacity = {32000, 131072, 8};
      Pool.add(Worker);
      Directory[Worker.Id] = Worker;
    }
  }
  QueueSpec Urgent;
  Urgent.Id = UrgentQueue;
  Urgent.Terms.Service = ServiceId("service");
  Urgent.Terms.Stretch = 1.5;
  Urgent.Terms.MaxAttempts = 3;
  QueueSpec Batch = Urgent;
  Batch.Id = QueueId("batch");
  Batch.Terms.Priority = 2;
  Batch.Terms.Stretch = 3.0;
  Configuration.Version = ConfigVersion(1);
  Configuration.Queues = {Urgent, Batch};
  Configuration.Guarantees[WorkspaceId("a")] =
      static_cast<std::int32_t>(Racks * WorkersPerRack * 8 / 2);
  for (unsigned Number = 0; Number < DaemonCount; ++Number) {
    Daemons.push_back(
        std::make_unique<PoolDaemon>(Clock, Shared, Pool, Seed * 100 + Number));
    startDaemon(Number);
  }
}

PoolSimulation::~PoolSimulation() = default;

void PoolSimulation::startDaemon(std::size_t Number) {
  PoolDaemon &Daemon = *Daemons[Number];
  WatchTiming Timing;
  Timing.BatchDelay = 20ms;
  Daemon.KnownJobs = std::make_unique<JobCache>(
      Daemon.CheckedStore, Daemon.Timers, Daemon.Log, Timing);
  Daemon.Health = StoreHealth();
  Daemon.Intake = std::make_unique<JobIntake>(
      Daemon.CheckedStore, Daemon.Timers, Daemon.Log, *Daemon.KnownJobs,
      DetectsOutages ? &Daemon.Health : nullptr, Intake);
  Daemon.Owner = std::make_unique<PoolOwner>(
      Daemon.CheckedStore, Daemon.Workers, Daemon.Timers, Daemon.Log,
      *Daemon.KnownJobs, DaemonId("daemon" + std::to_string(Number)), Ownership,
      Limits, Seed * 1000 + Number);
  if (ConfiguresNewDaemons)
    Daemon.Owner->configure(Configuration);
  Daemon.Owner->setDomainsOutOfService(DomainsOutOfService);
  for (const auto &[Id, Worker] : Directory)
    Daemon.Owner->workerChanged(Id, &Worker);
  Daemon.KnownJobs->start();
  Daemon.Owner->start();
}

void PoolSimulation::kill(std::size_t Number) {
  PoolDaemon &Daemon = *Daemons[Number];
  if (!Daemon.Owner)
    return;
  Daemon.Timers.dropPendingWork();
  OldOwners.push_back(std::move(Daemon.Owner));
  OldIntakes.push_back(std::move(Daemon.Intake));
  OldJobCaches.push_back(std::move(Daemon.KnownJobs));
}

void PoolSimulation::restart(std::size_t Number) {
  kill(Number);
  startDaemon(Number);
}

std::optional<std::size_t> PoolSimulation::owner() const {
  for (std::size_t Number = 0; Number < Daemons.size(); ++Number)
    if (Daemons[Number]->Owner && Daemons[Number]->Owner->owns())
      return Number;
  return std::nullopt;
}

pool::JobSpec PoolSimulation::job(std::uint64_t Id, std::uint32_t Tasks,
                                  std::int32_t Accelerators, bool Gang,
                                  Duration RunTime) {
  pool::JobSpec Spec;
  Spec.Id = JobId(Id);
  Spec.Queue = QueueId("batch");
  Spec.Workspace = WorkspaceId("a");
  Spec.Terms = Configuration.findQueue(Spec.Queue)->Terms;
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.PerTask = {1000, 1024, Accelerators};
  Step.Gang = Gang;
  Step.Estimate = RunTime;
  Spec.Steps.push_back(Step);
  Spec.AcceptedAt = WallTime(Clock.now().time_since_epoch());
  Jobs[Spec.Id] = Spec;
  RunTimes[Spec.Id] = RunTime;
  return Spec;
}

std::shared_ptr<std::optional<Reason>>
PoolSimulation::submit(std::size_t Number, const pool::JobSpec &Spec) {
  Jobs[Spec.Id] = Spec;
  auto Answer = std::make_shared<std::optional<Reason>>();
  Reason Refusal = Reason::None;
  if (exceedsWorkspaceCap(Spec, Configuration, Limits.CapOverage))
    Refusal = Reason::ExceedsWorkspaceCap;
  Daemons[Number]->Intake->submit(
      Spec, Clock.now() + 3s, Refusal,
      [this, Answer, Id = Spec.Id](Reason Outcome, Duration Delay) {
        *Answer = Outcome;
        Answers[Id].push_back(Outcome);
        RetryAfter[Id] = Delay;
      });
  return Answer;
}

void PoolSimulation::cancel(std::size_t Number, JobId Id) {
  Daemons[Number]->Intake->cancel(Id, Clock.now() + 3s, [](Reason) {});
}

JobStatus PoolSimulation::visibleStatus(JobId Id) const {
  JobCache::Entry Stored;
  ListResult Found = Shared.list(std::string(StatusPrefix) + jobName(Id));
  if (!Found.Entries.empty())
    Stored.Status =
        parseJobStatus(Found.Entries.front().Value).value_or(JobStatus::Queued);
  Stored.Cancelled =
      !Shared.list(std::string(CancelPrefix) + jobName(Id)).Entries.empty();
  return Stored.visibleStatus();
}

void PoolSimulation::applyConfiguration() {
  for (auto &Daemon : Daemons)
    if (Daemon->Owner)
      Daemon->Owner->configure(Configuration);
}

void PoolSimulation::setDomainsOutOfService(
    const std::set<DomainId> &OutOfService) {
  DomainsOutOfService = OutOfService;
  for (auto &Daemon : Daemons)
    if (Daemon->Owner)
      Daemon->Owner->setDomainsOutOfService(OutOfService);
}

void PoolSimulation::announce(const WorkerId &Id) {
  auto Listed = Directory.find(Id);
  const PoolWorker *Entry =
      Listed == Directory.end() ? nullptr : &Listed->second;
  for (auto &Daemon : Daemons)
    if (Daemon->Owner)
      Daemon->Owner->workerChanged(Id, Entry);
}

void PoolSimulation::setReachable(const WorkerId &Id, bool Reachable) {
  for (auto &Daemon : Daemons) {
    WorkerFaults &Faults = Daemon->Workers.Faults;
    Faults.Unheard.erase(Id);
    if (Reachable)
      Faults.Unresponsive.erase(Id);
    else
      Faults.Unresponsive.insert(Id);
  }
}

void PoolSimulation::loseAnswers(const WorkerId &Id) {
  for (auto &Daemon : Daemons)
    Daemon->Workers.Faults.Unheard.insert(Id);
}

void PoolSimulation::removeDaemonFaults() {
  for (std::size_t Number = 0; Number < Daemons.size(); ++Number) {
    PoolDaemon &Daemon = *Daemons[Number];
    Daemon.Store.Faults = StoreFaults();
    Daemon.Workers.Faults = WorkerFaults();
    Daemon.Timers.pauseUntil(TimePoint::min());
    Daemon.Timers.setWorkDuration(Duration::zero());
    if (!Daemon.Owner)
      restart(Number);
  }
}

void PoolSimulation::writeLogs(std::ostream &Out) const {
  for (std::size_t Number = 0; Number < Daemons.size(); ++Number)
    for (const std::string &Line : Daemons[Number]->Log.lines())
      Out << Line << " daemon=" << Number << '\n';
}

void PoolSimulation::unlistWorker(const WorkerId &Id) {
  Directory.erase(Id);
  announce(Id);
}

void PoolSimulation::restartWorker(const WorkerId &Id) {
  Pool.crash(Id);
  Pool.restart(Id);
  Clock.scheduleAfter(DirectoryDelay, [this, Id] {
    auto Listed = Directory.find(Id);
    if (Listed == Directory.end())
      return;
    Listed->second.WorkerIncarnation = Pool.info(Id).WorkerIncarnation;
    announce(Id);
  });
}

void PoolSimulation::labelWorker(const WorkerId &Id, const std::string &Label) {
  Directory.at(Id).Labels.push_back(Label);
  announce(Id);
}

void PoolSimulation::resizeWorker(const WorkerId &Id,
                                  const Resources &Capacity) {
  Pool.resize(Id, Capacity);
  auto Listed = Directory.find(Id);
  if (Listed == Directory.end())
    return;
  Listed->second.Capacity = Capacity;
  announce(Id);
}

void PoolSimulation::listWorker(const WorkerId &Id, bool Draining) {
  PoolWorker &Worker = Directory.emplace(Id, Pool.info(Id)).first->second;
  Worker.Draining = Draining;
  Worker.LeavesIn = 2s;
  announce(Id);
}

} // namespace banyanworks::testing
