/// \file
/// Implements the simulated deployment, its faults and the checks.
#include "support/StateSimulation.h"

#include <algorithm>
#include <type_traits>

namespace banyanworks::testing {

namespace {

using test::FakeWorker;
using test::FakeWorkerSettings;

constexpr Duration StepLength = std::chrono::milliseconds(20);
constexpr Duration FaultInterval = std::chrono::milliseconds(1500);
constexpr Duration LoadInterval = std::chrono::milliseconds(700);
constexpr Duration RunTime = std::chrono::seconds(3);
constexpr std::int32_t AcceleratorsPerWorker = 8;
constexpr std::int32_t AcceleratorsPerMember = 4;
/// An incomplete gang is detected and ended within one session lease (5 s) plus
/// the time to deliver the stop orders (3 s).
constexpr Duration MaxPartialDuration = std::chrono::seconds(5 + 3);
constexpr Duration MaxStartDelay = std::chrono::seconds(3);

FakeWorkerSettings workerSettings() {
  FakeWorkerSettings Result;
  Result.SessionLease = simulatedSchedulerSettings().SessionLease;
  Result.RunTime = [](const TaskId &, const JobSpec &) { return RunTime; };
  return Result;
}

} // namespace

std::uint64_t SimulationViolations::total() const {
  return AcceleratorsGrantedTwice + PartialGangs + StartsOutOfService +
         VersionReversions + JobsLost + JobsRunTwice;
}

SimulationViolations &
SimulationViolations::operator+=(const SimulationViolations &Other) {
  AcceleratorsGrantedTwice += Other.AcceleratorsGrantedTwice;
  PartialGangs += Other.PartialGangs;
  StartsOutOfService += Other.StartsOutOfService;
  VersionReversions += Other.VersionReversions;
  JobsLost += Other.JobsLost;
  JobsRunTwice += Other.JobsRunTwice;
  return *this;
}

SimulationCounts &SimulationCounts::operator+=(const SimulationCounts &Other) {
  JobsAccepted += Other.JobsAccepted;
  JobsCompleted += Other.JobsCompleted;
  TasksStarted += Other.TasksStarted;
  OutOfServiceAccepted += Other.OutOfServiceAccepted;
  OwnershipsTaken += Other.OwnershipsTaken;
  FaultsInjected += Other.FaultsInjected;
  return *this;
}

StateSimulation::StateSimulation(const SimulationSettings &Config,
                                 std::uint64_t Seed)
    : Settings(Config), Rng(Seed), Store(Seed), Processes(daemons()),
      StoreCutUntil(Config.Domains), StartsIn(Config.Domains),
      NewestInServiceVersion(Config.Domains) {
  Publication First{{},
                    ConfigVersion(1),
                    std::string(Config.Domains, '1'),
                    "operator",
                    "first"};
  StoreDriver OperatorDriver(Store, StoreClientOptions(), 1000000);
  ConfigurationPublisher Publisher(First, {Incarnation(1000000), 1});
  std::optional<StoreCommand> Command = Publisher.start();
  while (Command)
    Command = Publisher.handleOutcome(
        OperatorDriver.run(Command->Request, Now, Command->Timeout));
  for (std::uint32_t I = 0; I != Config.Domains * Config.WorkersPerDomain;
       ++I) {
    WorkerInfo Info;
    Info.Id = WorkerId(std::to_string(I));
    Info.Domain = simulatedDomainId(I / Config.WorkersPerDomain);
    Info.Rack = RackId("r");
    Info.Capacity = {32000, 131072, AcceleratorsPerWorker};
    Info.AcceleratorModel = "a";
    Hosts.emplace_back(FakeWorker(Info, workerSettings()));
  }
  for (std::uint32_t I = 0; I != daemons(); ++I)
    startDaemon(I);
}

StateSimulation::~StateSimulation() = default;

void StateSimulation::startDaemon(std::uint32_t Index) {
  Process &Started = Processes[Index];
  DaemonPlacement Placement{Index, domainOf(Index), Settings.Domains,
                            Settings.DaemonsPerDomain, ++Starts};
  SimulatedNetwork &Network = *this;
  Started.Daemon = std::make_unique<SimulatedDaemon>(
      Placement, Settings.Protections, Store, Network);
  Started.Dead = false;
  Started.HighestVersion = ConfigVersion();
}

Duration StateSimulation::randomDuration(std::uint32_t MaxMilliseconds) {
  return std::chrono::milliseconds(200 + Rng.below(MaxMilliseconds));
}

void StateSimulation::run() {
  advance(std::chrono::seconds(4));
  TimePoint End = Now + Settings.FaultDuration;
  TimePoint NextFault = Now;
  TimePoint NextLoad = Now;
  while (Now < End) {
    if (Now >= NextFault) {
      NextFault = Now + FaultInterval;
      addFault();
    }
    if (Now >= NextLoad) {
      NextLoad = Now + LoadInterval;
      addLoad();
    }
    step();
  }
  recover();
  TimePoint RecoveryEnd = Now + Settings.RecoveryDuration;
  while (Now < RecoveryEnd && countUnfinished() != 0)
    advance(std::chrono::seconds(2));
  Violations.JobsLost += countUnfinished();
}

void StateSimulation::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;)
    step();
}

