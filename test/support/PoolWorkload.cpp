/// \file
/// Implements PoolWorkload.
#include "support/PoolWorkload.h"

#include <algorithm>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr Duration StepTime = 10ms;
constexpr Duration ReportInterval = 50ms;
constexpr unsigned WorkersPerRack = 8;
constexpr std::size_t MaxEntries = 100000;
const Resources WorkerCapacity{64000, 262144, 8};

double weightInCores(const Resources &Held) {
  return static_cast<double>(Held.MilliCores) / 1000.0 +
         8.0 * Held.Accelerators;
}

} // namespace

PoolWorkload::PoolWorkload(unsigned Racks, const PoolLimits &Limits,
                           Duration CheckpointInterval, Duration RestoreTime)
    : Scheduler(Limits, Log), StopTime(Limits.StopTime),
      CheckpointInterval(CheckpointInterval), RestoreTime(RestoreTime) {
  Clock.runUntil(TimePoint(100s));
  auto AddQueue = [this](const char *Name, std::uint32_t Priority,
                         double Stretch, Duration Slack) {
    QueueSpec &Queue = Queues[Name];
    Queue.Id = QueueId(Name);
    Queue.Terms.Service = ServiceId("service");
    Queue.Terms.Priority = Priority;
    Queue.Terms.Stretch = Stretch;
    Queue.Terms.Slack = Slack;
    Queue.Terms.MaxAttempts = 3;
  };
  AddQueue("urgent", 0, 1.5, 250ms);
  AddQueue("gangs", 1, 3.0, 1s);
  AddQueue("singles", 2, 3.0, 3s);
  PoolConfiguration Configuration;
  for (const auto &Entry : Queues)
    Configuration.Queues.push_back(Entry.second);
  Scheduler.configure(Configuration);
  for (unsigned Number = 0; Number < Racks * WorkersPerRack; ++Number) {
    PoolWorker Worker;
    Worker.Id = WorkerId("w" + std::to_string(100 + Number));
    Worker.Address = Worker.Id.str() + ":1";
    Worker.Service = ServiceId("service");
    Worker.Rack = RackId("r" + std::to_string(Number / WorkersPerRack));
    Worker.Capacity = WorkerCapacity;
    Allocated[Worker.Id] = {};
    Workers[Worker.Id] = Worker;
    Scheduler.updateWorker(Worker, Clock.now());
  }
}

WorkloadJob &PoolWorkload::add(std::uint64_t Id, const char *Queue,
                               TimePoint At, std::uint32_t Tasks,
                               const Resources &PerTask, Duration RunTime) {
  WorkloadJob &Added = Jobs[JobId(Id)];
  Added.Spec.Id = JobId(Id);
  Added.Spec.Queue = QueueId(Queue);
  Added.Spec.Workspace = WorkspaceId("a");
  Added.Spec.Terms = Queues.at(Queue).Terms;
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.PerTask = PerTask;
  Step.Gang = Added.Spec.Terms.Priority < 2;
  Step.Estimate = RunTime;
  Added.Spec.Steps = {Step};
  Added.RunTime = RunTime;
  Added.SubmittedAt = At;
  Clock.scheduleAt(At, [this, &Added] {
    Added.Spec.AcceptedAt = WallTime(Clock.now().time_since_epoch());
    Scheduler.submit(Added.Spec, JobStatus::Queued);
  });
  return Added;
}

void PoolWorkload::drainAll(Duration LeavesIn) {
  for (auto &[Id, Worker] : Workers) {
    Worker.Draining = true;
    Worker.LeavesIn = LeavesIn;
    Scheduler.updateWorker(Worker, Clock.now());
  }
}

const StepSpec &PoolWorkload::stepOf(const RunKey &Key) const {
  return Jobs.at(Key.first.Job).Spec.Steps[Key.first.Step];
}

