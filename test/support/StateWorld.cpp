/// \file
/// Implements the deployment, its faults and the checks.
#include "support/StateWorld.h"

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
/// A gang that is not whole is noticed and ended within one session lease and
/// the time for stops to get through.
constexpr Duration LongestPart = std::chrono::seconds(5 + 3);
constexpr Duration LastStart = std::chrono::seconds(3);

FakeWorkerSettings workerSettings() {
  FakeWorkerSettings Result;
  Result.SessionLease = worldScheduler().SessionLease;
  Result.RunTime = [](const TaskId &, const JobSpec &) { return RunTime; };
  return Result;
}

} // namespace

std::uint64_t WorldViolations::total() const {
  return AcceleratorsGrantedTwice + PartialGangs + StartsAfterOut +
         VersionsGoneBack + JobsLost + JobsRunTwice;
}

WorldViolations &WorldViolations::operator+=(const WorldViolations &Other) {
  AcceleratorsGrantedTwice += Other.AcceleratorsGrantedTwice;
  PartialGangs += Other.PartialGangs;
  StartsAfterOut += Other.StartsAfterOut;
  VersionsGoneBack += Other.VersionsGoneBack;
  JobsLost += Other.JobsLost;
  JobsRunTwice += Other.JobsRunTwice;
  return *this;
}

WorldCounts &WorldCounts::operator+=(const WorldCounts &Other) {
  JobsAccepted += Other.JobsAccepted;
  JobsCompleted += Other.JobsCompleted;
  TasksStarted += Other.TasksStarted;
  OutsAccepted += Other.OutsAccepted;
  OwnersTaken += Other.OwnersTaken;
  FaultsStruck += Other.FaultsStruck;
  return *this;
}

StateWorld::StateWorld(const WorldSettings &Given, std::uint64_t Seed)
    : Settings(Given), Dice(Seed), Store(Seed), Processes(daemons()),
      NoStoreUntil(Given.Domains), StartsIn(Given.Domains),
      NewestIn(Given.Domains) {
  Publication First{{},
                    ConfigVersion(1),
                    std::string(Given.Domains, '1'),
                    "operator",
                    "first"};
  StoreDriver Operator(Store, StoreClientOptions(), 1000000);
  ConfigurationPublisher Publisher(First, {Incarnation(1000000), 1});
  std::optional<StoreCommand> Ask = Publisher.start();
  while (Ask)
    Ask =
        Publisher.handleOutcome(Operator.run(Ask->Request, Now, Ask->Timeout));
  for (std::uint32_t I = 0; I != Given.Domains * Given.WorkersPerDomain; ++I) {
    WorkerInfo Info;
    Info.Id = WorkerId(std::to_string(I));
    Info.Domain = worldDomain(I / Given.WorkersPerDomain);
    Info.Rack = RackId("r");
    Info.Capacity = {32000, 131072, AcceleratorsPerWorker};
    Info.AcceleratorModel = "a";
    Hosts.emplace_back(FakeWorker(Info, workerSettings()));
  }
  for (std::uint32_t I = 0; I != daemons(); ++I)
    startDaemon(I);
}

StateWorld::~StateWorld() = default;

void StateWorld::startDaemon(std::uint32_t Index) {
  Process &Each = Processes[Index];
  WorldPlace Place{Index, domainOf(Index), Settings.Domains,
                   Settings.DaemonsPerDomain, ++Starts};
  WorldLinks &Links = *this;
  Each.Daemon =
      std::make_unique<WorldDaemon>(Place, Settings.Protections, Store, Links);
  Each.Dead = false;
  Each.Highest = ConfigVersion();
}

Duration StateWorld::randomSpan(std::uint32_t MostMilliseconds) {
  return std::chrono::milliseconds(200 + Dice.below(MostMilliseconds));
}

void StateWorld::run() {
  advance(std::chrono::seconds(4));
  TimePoint End = Now + Settings.Faulty;
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
  heal();
  TimePoint Last = Now + Settings.Healed;
  while (Now < Last && unfinished() != 0)
    advance(std::chrono::seconds(2));
  Violations.JobsLost += unfinished();
}

void StateWorld::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;)
    step();
}

void StateWorld::step() {
  Now += StepLength;
  for (std::uint32_t I = 0; I != daemons(); ++I) {
    Process &Each = Processes[I];
    if (Each.Dead && Now >= Each.DeadUntil)
      startDaemon(I);
    if (Each.Dead || Now < Each.PausedUntil)
      continue;
    Each.Daemon->step(Now, Now >= NoStoreUntil[domainOf(I)]);
  }
  deliver();
  stepWorkers();
  checkWorkers();
}

