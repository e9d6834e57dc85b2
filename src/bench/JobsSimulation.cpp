/// \file
/// Implements the simulation of the job plane.
#include "bench/JobsSimulation.h"

#include <algorithm>
#include <utility>

namespace banyanworks::bench {

namespace {

/// Time in which a simulated worker responds to an order.
constexpr Duration AnswerDelay = std::chrono::milliseconds(1);
constexpr Duration CheckpointTime = std::chrono::seconds(5);
/// Time from the start of a failing run to its failure.
constexpr Duration FailureDelay = std::chrono::seconds(20);
/// Time allowed for the start of a guaranteed job, beyond the checkpoint grace.
constexpr Duration StartTimeLimit = std::chrono::milliseconds(3500);

/// The simulation has no network partitions, so the permission never expires.
constexpr TimePoint AlwaysPermitted = TimePoint(std::chrono::hours(24 * 365));

/// The failure domain that is taken out of service and brought back.
constexpr std::uint32_t OutageDomain = 1;

} // namespace

JobsSimulation::JobsSimulation(const Deployment &Cluster,
                               const SchedulerSettings &Settings)
    : Cluster(Cluster), Settings(Settings),
      Config(std::make_shared<Configuration>(makeConfiguration(Cluster))) {
  Domains.resize(Cluster.Domains);
  for (std::uint32_t Index = 0; Index != Cluster.Domains; ++Index) {
    DomainState &Each = Domains[Index];
    Each.Scheduler =
        std::make_unique<DomainScheduler>(Settings, makeDomainId(Index));
    std::vector<WorkerInfo> Workers = makeWorkers(Cluster, Index);
    Each.FaultyWorker = Workers.front().Id;
    deliver(Index, ConfigurationChanged{Config});
    deliver(Index, PermissionRenewed{AlwaysPermitted});
    deliver(Index, OwnershipGained{Epoch(1), {}, true, {}});
    for (const WorkerInfo &Info : Workers) {
      Each.Accelerators += Info.Capacity.Accelerators;
      if (Info.Capacity.Accelerators == 0)
        Each.MilliCores += Info.Capacity.MilliCores;
      deliver(Index,
              WorkerJoined{WorkerInventory{Info, Incarnation(1), {}, {}}});
    }
  }
  // Discards the steps of the setup: guarantees cannot be packed before all
  // workers have joined.
  Report = JobsReport();
}

void JobsSimulation::schedule(TimePoint At, std::function<void()> Callback) {
  Events.push(Event{At, ++EventCount, std::move(Callback)});
}

void JobsSimulation::deliver(std::uint32_t Index, const JobEvent &Event) {
  using Clock = std::chrono::steady_clock;
  Clock::time_point Before = Clock::now();
  std::vector<JobAction> Actions = Domains[Index].Scheduler->handle(Now, Event);
  double Seconds = std::chrono::duration<double>(Clock::now() - Before).count();
  Times.All.push_back(Seconds);
  if (const auto *Submitted = std::get_if<JobSubmitted>(&Event)) {
    if (Submitted->Spec->Members == 1)
      Times.SingleTask.push_back(Seconds);
    if (Submitted->Spec->Members == 128)
      Times.Gang128.push_back(Seconds);
  }
  for (const JobAction &Action : Actions)
    perform(Index, Action);
  checkPacking(Index);
  DomainState &Each = Domains[Index];
  TimePoint Next = std::max(Each.Scheduler->nextDeadline(), Now + AnswerDelay);
  if (Next >= Each.TickAt || Next >= AlwaysPermitted)
    return;
  Each.TickAt = Next;
  schedule(Next, [this, Index, Next] {
    if (Domains[Index].TickAt != Next)
      return;
    Domains[Index].TickAt = TimePoint::max();
    deliver(Index, Tick{});
  });
}

void JobsSimulation::checkPacking(std::uint32_t Index) {
  ++Report.Steps;
  const DomainScheduler &Scheduler = *Domains[Index].Scheduler;
  // The check is slow, so larger domains are checked every 64 steps only.
  bool Small = Cluster.AcceleratorWorkers + Cluster.CpuOnlyWorkers <= 64;
  if (!Small && Report.Steps % 64 != 0)
    return;
  ++Report.CheckedSteps;
  if (!Scheduler.capacity().ledger().canPackAll())
    ++Report.UnpackableSteps;
}

void JobsSimulation::perform(std::uint32_t Index, const JobAction &Action) {
  if (const auto *Hold = std::get_if<HoldTask>(&Action)) {
    schedule(Now + AnswerDelay,
             [this, Index, Task = Hold->Task, At = Hold->Worker] {
               deliver(Index, HoldAnswered{Task, At, OrderResult::Done});
             });
    return;
  }
  if (const auto *Start = std::get_if<StartTask>(&Action))
    return onStart(Index, *Start);
  if (const auto *Checkpoint = std::get_if<CheckpointTask>(&Action)) {
    schedule(Now + CheckpointTime, [this, Index, Task = Checkpoint->Task] {
      endTask(Index, Task, TaskEnd::Checkpointed);
    });
    return;
  }
  if (const auto *Stop = std::get_if<StopTask>(&Action)) {
    schedule(Now + AnswerDelay, [this, Index, Task = Stop->Task] {
      endTask(Index, Task, TaskEnd::Stopped);
    });
    return;
  }
  if (const auto *Progress = std::get_if<JobProgressed>(&Action))
    onProgress(Index, *Progress);
}

void JobsSimulation::onStart(std::uint32_t Index, const StartTask &Order) {
  JobEntry &Target = Entries.at(Order.Task.Job);
  const SimulatedJob &Job = *Target.Job;
  if (!Domains[Index].InService)
    ++Report.StartsOutOfService;
  accountOutage();
  std::uint64_t Serial = ++StartCount;
  Tasks[{Index, Order.Task}] = RunningTask{Now, Order.Worker, Serial};
  Domains[Index].BusyAccelerators += Job.Spec.PerMember.Accelerators;
  schedule(Now + AnswerDelay,
           [this, Index, Task = Order.Task, At = Order.Worker] {
             deliver(Index, StartAnswered{Task, At, OrderResult::Done});
           });
  bool Faulty = Order.Worker == Domains[Index].FaultyWorker &&
                Now >= TimePoint(Cluster.FailureStart) &&
                Now < TimePoint(Cluster.FailureEnd);
  bool Fails = Faulty || Job.AlwaysFails;
  Duration RemainingRunTime =
      std::max(Duration(AnswerDelay), Job.RunTime - Target.SavedRunTime);
  if (Fails)
    RemainingRunTime = FailureDelay;
  TaskEnd End = Fails ? TaskEnd::Failed : TaskEnd::Succeeded;
  schedule(Now + 2 * AnswerDelay + RemainingRunTime,
           [this, Index, Task = Order.Task, End, Serial] {
             auto Found = Tasks.find({Index, Task});
             if (Found != Tasks.end() && Found->second.Serial == Serial)
               endTask(Index, Task, End);
           });
}

void JobsSimulation::endTask(std::uint32_t Index, const TaskId &Task,
                             TaskEnd End) {
  auto Found = Tasks.find({Index, Task});
  if (Found == Tasks.end())
    return;
  accountOutage();
  JobEntry &Target = Entries.at(Task.Job);
  std::int32_t Each = Target.Job->Spec.PerMember.Accelerators;
  Duration RunTime = Now - Found->second.StartedAt;
  WorkerId Worker = Found->second.Worker;
  Tasks.erase(Found);
  Domains[Index].BusyAccelerators -= Each;
  Report.WorkDone += Each * toSeconds(RunTime);
  Duration SavedRunTime = Duration::zero();
  if (End == TaskEnd::Checkpointed)
    SavedRunTime = RunTime - CheckpointTime;
  if (End == TaskEnd::Stopped || End == TaskEnd::Checkpointed) {
    double Lost = Each * toSeconds(RunTime - SavedRunTime);
    Report.WorkLost += Lost;
    if (Outage)
      Report.OutageWorkDone -= Lost;
  }
  // All members of a gang save the same run time; only member 0 is counted.
  if (SavedRunTime > Duration::zero() && Task.Member == 0)
    Target.SavedRunTime += SavedRunTime;
  deliver(Index, TaskEnded{Task, Worker, End, SavedRunTime});
}

void JobsSimulation::onProgress(std::uint32_t Index,
                                const JobProgressed &Progress) {
  JobEntry &Target = Entries.at(Progress.Job);
  if (Progress.Phase == JobPhase::Running && Target.GuaranteeRequested) {
    Target.GuaranteeRequested = false;
    if (Now - Target.RequestedAt > Settings.CheckpointGrace + StartTimeLimit)
      ++Report.GuaranteedMisses;
  }
  if (Progress.Phase == JobPhase::Queued && !Domains[Index].InService) {
    schedule(Now, [this, Index] { rerouteWaiting(Index); });
    return;
  }
  if (Progress.Phase < JobPhase::Succeeded || Target.Ended ||
      Target.DomainIndex != Index)
    return;
  // The simulation cancels jobs only to move them to another failure domain.
  if (Progress.Phase == JobPhase::Cancelled)
    return;
  Target.Ended = true;
  --OpenJobs;
  removeDemand(Target);
  double Seconds = toSeconds(Now - Target.Job->SubmittedAt);
  if (Progress.Phase == JobPhase::Succeeded)
    Report.CompletionSeconds.push_back(Seconds);
  else if (Progress.Phase == JobPhase::Refused)
    ++Report.Refused;
  else
    ++Report.Failed;
}

double JobsSimulation::demandOf(const JobEntry &Target) const {
  const JobSpec &Spec = Target.Job->Spec;
  double Each = Spec.PerMember.Accelerators
                    ? static_cast<double>(Spec.PerMember.Accelerators)
                    : static_cast<double>(Spec.PerMember.MilliCores);
  return Each * Spec.Members;
}

void JobsSimulation::removeDemand(JobEntry &Target) {
  bool CpuOnly = Target.Job->Spec.PerMember.Accelerators == 0;
  DomainState &From = Domains[Target.DomainIndex];
  (CpuOnly ? From.CoreDemand : From.AcceleratorDemand) -= demandOf(Target);
}

void JobsSimulation::route(JobEntry &Target) {
  bool CpuOnly = Target.Job->Spec.PerMember.Accelerators == 0;
  std::uint32_t Best = 0;
  double MinLoad = 1e300;
  for (std::uint32_t Index = 0; Index != Domains.size(); ++Index) {
    DomainState &Each = Domains[Index];
    if (!Each.InService)
      continue;
    double Load = CpuOnly ? Each.CoreDemand / double(Each.MilliCores)
                          : Each.AcceleratorDemand / double(Each.Accelerators);
    if (Load < MinLoad) {
      MinLoad = Load;
      Best = Index;
    }
  }
  Target.DomainIndex = Best;
  DomainState &To = Domains[Best];
  (CpuOnly ? To.CoreDemand : To.AcceleratorDemand) += demandOf(Target);
  const JobSpec &Spec = Target.Job->Spec;
  const GuaranteeLedger &Ledger = To.Scheduler->capacity().ledger();
  std::uint32_t Waiting = 0;
  for (const WorkspaceView &View : To.Scheduler->workspaces()) {
    if (View.Id == Spec.Workspace)
      Waiting = View.WaitingJobs;
  }
  // A guaranteed request is counted if the unused guarantee covers the job and
  // no other job of the workspace waits.
  if (!CpuOnly && Waiting == 0 && !Target.Job->AlwaysFails &&
      Ledger.coversGang(Spec)) {
    Target.GuaranteeRequested = true;
    Target.RequestedAt = Now;
    ++Report.GuaranteedRequests;
  }
  deliver(Best, JobSubmitted{std::make_shared<const JobSpec>(Spec)});
}

void JobsSimulation::rerouteWaiting(std::uint32_t Index) {
  std::vector<JobId> Moving;
  for (const JobView &View : Domains[Index].Scheduler->jobs()) {
    if (View.Phase == JobPhase::Queued)
      Moving.push_back(View.Spec->Id);
  }
  for (JobId Id : Moving) {
    JobEntry &Target = Entries.at(Id);
    if (Target.Ended || Target.DomainIndex != Index)
      continue;
    deliver(Index, JobCancelled{Id});
    removeDemand(Target);
    route(Target);
  }
}

void JobsSimulation::setInService(bool InService) {
  accountOutage();
  Outage = !InService;
  auto Next = std::make_shared<Configuration>(*Config);
  Next->Version = Next->Version.next();
  Next->Domains[makeDomainId(OutageDomain)].InService = InService;
  Config = Next;
  Domains[OutageDomain].InService = InService;
  for (std::uint32_t Index = 0; Index != Domains.size(); ++Index)
    deliver(Index, ConfigurationChanged{Config});
  if (!InService)
    rerouteWaiting(OutageDomain);
}

void JobsSimulation::accountOutage() {
  double Span = toSeconds(Now - std::exchange(AccountedUntil, Now));
  if (!Outage || Span <= 0)
    return;
  for (const DomainState &Each : Domains) {
    if (!Each.InService)
      continue;
    auto Busy = static_cast<double>(Each.BusyAccelerators);
    double Possible = std::min(static_cast<double>(Each.Accelerators),
                               std::max(Busy, Each.AcceleratorDemand));
    Report.OutageWorkDone += Span * Busy;
    Report.OutageWorkPossible += Span * Possible;
  }
}

void JobsSimulation::submit(const SimulatedJob &Job) {
  JobEntry &Target = Entries[Job.Spec.Id];
  Target.Job = &Job;
  ++OpenJobs;
  route(Target);
}

JobsReport JobsSimulation::run(const std::vector<SimulatedJob> &Jobs,
                               Duration TimeLimit) {
  TimePoint Last;
  for (const SimulatedJob &Job : Jobs) {
    schedule(Job.SubmittedAt, [this, &Job] { submit(Job); });
    Last = std::max(Last, Job.SubmittedAt);
  }
  schedule(TimePoint(Cluster.OutageStart), [this] { setInService(false); });
  schedule(TimePoint(Cluster.OutageEnd), [this] { setInService(true); });
  while (!Events.empty() && Events.top().At <= Last + TimeLimit) {
    Now = Events.top().At;
    auto Callback = Events.top().Callback;
    Events.pop();
    Callback();
    if (OpenJobs == 0 && Now > Last)
      break;
  }
  Report.Unfinished = OpenJobs;
  return Report;
}

} // namespace banyanworks::bench
