/// \file
/// Implements PoolWorld.
#include "support/PoolWorld.h"

#include "pool/JobName.h"
#include "pool/StoreKeys.h"

#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr unsigned WorkersPerRack = 8;
const QueueId UrgentQueue("urgent");

} // namespace

PoolWorld::PoolWorld(std::uint64_t Seed, unsigned DaemonCount, unsigned Racks,
                     const PoolLimits &Limits)
    : Shared(Clock), Pool(Clock), Seed(Seed), Limits(Limits) {
  Pool.Behaviour = [this](const TaskKey &Task) {
    const pool::JobSpec &Spec = Jobs.at(Task.Job);
    const StepSpec &Step = Spec.Steps[Task.Step];
    return TaskBehaviour{Step.held(), Work.at(Task.Job),
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
    boot(Number);
  }
}

PoolWorld::~PoolWorld() = default;

void PoolWorld::boot(std::size_t Number) {
  PoolDaemon &Of = *Daemons[Number];
  WatchPace Pace;
  Pace.Gather = 20ms;
  Of.Board = std::make_unique<JobBoard>(Of.Store, Of.Timers, Of.Log, Pace);
  Of.Intake = std::make_unique<JobIntake>(Of.Store, Of.Timers, Of.Log,
                                          *Of.Board, IntakeLimits());
  Of.Owner = std::make_unique<PoolOwner>(
      Of.Store, Of.Workers, Of.Timers, Of.Log, *Of.Board,
      DaemonId("daemon" + std::to_string(Number)), OwnerLimits(), Limits,
      Seed * 1000 + Number);
  Of.Owner->configure(Configuration);
  Of.Owner->setDomainsOut(DomainsOut);
  for (const auto &[Id, Worker] : Directory)
    Of.Owner->workerChanged(Id, &Worker);
  Of.Board->start();
  Of.Owner->start();
}

void PoolWorld::kill(std::size_t Number) {
  PoolDaemon &Of = *Daemons[Number];
  if (!Of.Owner)
    return;
  Of.Timers.dropPendingWork();
  OldOwners.push_back(std::move(Of.Owner));
  OldIntakes.push_back(std::move(Of.Intake));
  OldBoards.push_back(std::move(Of.Board));
}

void PoolWorld::restart(std::size_t Number) {
  kill(Number);
  boot(Number);
}

std::optional<std::size_t> PoolWorld::owner() const {
  for (std::size_t Number = 0; Number < Daemons.size(); ++Number)
    if (Daemons[Number]->Owner && Daemons[Number]->Owner->owns())
      return Number;
  return std::nullopt;
}

pool::JobSpec PoolWorld::job(std::uint64_t Id, std::uint32_t Tasks,
                             std::int32_t Accelerators, bool Gang,
                             Duration Time) {
  pool::JobSpec Spec;
  Spec.Id = JobId(Id);
  Spec.Queue = QueueId("batch");
  Spec.Workspace = WorkspaceId("a");
  Spec.Terms = Configuration.queue(Spec.Queue)->Terms;
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.PerTask = {1000, 1024, Accelerators};
  Step.Gang = Gang;
  Step.Estimate = Time;
  Spec.Steps.push_back(Step);
  Spec.AcceptedAt = WallTime(Clock.now().time_since_epoch());
  Jobs[Spec.Id] = Spec;
  Work[Spec.Id] = Time;
  return Spec;
}

std::shared_ptr<std::optional<Reason>>
PoolWorld::submit(std::size_t Number, const pool::JobSpec &Spec) {
  Jobs[Spec.Id] = Spec;
  auto Answer = std::make_shared<std::optional<Reason>>();
  Daemons[Number]->Intake->submit(
      Spec, Clock.now() + 3s,
      [this, Answer, Id = Spec.Id](Reason Why, Duration Wait) {
        *Answer = Why;
        RetryAfter[Id] = Wait;
      });
  return Answer;
}

void PoolWorld::cancel(std::size_t Number, JobId Id) {
  Daemons[Number]->Intake->cancel(Id, Clock.now() + 3s, [](Reason) {});
}

JobStatus PoolWorld::shown(JobId Id) const {
  JobBoard::Entry Known;
  ListResult Found = Shared.list(std::string(StatusPrefix) + jobName(Id));
  if (!Found.Entries.empty())
    Known.Status =
        parseJobStatus(Found.Entries.front().Value).value_or(JobStatus::Queued);
  Known.Cancelled =
      !Shared.list(std::string(CancelPrefix) + jobName(Id)).Entries.empty();
  return Known.shown();
}

void PoolWorld::setDomainsOut(const std::set<DomainId> &Out) {
  DomainsOut = Out;
  for (auto &Of : Daemons)
    if (Of->Owner)
      Of->Owner->setDomainsOut(Out);
}

void PoolWorld::unlist(const WorkerId &Id) {
  Directory.erase(Id);
  for (auto &Of : Daemons)
    if (Of->Owner)
      Of->Owner->workerChanged(Id, nullptr);
}

void PoolWorld::list(const WorkerId &Id, bool Draining) {
  PoolWorker &Worker = Directory.emplace(Id, Pool.info(Id)).first->second;
  Worker.Draining = Draining;
  Worker.LeavesIn = 2s;
  for (auto &Of : Daemons)
    if (Of->Owner)
      Of->Owner->workerChanged(Id, &Worker);
}

} // namespace banyanworks::testing
