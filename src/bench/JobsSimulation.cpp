/// \file
/// Implements the simulation of the job plane's decisions.
#include "bench/JobsSimulation.h"

#include <algorithm>
#include <utility>

namespace banyanworks::bench {

namespace {

constexpr Duration AnswerTime = std::chrono::milliseconds(1);
constexpr Duration CheckpointTime = std::chrono::seconds(5);
constexpr Duration FaultTime = std::chrono::seconds(20);
constexpr Duration UrgentStart = std::chrono::milliseconds(3500);

/// Nobody is cut off here, so the permission does not lapse.
constexpr TimePoint AlwaysPermitted = TimePoint(std::chrono::hours(24 * 365));

/// The zone that leaves and returns.
constexpr std::uint32_t LeavingZone = 1;

} // namespace

JobsSimulation::JobsSimulation(const Deployment &Where,
                               const SchedulerSettings &Settings)
    : Where(Where), Settings(Settings),
      Config(std::make_shared<Configuration>(configurationOf(Where))) {
  Zones.resize(Where.Domains);
  for (std::uint32_t Index = 0; Index != Where.Domains; ++Index) {
    Zone &Each = Zones[Index];
    Each.Scheduler =
        std::make_unique<DomainScheduler>(Settings, domainName(Index));
    std::vector<WorkerInfo> Workers = workersOf(Where, Index);
    Each.FaultyWorker = Workers.front().Id;
    give(Index, ConfigurationChanged{Config});
    give(Index, PermissionRenewed{AlwaysPermitted});
    give(Index, OwnershipGained{Epoch(1), {}, true, {}});
    for (const WorkerInfo &Info : Workers) {
      Each.Accelerators += Info.Capacity.Accelerators;
      if (Info.Capacity.Accelerators == 0)
        Each.MilliCores += Info.Capacity.MilliCores;
      give(Index, WorkerJoined{WorkerInventory{Info, Incarnation(1), {}, {}}});
    }
  }
  // Guarantees cannot be carved before the workers have joined.
  Report = JobsReport();
}

void JobsSimulation::later(TimePoint At, std::function<void()> Run) {
  Events.push(Event{At, ++EventCount, std::move(Run)});
}

void JobsSimulation::give(std::uint32_t Index, const JobEvent &Event) {
  using Clock = std::chrono::steady_clock;
  Clock::time_point Before = Clock::now();
  std::vector<JobAction> Actions = Zones[Index].Scheduler->handle(Now, Event);
  double Seconds = std::chrono::duration<double>(Clock::now() - Before).count();
  Times.All.push_back(Seconds);
  if (const auto *Submitted = std::get_if<JobSubmitted>(&Event)) {
    if (Submitted->Spec->Members == 1)
      Times.OneTask.push_back(Seconds);
    if (Submitted->Spec->Members == 128)
      Times.Gang128.push_back(Seconds);
  }
  for (const JobAction &Action : Actions)
    act(Index, Action);
  noteStep(Index);
  Zone &Each = Zones[Index];
  TimePoint Next = std::max(Each.Scheduler->nextDeadline(), Now + AnswerTime);
  if (Next >= Each.TickAt || Next >= AlwaysPermitted)
    return;
  Each.TickAt = Next;
  later(Next, [this, Index, Next] {
    if (Zones[Index].TickAt != Next)
      return;
    Zones[Index].TickAt = TimePoint::max();
    give(Index, Tick{});
  });
}

void JobsSimulation::noteStep(std::uint32_t Index) {
  ++Report.Steps;
  const DomainScheduler &Scheduler = *Zones[Index].Scheduler;
  // Larger domains are looked at now and then, since the search is slow.
  bool Small = Where.AcceleratorWorkers + Where.PlainWorkers <= 64;
  if (!Small && Report.Steps % 64 != 0)
    return;
  ++Report.CheckedSteps;
  if (!Scheduler.space().ledger().canPackAll())
    ++Report.UncarvableSteps;
}

void JobsSimulation::act(std::uint32_t Index, const JobAction &Action) {
  if (const auto *Hold = std::get_if<HoldTask>(&Action)) {
    later(Now + AnswerTime,
          [this, Index, Task = Hold->Task, At = Hold->Worker] {
            give(Index, HoldAnswered{Task, At, OrderResult::Done});
          });
    return;
  }
  if (const auto *Start = std::get_if<StartTask>(&Action))
    return onStart(Index, *Start);
  if (const auto *Checkpoint = std::get_if<CheckpointTask>(&Action)) {
    later(Now + CheckpointTime, [this, Index, Task = Checkpoint->Task] {
      endTask(Index, Task, TaskEnd::Checkpointed);
    });
    return;
  }
  if (const auto *Stop = std::get_if<StopTask>(&Action)) {
    later(Now + AnswerTime, [this, Index, Task = Stop->Task] {
      endTask(Index, Task, TaskEnd::Stopped);
    });
    return;
  }
  if (const auto *Progress = std::get_if<JobProgressed>(&Action))
    onProgress(Index, *Progress);
}

void JobsSimulation::onStart(std::uint32_t Index, const StartTask &Order) {
  Entry &Target = Entries.at(Order.Task.Job);
  const SimulatedJob &Job = *Target.Job;
  if (!Zones[Index].In)
    ++Report.StartsWhileOut;
  accountOutage();
  std::uint64_t Serial = ++StartCount;
  Tasks[{Index, Order.Task}] = Running{Now, Order.Worker, Serial};
  Zones[Index].Busy += Job.Spec.PerMember.Accelerators;
  later(Now + AnswerTime, [this, Index, Task = Order.Task, At = Order.Worker] {
    give(Index, StartAnswered{Task, At, OrderResult::Done});
  });
  bool Faulty = Order.Worker == Zones[Index].FaultyWorker &&
                Now >= TimePoint(Where.FailFrom) &&
                Now < TimePoint(Where.FailUntil);
  bool Fails = Faulty || Job.AlwaysFails;
  Duration Needs = std::max(Duration(AnswerTime), Job.Needs - Target.Kept);
  if (Fails)
    Needs = FaultTime;
  TaskEnd End = Fails ? TaskEnd::Failed : TaskEnd::Succeeded;
  later(Now + 2 * AnswerTime + Needs,
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
  Entry &Target = Entries.at(Task.Job);
  std::int32_t Each = Target.Job->Spec.PerMember.Accelerators;
  Duration Ran = Now - Found->second.StartedAt;
  WorkerId Worker = Found->second.Worker;
  Tasks.erase(Found);
  Zones[Index].Busy -= Each;
  Report.WorkDone += Each * toSeconds(Ran);
  Duration Kept = Duration::zero();
  if (End == TaskEnd::Checkpointed)
    Kept = Ran - CheckpointTime;
  if (End == TaskEnd::Stopped || End == TaskEnd::Checkpointed) {
    double Lost = Each * toSeconds(Ran - Kept);
    Report.WorkLost += Lost;
    if (Outage)
      Report.OutageWork -= Lost;
  }
  // Members of one gang keep the same; the first to report counts.
  if (Kept > Duration::zero() && Task.Member == 0)
    Target.Kept += Kept;
  give(Index, TaskEnded{Task, Worker, End, Kept});
}

void JobsSimulation::onProgress(std::uint32_t Index,
                                const JobProgressed &Progress) {
  Entry &Target = Entries.at(Progress.Job);
  if (Progress.Phase == JobPhase::Running && Target.GuaranteeAsked) {
    Target.GuaranteeAsked = false;
    if (Now - Target.AskedAt > Settings.CheckpointGrace + UrgentStart)
      ++Report.GuaranteedMisses;
  }
  if (Progress.Phase == JobPhase::Queued && !Zones[Index].In) {
    later(Now, [this, Index] { moveWaiting(Index); });
    return;
  }
  if (Progress.Phase < JobPhase::Succeeded || Target.Over ||
      Target.Zone != Index)
    return;
  // A cancellation here is a move to another zone.
  if (Progress.Phase == JobPhase::Cancelled)
    return;
  Target.Over = true;
  --Open;
  unroute(Target);
  double Seconds = toSeconds(Now - Target.Job->SubmittedAt);
  if (Progress.Phase == JobPhase::Succeeded)
    Report.CompletionSeconds.push_back(Seconds);
  else if (Progress.Phase == JobPhase::Refused)
    ++Report.Refused;
  else
    ++Report.Failed;
}

double JobsSimulation::demandOf(const Entry &Target) const {
  const JobSpec &Spec = Target.Job->Spec;
  double Each = Spec.PerMember.Accelerators
                    ? static_cast<double>(Spec.PerMember.Accelerators)
                    : static_cast<double>(Spec.PerMember.MilliCores);
  return Each * Spec.Members;
}

void JobsSimulation::unroute(Entry &Target) {
  bool Plain = Target.Job->Spec.PerMember.Accelerators == 0;
  Zone &From = Zones[Target.Zone];
  (Plain ? From.CoreDemand : From.AcceleratorDemand) -= demandOf(Target);
}

void JobsSimulation::route(Entry &Target) {
  bool Plain = Target.Job->Spec.PerMember.Accelerators == 0;
  std::uint32_t Best = 0;
  double Least = 1e300;
  for (std::uint32_t Index = 0; Index != Zones.size(); ++Index) {
    Zone &Each = Zones[Index];
    if (!Each.In)
      continue;
    double Busy = Plain ? Each.CoreDemand / double(Each.MilliCores)
                        : Each.AcceleratorDemand / double(Each.Accelerators);
    if (Busy < Least) {
      Least = Busy;
      Best = Index;
    }
  }
  Target.Zone = Best;
  Zone &To = Zones[Best];
  (Plain ? To.CoreDemand : To.AcceleratorDemand) += demandOf(Target);
  const JobSpec &Spec = Target.Job->Spec;
  const GuaranteeLedger &Ledger = To.Scheduler->space().ledger();
  std::uint32_t Waiting = 0;
  for (const WorkspaceView &View : To.Scheduler->workspaces()) {
    if (View.Id == Spec.Workspace)
      Waiting = View.WaitingJobs;
  }
  // An ask counts if nothing of the workspace waits before it and the
  // guarantee that is unused covers it.
  if (!Plain && Waiting == 0 && !Target.Job->AlwaysFails &&
      Ledger.coversGang(Spec)) {
    Target.GuaranteeAsked = true;
    Target.AskedAt = Now;
    ++Report.GuaranteedAsks;
  }
  give(Best, JobSubmitted{std::make_shared<const JobSpec>(Spec)});
}

void JobsSimulation::moveWaiting(std::uint32_t Index) {
  std::vector<JobId> Moving;
  for (const JobView &View : Zones[Index].Scheduler->jobs()) {
    if (View.Phase == JobPhase::Queued)
      Moving.push_back(View.Spec->Id);
  }
  for (JobId Id : Moving) {
    Entry &Target = Entries.at(Id);
    if (Target.Over || Target.Zone != Index)
      continue;
    give(Index, JobCancelled{Id});
    unroute(Target);
    route(Target);
  }
}

void JobsSimulation::setIn(bool In) {
  accountOutage();
  Outage = !In;
  auto Next = std::make_shared<Configuration>(*Config);
  Next->Version = Next->Version.next();
  Next->Domains[domainName(LeavingZone)].InService = In;
  Config = Next;
  Zones[LeavingZone].In = In;
  for (std::uint32_t Index = 0; Index != Zones.size(); ++Index)
    give(Index, ConfigurationChanged{Config});
  if (!In)
    moveWaiting(LeavingZone);
}

void JobsSimulation::accountOutage() {
  double Span = toSeconds(Now - std::exchange(AccountedUntil, Now));
  if (!Outage || Span <= 0)
    return;
  for (const Zone &Each : Zones) {
    if (!Each.In)
      continue;
    auto Busy = static_cast<double>(Each.Busy);
    double Possible = std::min(static_cast<double>(Each.Accelerators),
                               std::max(Busy, Each.AcceleratorDemand));
    Report.OutageWork += Span * Busy;
    Report.OutagePossible += Span * Possible;
  }
}

void JobsSimulation::arrive(const SimulatedJob &Job) {
  Entry &Target = Entries[Job.Spec.Id];
  Target.Job = &Job;
  ++Open;
  route(Target);
}

JobsReport JobsSimulation::run(const std::vector<SimulatedJob> &Jobs,
                               Duration Limit) {
  TimePoint Last;
  for (const SimulatedJob &Job : Jobs) {
    later(Job.SubmittedAt, [this, &Job] { arrive(Job); });
    Last = std::max(Last, Job.SubmittedAt);
  }
  later(TimePoint(Where.OutAt), [this] { setIn(false); });
  later(TimePoint(Where.BackAt), [this] { setIn(true); });
  while (!Events.empty() && Events.top().At <= Last + Limit) {
    Now = Events.top().At;
    auto Run = Events.top().Run;
    Events.pop();
    Run();
    if (Open == 0 && Now > Last)
      break;
  }
  Report.Unfinished = Open;
  return Report;
}

} // namespace banyanworks::bench