void StateWorld::deliver() {
  std::vector<Message> Due;
  auto End = OnTheWay.upper_bound(Now);
  for (auto It = OnTheWay.begin(); It != End; ++It)
    Due.push_back(std::move(It->second));
  OnTheWay.erase(OnTheWay.begin(), End);
  for (Message &Each : Due) {
    Process &To = Processes[Each.To];
    if (To.Dead)
      continue;
    if (Now < To.PausedUntil) {
      // It waits in the socket until the process runs again.
      TimePoint Resumed = To.PausedUntil + StepLength;
      OnTheWay.emplace(Resumed, std::move(Each));
      continue;
    }
    Each.Deliver(*To.Daemon);
  }
}

void StateWorld::send(std::uint32_t From, std::uint32_t To,
                      std::function<void(WorldDaemon &)> Deliver) {
  auto Cut = Cuts.find({std::min(From, To), std::max(From, To)});
  if (Cut != Cuts.end() && Now < Cut->second)
    return;
  int Copies = Dice.chance(Settings.Loss) ? 0 : 1;
  Copies += Dice.chance(Settings.Duplication) ? 1 : 0;
  for (int Copy = 0; Copy != Copies; ++Copy) {
    auto Most = static_cast<std::uint32_t>(Settings.MostDelay.count());
    OnTheWay.emplace(Now + Duration(Dice.below(Most)), Message{To, Deliver});
  }
}

StateWorld::Host &StateWorld::hostOf(const WorkerId &Id) {
  return Hosts[std::stoul(Id.str())];
}

template <typename Answer, typename Order, typename Method>
void StateWorld::orderTo(std::uint32_t From, const Order &Asked, Method Call) {
  // The order travels as a message of the daemon to itself, and acts on the
  // worker when it arrives.
  Epoch Term = Asked.Term;
  send(From, From, [this, From, Asked, Call, Term](WorldDaemon &) {
    Host &To = hostOf(Asked.Worker);
    if (Now < To.CutUntil)
      return;
    auto Held = To.Worker.tasks().find(Asked.Task);
    bool WasHeld = Held != To.Worker.tasks().end() &&
                   Held->second.Held.Phase == TaskPhase::Held;
    std::optional<OrderResult> Result = (To.Worker.*Call)(Now, Asked);
    bool Starts = std::is_same_v<Order, StartTask> && WasHeld &&
                  Result == OrderResult::Done;
    if (Starts)
      noteStart(domainOf(From));
    if (!Result)
      return;
    Epoch Newest = To.Worker.newestEpoch();
    send(From, From, [Asked, Result, Newest, Term](WorldDaemon &Asker) {
      if (*Result == OrderResult::RefusedStaleEpoch)
        Asker.workerRefused(Newest);
      if constexpr (!std::is_same_v<Answer, void>) {
        if (Asker.term() == Term)
          Asker.giveScheduler(Answer{Asked.Task, Asked.Worker, *Result});
      }
    });
  });
  if constexpr (!std::is_same_v<Answer, void>) {
    OnTheWay.emplace(
        Now + worldScheduler().AnswerTimeout,
        Message{From, [Asked, Term](WorldDaemon &Asker) {
                  if (Asker.term() == Term)
                    Asker.giveScheduler(
                        Answer{Asked.Task, Asked.Worker, OrderResult::Unknown});
                }});
  }
}

void StateWorld::order(std::uint32_t From, const JobAction &Order) {
  if (const auto *Hold = std::get_if<HoldTask>(&Order))
    orderTo<HoldAnswered>(From, *Hold, &FakeWorker::hold);
  else if (const auto *Start = std::get_if<StartTask>(&Order))
    orderTo<StartAnswered>(From, *Start, &FakeWorker::start);
  else if (const auto *Release = std::get_if<ReleaseTask>(&Order))
    orderTo<void>(From, *Release, &FakeWorker::release);
  else if (const auto *Stop = std::get_if<StopTask>(&Order))
    orderTo<void>(From, *Stop, &FakeWorker::stop);
  else if (const auto *Checkpoint = std::get_if<CheckpointTask>(&Order))
    orderTo<void>(From, *Checkpoint, &FakeWorker::checkpoint);
  else if (const auto *Forget = std::get_if<ForgetTask>(&Order))
    orderTo<void>(From, *Forget, &FakeWorker::forget);
}

void StateWorld::contactWorkers(std::uint32_t From, Epoch Term) {
  for (const WorkerId &Id : workersOf(domainOf(From))) {
    send(From, From, [this, From, Id, Term](WorldDaemon &) {
      Host &To = hostOf(Id);
      if (Now < To.CutUntil)
        return;
      // The question carries the epoch, which fences older owners.
      ForgetTask Fence{TaskId(), Id, Term};
      if (To.Worker.forget(Now, Fence) == OrderResult::RefusedStaleEpoch) {
        Epoch Newest = To.Worker.newestEpoch();
        send(From, From,
             [Newest](WorldDaemon &Asker) { Asker.workerRefused(Newest); });
        return;
      }
      To.Worker.renewSession(Now);
      To.Owner = From;
      WorkerInventory Inventory = To.Worker.inventory(Now);
      send(From, From, [Inventory, Term](WorldDaemon &Asker) {
        if (Asker.term() == Term)
          Asker.workerContacted(Inventory);
      });
    });
  }
}