void StateSimulation::step() {
  Now += StepLength;
  for (std::uint32_t I = 0; I != daemons(); ++I) {
    Process &Each = Processes[I];
    if (Each.Dead && Now >= Each.DeadUntil)
      startDaemon(I);
    if (Each.Dead || Now < Each.PausedUntil)
      continue;
    Each.Daemon->step(Now, Now >= StoreCutUntil[domainOf(I)]);
  }
  deliver();
  stepWorkers();
  checkWorkers();
}

void StateSimulation::deliver() {
  std::vector<Message> DueMessages;
  auto End = InFlight.upper_bound(Now);
  for (auto It = InFlight.begin(); It != End; ++It)
    DueMessages.push_back(std::move(It->second));
  InFlight.erase(InFlight.begin(), End);
  for (Message &Each : DueMessages) {
    Process &Target = Processes[Each.Receiver];
    if (Target.Dead)
      continue;
    if (Now < Target.PausedUntil) {
      // The message stays in the socket's buffer until the process resumes.
      TimePoint Resumed = Target.PausedUntil + StepLength;
      InFlight.emplace(Resumed, std::move(Each));
      continue;
    }
    Each.Deliver(*Target.Daemon);
  }
}

void StateSimulation::send(std::uint32_t Sender, std::uint32_t Receiver,
                           std::function<void(SimulatedDaemon &)> Deliver) {
  auto LinkCut = LinkCutUntil.find(
      {std::min(Sender, Receiver), std::max(Sender, Receiver)});
  if (LinkCut != LinkCutUntil.end() && Now < LinkCut->second)
    return;
  int Copies = Rng.withProbability(Settings.LossProbability) ? 0 : 1;
  Copies += Rng.withProbability(Settings.DuplicationProbability) ? 1 : 0;
  for (int Copy = 0; Copy != Copies; ++Copy) {
    auto MaxMicroseconds =
        static_cast<std::uint32_t>(Settings.MaxDelay.count());
    InFlight.emplace(Now + Duration(Rng.below(MaxMicroseconds)),
                     Message{Receiver, Deliver});
  }
}

StateSimulation::Host &StateSimulation::hostOf(const WorkerId &Id) {
  return Hosts[std::stoul(Id.str())];
}

template <typename Answer, typename Order, typename Method>
void StateSimulation::sendOrderTo(std::uint32_t Sender, const Order &Command,
                                  Method WorkerMethod) {
  // The order is sent as a message from the daemon to itself, so that it is
  // subject to loss and delay, and is applied to the worker on delivery.
  Epoch Term = Command.Term;
  send(Sender, Sender,
       [this, Sender, Command, WorkerMethod, Term](SimulatedDaemon &) {
         Host &TargetHost = hostOf(Command.Worker);
         if (Now < TargetHost.CutUntil)
           return;
         auto HeldTask = TargetHost.Worker.tasks().find(Command.Task);
         bool WasHeld = HeldTask != TargetHost.Worker.tasks().end() &&
                        HeldTask->second.Held.Phase == TaskPhase::Held;
         std::optional<OrderResult> Result =
             (TargetHost.Worker.*WorkerMethod)(Now, Command);
         bool Starts = std::is_same_v<Order, StartTask> && WasHeld &&
                       Result == OrderResult::Done;
         if (Starts)
           recordStart(domainOf(Sender));
         if (!Result)
           return;
         Epoch Newest = TargetHost.Worker.newestEpoch();
         send(Sender, Sender,
              [Command, Result, Newest, Term](SimulatedDaemon &Asker) {
                if (*Result == OrderResult::RefusedStaleEpoch)
                  Asker.onWorkerRefused(Newest);
                if constexpr (!std::is_same_v<Answer, void>) {
                  if (Asker.term() == Term)
                    Asker.handleJobEvent(
                        Answer{Command.Task, Command.Worker, *Result});
                }
              });
       });
  if constexpr (!std::is_same_v<Answer, void>) {
    InFlight.emplace(Now + simulatedSchedulerSettings().AnswerTimeout,
                     Message{Sender, [Command, Term](SimulatedDaemon &Asker) {
                               if (Asker.term() == Term) {
                                 Asker.handleJobEvent(
                                     Answer{Command.Task, Command.Worker,
                                            OrderResult::Unknown});
                               }
                             }});
  }
}