void PoolWorkload::start(const StartOrder &Order) {
  WorkloadJob &Job = Jobs.at(Order.Task.Job);
  RunKey Key(Order.Task, Order.Run);
  ActiveRun &Run = Runs[Key];
  Run.Worker = Order.Worker;
  Run.StartedAt = Clock.now();
  Run.Total = Job.RunTime;
  if (!stepOf(Key).Gang)
    Run.Total =
        scaled(Job.RunTime, 0.8 + 0.4 * (Order.Task.Index * 7 % 16) / 16.0);
  if (!Order.Checkpoint.empty()) {
    Run.Retained = Duration(std::stoll(Order.Checkpoint));
    Run.StartedAt += RestoreTime;
  }
  Resources &Held = Allocated[Order.Worker];
  Held += stepOf(Key).PerTask;
  Overcommitted = Overcommitted || !Held.fitsIn(WorkerCapacity);
  if (!Job.StartedAt)
    Job.StartedAt = Clock.now();
  Scheduler.startAnswered(Order, OrderResult::Done, Clock.now());
}

void PoolWorkload::recordEnd(const RunKey &Key, const WorkerId &Worker,
                             RunEnd Outcome, const std::string &Checkpoint) {
  Allocated[Worker] -= stepOf(Key).PerTask;
  NewEnds[Worker].push_back(
      {++LastSequence[Worker], Key.first, Key.second, Outcome, Checkpoint});
}

void PoolWorkload::endStopped(const RunKey &Key, const ActiveRun &Run) {
  Duration Elapsed =
      std::max(Duration(), *Run.StopsAt - StopTime - Run.StartedAt);
  Duration Lost = Elapsed;
  std::string Checkpoint;
  if (stepOf(Key).Checkpoints) {
    Duration SinceCheckpoint = Elapsed % CheckpointInterval;
    Lost = SinceCheckpoint + RestoreTime;
    Checkpoint =
        std::to_string((Run.Retained + Elapsed - SinceCheckpoint).count());
  }
  WorkLost += weightInCores(stepOf(Key).PerTask) * toSeconds(Lost);
  ++RunsStopped;
  recordEnd(Key, Run.Worker, RunEnd::Stopped, Checkpoint);
}

void PoolWorkload::endRuns() {
  std::erase_if(Runs, [this](const auto &Entry) {
    const auto &[Key, Run] = Entry;
    if (!Run.StopsAt &&
        Clock.now() >= Run.StartedAt + Run.Total - Run.Retained) {
      recordEnd(Key, Run.Worker, RunEnd::Done, "");
      WorkloadJob &Job = Jobs.at(Key.first.Job);
      if (++Job.TasksDone == stepOf(Key).Tasks)
        Job.EndedAt = Clock.now();
      return true;
    }
    bool Stopped = Run.StopsAt && Clock.now() >= *Run.StopsAt;
    if (Stopped)
      endStopped(Key, Run);
    return Stopped;
  });
}

void PoolWorkload::report(const WorkerId &Id) {
  WorkerReport Report;
  Report.Result = OrderResult::Done;
  Report.WorkerIncarnation = Incarnation(1);
  Report.MadeAt = WorkerTime(Clock.now().time_since_epoch());
  for (const auto &[Key, Run] : Runs) {
    if (Run.Worker != Id)
      continue;
    Duration Done =
        Run.Retained + std::max(Duration(), Clock.now() - Run.StartedAt);
    Report.Running.push_back(
        {Key.first, Key.second, "",
         static_cast<std::uint32_t>(Done * 100 / Run.Total), 0});
  }
  Report.Ended = std::exchange(NewEnds[Id], {});
  Scheduler.workerReported(Id, Report, Clock.now(), Clock.now());
}

void PoolWorkload::runUntil(TimePoint End) {
  for (; Clock.now() < End; Clock.runUntil(Clock.now() + StepTime)) {
    endRuns();
    bool ReportsDue =
        Clock.now().time_since_epoch() % ReportInterval == Duration();
    for (const auto &Entry : Allocated)
      if (ReportsDue || !NewEnds[Entry.first].empty())
        report(Entry.first);
    PoolOrders Orders = Scheduler.runPass(
        Clock.now(), WallTime(Clock.now().time_since_epoch()));
    for (const StartOrder &Order : Orders.Starts)
      start(Order);
    for (const StopOrder &Order : Orders.Stops) {
      auto Run = Runs.find({Order.Task, Order.Run});
      if (Run != Runs.end() && !Run->second.StopsAt)
        Run->second.StopsAt = Clock.now() + StopTime;
      Scheduler.stopAnswered(Order, OrderResult::Done, Clock.now());
    }
    Scheduler.committed(Scheduler.changes(MaxEntries), Clock.now());
  }
}

} // namespace banyanworks::testing