std::vector<WorkerId> StateWorld::workersOf(std::uint32_t Domain) {
  std::vector<WorkerId> Result;
  for (std::uint32_t I = 0; I != Settings.WorkersPerDomain; ++I)
    Result.push_back(
        WorkerId(std::to_string(Domain * Settings.WorkersPerDomain + I)));
  return Result;
}

void StateWorld::stepWorkers() {
  for (Host &Each : Hosts) {
    if (Each.Worker.nextDeadline() > Now)
      continue;
    for (const JobEvent &Event : Each.Worker.advance(Now)) {
      const auto *Over = std::get_if<TaskEnded>(&Event);
      if (Over && Over->End == TaskEnd::Succeeded)
        noteSuccess(Over->Task);
      if (Now >= Each.CutUntil)
        send(Each.Owner, Each.Owner,
             [Event](WorldDaemon &Owner) { Owner.giveScheduler(Event); });
    }
  }
}

void StateWorld::noteStart(std::uint32_t Domain) {
  ++Counts.TasksStarted;
  ++StartsIn[Domain];
  auto Out = Outs.find(Domain);
  if (Out != Outs.end() && Now > Out->second.AcceptedAt + LastStart)
    ++Violations.StartsAfterOut;
}

void StateWorld::noteSuccess(const TaskId &Task) {
  auto &Members = Succeeded[{Task.Job, Task.Run}];
  bool New = Members.insert(Task.Member).second;
  if (!New || Members.size() != Specs.at(Task.Job)->Members)
    return;
  ++Counts.JobsCompleted;
  if (++Completions[Task.Job] > 1)
    ++Violations.JobsRunTwice;
}

void StateWorld::checkWorkers() {
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
      bool Same = RunOf.try_emplace(Id.Job, Id.Run).first->second == Id.Run;
      if (!Same && Blamed.insert(Id.Job).second)
        ++Violations.JobsRunTwice;
    }
  }
  std::erase_if(PartSince, [&Running](const auto &Entry) {
    return !Running.contains(Entry.first);
  });
  for (const auto &[Which, Count] : Running) {
    std::size_t Done = Succeeded[Which].size();
    if (Count + Done >= Specs.at(Which.first)->Members) {
      PartSince.erase(Which);
      continue;
    }
    TimePoint Since = PartSince.try_emplace(Which, Now).first->second;
    if (Now - Since > LongestPart && Blamed.insert(Which.first).second)
      ++Violations.PartialGangs;
  }
}

std::uint64_t StateWorld::unfinished() const {
  std::uint64_t Count = 0;
  for (JobId Job : Accepted)
    Count += Completions.contains(Job) || Ended.contains(Job) ? 0 : 1;
  return Count;
}

std::shared_ptr<const JobSpec> StateWorld::specOf(JobId Job) {
  return Specs.at(Job);
}

void StateWorld::jobAccepted(JobId Job) {
  if (Accepted.insert(Job).second)
    ++Counts.JobsAccepted;
}

void StateWorld::jobEnded(JobId Job, JobPhase Phase) {
  // A success counts by the workers' word alone.
  if (Phase != JobPhase::Succeeded)
    Ended.insert(Job);
}

void StateWorld::ownershipTaken(std::uint32_t) { ++Counts.OwnersTaken; }

void StateWorld::versionInForce(std::uint32_t Daemon, ConfigVersion Version,
                                const std::string &In) {
  ConfigVersion &Highest = Processes[Daemon].Highest;
  if (Version < Highest)
    ++Violations.VersionsGoneBack;
  Highest = std::max(Highest, Version);
  for (std::uint32_t I = 0; I != Settings.Domains; ++I) {
    if (In.at(I) != '1')
      continue;
    NewestIn[I] = std::max(NewestIn[I], Version);
    auto Out = Outs.find(I);
    if (Out != Outs.end() && Out->second.Version < NewestIn[I])
      Outs.erase(Out);
  }
}

void StateWorld::outAccepted(std::uint32_t Domain, ConfigVersion Version) {
  ++Counts.OutsAccepted;
  if (NewestIn[Domain] < Version)
    Outs.try_emplace(Domain, Out{Version, Now});
}

JobId StateWorld::submit(std::uint32_t Domain, std::uint32_t Members) {
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
    OnTheWay.emplace(
        Now, Message{To, [Job](WorldDaemon &Each) { Each.submit(Job); }});
  }
  return Spec->Id;
}