void StateSimulation::sendOrder(std::uint32_t Sender, const JobAction &Order) {
  if (const auto *Hold = std::get_if<HoldTask>(&Order))
    sendOrderTo<HoldAnswered>(Sender, *Hold, &FakeWorker::hold);
  else if (const auto *Start = std::get_if<StartTask>(&Order))
    sendOrderTo<StartAnswered>(Sender, *Start, &FakeWorker::start);
  else if (const auto *Release = std::get_if<ReleaseTask>(&Order))
    sendOrderTo<void>(Sender, *Release, &FakeWorker::release);
  else if (const auto *Stop = std::get_if<StopTask>(&Order))
    sendOrderTo<void>(Sender, *Stop, &FakeWorker::stop);
  else if (const auto *Checkpoint = std::get_if<CheckpointTask>(&Order))
    sendOrderTo<void>(Sender, *Checkpoint, &FakeWorker::checkpoint);
  else if (const auto *Forget = std::get_if<ForgetTask>(&Order))
    sendOrderTo<void>(Sender, *Forget, &FakeWorker::forget);
}

void StateSimulation::contactWorkers(std::uint32_t Sender, Epoch Term) {
  for (const WorkerId &Id : workersOf(domainOf(Sender))) {
    send(Sender, Sender, [this, Sender, Id, Term](SimulatedDaemon &) {
      Host &TargetHost = hostOf(Id);
      if (Now < TargetHost.CutUntil)
        return;
      // The request carries the epoch, which fences off older owners.
      ForgetTask Fence{TaskId(), Id, Term};
      if (TargetHost.Worker.forget(Now, Fence) ==
          OrderResult::RefusedStaleEpoch) {
        Epoch Newest = TargetHost.Worker.newestEpoch();
        send(Sender, Sender, [Newest](SimulatedDaemon &Asker) {
          Asker.onWorkerRefused(Newest);
        });
        return;
      }
      TargetHost.Worker.renewSession(Now);
      TargetHost.Owner = Sender;
      WorkerInventory Inventory = TargetHost.Worker.inventory(Now);
      send(Sender, Sender, [Inventory, Term](SimulatedDaemon &Asker) {
        if (Asker.term() == Term)
          Asker.onWorkerContacted(Inventory);
      });
    });
  }
}

std::vector<WorkerId> StateSimulation::workersOf(std::uint32_t Domain) {
  std::vector<WorkerId> Result;
  for (std::uint32_t I = 0; I != Settings.WorkersPerDomain; ++I)
    Result.push_back(
        WorkerId(std::to_string(Domain * Settings.WorkersPerDomain + I)));
  return Result;
}

void StateSimulation::stepWorkers() {
  for (Host &Each : Hosts) {
    if (Each.Worker.nextDeadline() > Now)
      continue;
    for (const JobEvent &Event : Each.Worker.advance(Now)) {
      const auto *Finished = std::get_if<TaskEnded>(&Event);
      if (Finished && Finished->End == TaskEnd::Succeeded)
        recordSuccess(Finished->Task);
      if (Now >= Each.CutUntil)
        send(Each.Owner, Each.Owner,
             [Event](SimulatedDaemon &Owner) { Owner.handleJobEvent(Event); });
    }
  }
}

void StateSimulation::recordStart(std::uint32_t Domain) {
  ++Counts.TasksStarted;
  ++StartsIn[Domain];
  auto Record = OutOfServiceDomains.find(Domain);
  if (Record != OutOfServiceDomains.end() &&
      Now > Record->second.AcceptedAt + MaxStartDelay)
    ++Violations.StartsOutOfService;
}

void StateSimulation::recordSuccess(const TaskId &Task) {
  auto &Members = Succeeded[{Task.Job, Task.Run}];
  bool New = Members.insert(Task.Member).second;
  if (!New || Members.size() != Specs.at(Task.Job)->Members)
    return;
  ++Counts.JobsCompleted;
  if (++Completions[Task.Job] > 1)
    ++Violations.JobsRunTwice;
}