void StateWorld::setIn(std::uint32_t By, std::uint32_t Domain, bool In) {
  Process &Each = Processes[By];
  if (!Each.Dead && Now >= Each.PausedUntil)
    Each.Daemon->publish(Domain, In);
}

void StateWorld::pauseDaemon(std::uint32_t Daemon, Duration Span) {
  Processes[Daemon].PausedUntil = Now + Span;
}

void StateWorld::killDaemon(std::uint32_t Daemon, Duration Span) {
  Processes[Daemon].Dead = true;
  Processes[Daemon].DeadUntil = Now + Span;
}

void StateWorld::cutDaemons(std::uint32_t Left, std::uint32_t Right,
                            Duration Span) {
  Cuts[{std::min(Left, Right), std::max(Left, Right)}] = Now + Span;
}

void StateWorld::cutDomains(std::uint32_t Left, std::uint32_t Right,
                            Duration Span) {
  for (std::uint32_t I = 0; I != daemons(); ++I) {
    for (std::uint32_t J = 0; J != daemons(); ++J) {
      if (domainOf(I) == Left && domainOf(J) == Right)
        cutDaemons(I, J, Span);
    }
  }
}

void StateWorld::cutDomainFromStore(std::uint32_t Domain, Duration Span) {
  NoStoreUntil[Domain] = Now + Span;
}

void StateWorld::cutWorker(std::uint32_t Domain, std::uint32_t Worker,
                           Duration Span) {
  Hosts[Domain * Settings.WorkersPerDomain + Worker].CutUntil = Now + Span;
}

std::uint32_t StateWorld::ownerOf(std::uint32_t Domain) const {
  for (std::uint32_t I = 0; I != daemons(); ++I) {
    const Process &Each = Processes[I];
    if (domainOf(I) == Domain && !Each.Dead && Now >= Each.PausedUntil &&
        Each.Daemon->owns())
      return I;
  }
  return daemons();
}

void StateWorld::addLoad() {
  submit(Dice.below(Settings.Domains), 1 + Dice.below(3));
  if (!Dice.chance(0.25))
    return;
  std::uint32_t Domain = Dice.below(Settings.Domains);
  setIn(Dice.below(daemons()), Domain, Outs.contains(Domain));
}

void StateWorld::addFault() {
  ++Counts.FaultsStruck;
  std::uint32_t Daemon = Dice.below(daemons());
  std::uint32_t Domain = Dice.below(Settings.Domains);
  switch (Dice.below(9)) {
  case 0:
    return pauseDaemon(Daemon, randomSpan(15000));
  case 1:
    return killDaemon(Daemon, randomSpan(4000));
  case 2:
    return cutDomains(Domain, Dice.below(Settings.Domains), randomSpan(12000));
  case 3:
    return cutDomainFromStore(Domain, randomSpan(12000));
  case 4:
    for (std::uint32_t Other = 0; Other != Settings.Domains; ++Other)
      cutDomains(Domain, Other, randomSpan(12000));
    return cutDomainFromStore(Domain, randomSpan(12000));
  case 5:
    return cutWorker(Domain, Dice.below(Settings.WorkersPerDomain),
                     randomSpan(9000));
  case 6:
    return cutDaemons(Daemon, Dice.below(daemons()), randomSpan(12000));
  default:
    return addStoreFault();
  }
}

void StateWorld::addStoreFault() {
  if (Dice.chance(0.15))
    return Store.expireLeases(Now);
  static constexpr StoreFault Kinds[] = {
      StoreFault::Fail,       StoreFault::DropCall,
      StoreFault::LoseAnswer, StoreFault::FailAfterApplying,
      StoreFault::Stall,      StoreFault::Stale,
      StoreFault::DropEvents, StoreFault::RateLimit};
  FaultRule Rule;
  Rule.Fault = Kinds[Dice.below(std::size(Kinds))];
  Rule.Share = Dice.chance(0.5) ? 1.0 : 0.4;
  Rule.Delay = randomSpan(500);
  Rule.Until = Now + randomSpan(10000);
  Store.addFault(Rule);
}

void StateWorld::heal() {
  Store.clearFaults();
  Cuts.clear();
  Settings.Loss = 0;
  Settings.Duplication = 0;
  for (TimePoint &Until : NoStoreUntil)
    Until = Now;
  for (Process &Each : Processes) {
    Each.PausedUntil = std::min(Each.PausedUntil, Now);
    Each.DeadUntil = std::min(Each.DeadUntil, Now);
  }
  for (Host &Each : Hosts)
    Each.CutUntil = Now;
  advance(std::chrono::seconds(8));
  for (std::uint32_t Domain = 0; Domain != Settings.Domains; ++Domain) {
    setIn(0, Domain, true);
    advance(std::chrono::seconds(2));
  }
}

} // namespace banyanworks::testing