void StateSimulation::checkWorkers() {
  std::map<std::pair<JobId, std::uint64_t>, std::uint32_t> Running;
  std::map<JobId, std::uint64_t> RunOf;
  for (const Host &Each : Hosts) {
    AcceleratorMask Taken = 0;
    for (const auto &[Id, Task] : Each.Worker.tasks()) {
      if (Taken & Task.Held.Accelerators)
        ++Violations.AcceleratorsGrantedTwice;
      Taken |= Task.Held.Accelerators;
      if (Task.Held.Phase == TaskPhase::Held)
        continue;
      ++Running[{Id.Job, Id.Run}];
      bool SameRun = RunOf.try_emplace(Id.Job, Id.Run).first->second == Id.Run;
      if (!SameRun && ReportedJobs.insert(Id.Job).second)
        ++Violations.JobsRunTwice;
    }
  }
  std::erase_if(PartialSince, [&Running](const auto &Entry) {
    return !Running.contains(Entry.first);
  });
  for (const auto &[RunKey, Count] : Running) {
    std::size_t FinishedMembers = Succeeded[RunKey].size();
    if (Count + FinishedMembers >= Specs.at(RunKey.first)->Members) {
      PartialSince.erase(RunKey);
      continue;
    }
    TimePoint Since = PartialSince.try_emplace(RunKey, Now).first->second;
    if (Now - Since > MaxPartialDuration &&
        ReportedJobs.insert(RunKey.first).second)
      ++Violations.PartialGangs;
  }
}

std::uint64_t StateSimulation::countUnfinished() const {
  std::uint64_t Count = 0;
  for (JobId Job : Accepted)
    Count += Completions.contains(Job) || Ended.contains(Job) ? 0 : 1;
  return Count;
}

std::shared_ptr<const JobSpec> StateSimulation::specOf(JobId Job) {
  return Specs.at(Job);
}

void StateSimulation::onJobAccepted(JobId Job) {
  if (Accepted.insert(Job).second)
    ++Counts.JobsAccepted;
}

void StateSimulation::onJobEnded(JobId Job, JobPhase Phase) {
  // Successes are counted only as the workers report them.
  if (Phase != JobPhase::Succeeded)
    Ended.insert(Job);
}

void StateSimulation::onOwnershipTaken(std::uint32_t) {
  ++Counts.OwnershipsTaken;
}

void StateSimulation::onVersionInForce(std::uint32_t Daemon,
                                       ConfigVersion Version,
                                       const std::string &InService) {
  ConfigVersion &HighestVersion = Processes[Daemon].HighestVersion;
  if (Version < HighestVersion)
    ++Violations.VersionReversions;
  HighestVersion = std::max(HighestVersion, Version);
  for (std::uint32_t I = 0; I != Settings.Domains; ++I) {
    if (InService.at(I) != '1')
      continue;
    NewestInServiceVersion[I] = std::max(NewestInServiceVersion[I], Version);
    auto Record = OutOfServiceDomains.find(I);
    if (Record != OutOfServiceDomains.end() &&
        Record->second.Version < NewestInServiceVersion[I])
      OutOfServiceDomains.erase(Record);
  }
}

void StateSimulation::outOfServiceAccepted(std::uint32_t Domain,
                                           ConfigVersion Version) {
  ++Counts.OutOfServiceAccepted;
  if (NewestInServiceVersion[Domain] < Version)
    OutOfServiceDomains.try_emplace(Domain, OutOfServiceRecord{Version, Now});
}

JobId StateSimulation::submit(std::uint32_t Domain, std::uint32_t Members) {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(NextJob++);
  Spec->Workspace = WorkspaceId("alpha");
  Spec->Kind = JobKindId("train");
  Spec->Members = Members;
  Spec->PerMember = {1000, 1024, AcceleratorsPerMember};
  Spec->ExpectedRunTime = RunTime;
  Spec->MaxRestarts = 1000;
  Specs[Spec->Id] = Spec;
  for (std::uint32_t I = 0; I != Settings.DaemonsPerDomain; ++I) {
    std::uint32_t To = Domain * Settings.DaemonsPerDomain + I;
    JobId Job = Spec->Id;
    InFlight.emplace(
        Now, Message{To, [Job](SimulatedDaemon &Each) { Each.submit(Job); }});
  }
  return Spec->Id;
}

void StateSimulation::setInService(std::uint32_t Publisher,
                                   std::uint32_t Domain, bool InService) {
  Process &Target = Processes[Publisher];
  if (!Target.Dead && Now >= Target.PausedUntil)
    Target.Daemon->publish(Domain, InService);
}

void StateSimulation::pauseDaemon(std::uint32_t Daemon, Duration Span) {
  Processes[Daemon].PausedUntil = Now + Span;
}

void StateSimulation::killDaemon(std::uint32_t Daemon, Duration Span) {
  Processes[Daemon].Dead = true;
  Processes[Daemon].DeadUntil = Now + Span;
}

void StateSimulation::cutDaemons(std::uint32_t Left, std::uint32_t Right,
                                 Duration Span) {
  LinkCutUntil[{std::min(Left, Right), std::max(Left, Right)}] = Now + Span;
}

void StateSimulation::cutDomains(std::uint32_t Left, std::uint32_t Right,
                                 Duration Span) {
  for (std::uint32_t I = 0; I != daemons(); ++I) {
    for (std::uint32_t J = 0; J != daemons(); ++J) {
      if (domainOf(I) == Left && domainOf(J) == Right)
        cutDaemons(I, J, Span);
    }
  }
}

void StateSimulation::cutDomainFromStore(std::uint32_t Domain, Duration Span) {
  StoreCutUntil[Domain] = Now + Span;
}

void StateSimulation::cutWorker(std::uint32_t Domain, std::uint32_t Worker,
                                Duration Span) {
  Hosts[Domain * Settings.WorkersPerDomain + Worker].CutUntil = Now + Span;
}

std::uint32_t StateSimulation::ownerOf(std::uint32_t Domain) const {
  for (std::uint32_t I = 0; I != daemons(); ++I) {
    const Process &Each = Processes[I];
    if (domainOf(I) == Domain && !Each.Dead && Now >= Each.PausedUntil &&
        Each.Daemon->owns())
      return I;
  }
  return daemons();
}

void StateSimulation::addLoad() {
  submit(Rng.below(Settings.Domains), 1 + Rng.below(3));
  if (!Rng.withProbability(0.25))
    return;
  std::uint32_t Domain = Rng.below(Settings.Domains);
  setInService(Rng.below(daemons()), Domain,
               OutOfServiceDomains.contains(Domain));
}

void StateSimulation::addFault() {
  ++Counts.FaultsInjected;
  std::uint32_t Daemon = Rng.below(daemons());
  std::uint32_t Domain = Rng.below(Settings.Domains);
  switch (Rng.below(9)) {
  case 0:
    return pauseDaemon(Daemon, randomDuration(15000));
  case 1:
    return killDaemon(Daemon, randomDuration(4000));
  case 2:
    return cutDomains(Domain, Rng.below(Settings.Domains),
                      randomDuration(12000));
  case 3:
    return cutDomainFromStore(Domain, randomDuration(12000));
  case 4:
    for (std::uint32_t Other = 0; Other != Settings.Domains; ++Other)
      cutDomains(Domain, Other, randomDuration(12000));
    return cutDomainFromStore(Domain, randomDuration(12000));
  case 5:
    return cutWorker(Domain, Rng.below(Settings.WorkersPerDomain),
                     randomDuration(9000));
  case 6:
    return cutDaemons(Daemon, Rng.below(daemons()), randomDuration(12000));
  default:
    return addStoreFault();
  }
}

void StateSimulation::addStoreFault() {
  if (Rng.withProbability(0.15))
    return Store.expireAllLeases(Now);
  static constexpr StoreFault Kinds[] = {
      StoreFault::Fail,       StoreFault::DropCall,
      StoreFault::LoseAnswer, StoreFault::FailAfterApplying,
      StoreFault::Stall,      StoreFault::Stale,
      StoreFault::DropEvents, StoreFault::RateLimit};
  FaultRule Rule;
  Rule.Fault = Kinds[Rng.below(std::size(Kinds))];
  Rule.Probability = Rng.withProbability(0.5) ? 1.0 : 0.4;
  Rule.Delay = randomDuration(500);
  Rule.Until = Now + randomDuration(10000);
  Store.addFault(Rule);
}

void StateSimulation::recover() {
  Store.clearFaults();
  LinkCutUntil.clear();
  Settings.LossProbability = 0;
  Settings.DuplicationProbability = 0;
  for (TimePoint &Until : StoreCutUntil)
    Until = Now;
  for (Process &Each : Processes) {
    Each.PausedUntil = std::min(Each.PausedUntil, Now);
    Each.DeadUntil = std::min(Each.DeadUntil, Now);
  }
  for (Host &Each : Hosts)
    Each.CutUntil = Now;
  advance(std::chrono::seconds(8));
  for (std::uint32_t Domain = 0; Domain != Settings.Domains; ++Domain) {
    setInService(0, Domain, true);
    advance(std::chrono::seconds(2));
  }
}

} // namespace banyanworks::testing
