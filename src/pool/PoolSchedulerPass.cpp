/// \file
/// Implements the turn of a PoolScheduler: whose tasks are placed next, where,
/// what is stopped for urgent work, and which orders are due.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"
#include "pool/JobName.h"
#include "pool/JobObjective.h"

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace banyanworks::pool {

namespace {

/// An accelerator is worth this many cores when losses are compared.
constexpr double CoresPerAccelerator = 8.0;
/// Failures older than this say nothing about a worker any more.
constexpr Duration FailureMemory = std::chrono::seconds(10);
/// A long-running task does not make room within any span that is planned.
constexpr Duration LastsOn = std::chrono::hours(1);
/// What it costs to stop urgent work, in core seconds, beside what is lost:
/// above any loss of other work, so that this gives way first.
constexpr double UrgentLoss = 1e6;
/// A worker on which this many jobs failed lately is left alone.
constexpr std::size_t FailuresToAvoid = 2;
/// When more than one in so many workers looks bad, all are used.
constexpr std::size_t MostSuspects = 3;

/// The largest share that \p Some is of \p Whole in any resource.
double dominantShare(const Resources &Some, const Resources &Whole) {
  auto Share = [](std::int64_t Part, std::int64_t All) {
    return All > 0 ? static_cast<double>(Part) / static_cast<double>(All) : 0.0;
  };
  return std::max({Share(Some.MilliCores, Whole.MilliCores),
                   Share(Some.MemoryMiB, Whole.MemoryMiB),
                   Share(Some.Accelerators, Whole.Accelerators)});
}

/// Whether a group may be placed once its turn has come.
bool isWaiting(const TaskGroup &Group) {
  return Group.State == GroupState::Waiting && Group.Live == 0;
}

double coreSeconds(const Resources &Room, Duration Time) {
  return (static_cast<double>(Room.MilliCores) / 1000.0 +
          CoresPerAccelerator * Room.Accelerators) *
         toSeconds(Time);
}

} // namespace

bool PoolScheduler::takesWork(const Slot &On) const {
  return On.Listed && On.Heard && !On.Silent && !On.Suspect &&
         !On.Info.Draining && !DomainsOut.contains(On.Info.Domain) &&
         !LeavingWorkers.contains(On.Info.Id);
}

bool PoolScheduler::usable(const Slot &On, const Candidate &For,
                           TimePoint Now) const {
  return takesWork(On) && Now >= On.RefusedUntil &&
         offers(On.Info, For.Terms->Service, *For.Step);
}

bool PoolScheduler::eligible(const Slot &On, const Candidate &For,
                             TimePoint Now) const {
  return usable(On, For, Now) &&
         (!For.Terms->Advice || Advice.ticket(For.key(), On.Info, Now));
}

void PoolScheduler::needAdvice(const Candidate &For, TimePoint Now) {
  PlacementRequest Request = requestFor(For);
  StepKey Step = For.key();
  // Those that have room now come first.
  std::vector<std::pair<std::uint32_t, const PoolWorker *>> Askable;
  for (const auto &[Id, On] : Slots) {
    if (!usable(On, For, Now) || !Advice.askable(Step, On.Info, Now))
      continue;
    WorkerRoom Room;
    Room.Worker = &On.Info;
    Room.Free = On.Info.Capacity;
    if (tasksThatFit(Request, Room) == 0)
      continue;
    Room.Free = On.Info.Capacity - On.Used;
    Askable.emplace_back(tasksThatFit(Request, Room), &On.Info);
  }
  if (Askable.empty())
    return;
  std::stable_sort(Askable.begin(), Askable.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  Askable.resize(std::min(Askable.size(), Limits.WorkersPerQuestion));
  Question.emplace();
  Question->Step = Step;
  for (const auto &Entry : Askable)
    Question->Workers.emplace_back(Entry.second->Id, Entry.second->Life);
  Question->Expected =
      For.Terms->Advice->Decision +
      For.Terms->Advice->PerWorker * static_cast<int>(Askable.size());
}

void PoolScheduler::advised(const AdviceQuestion &Asked,
                            const AdviceAnswer &Answer, TimePoint SentAt) {
  Advice.answered(Asked, Answer, SentAt);
  TaskKey Step{Asked.Step.Job, Asked.Step.Occurrence, Asked.Step.Step, 0};
  Log.write(Answer.Answered ? LogLevel::Routine : LogLevel::Notice,
            "step.advised",
            {{"task", taskName(Step)},
             {"asked", Asked.Workers.size()},
             {"allowed", Answer.Allowed.size()},
             {"answered", Answer.Answered ? "yes" : "no"}});
}

std::optional<PoolScheduler::Candidate>
PoolScheduler::candidateOf(Job &Owner, std::uint32_t Round, std::uint32_t Step,
                           WallTime Wall) {
  std::span<TaskGroup> Groups = Owner.Progress.groupsOf(Round, Step);
  auto First = std::find_if(Groups.begin(), Groups.end(), isWaiting);
  if (First == Groups.end() || !Owner.Progress.ready(Owner.Spec, *First))
    return std::nullopt;
  Candidate Result;
  Result.Owner = &Owner;
  Result.First = &*First;
  Result.Step = &Owner.Spec.Steps[Step];
  Result.Terms = Owner.Terms;
  WallTime Due = Owner.Spec.dueAt(Round);
  Duration Objective = objectiveOf(Owner.Chain, *Owner.Terms);
  Duration Rest = Owner.Rests[Step];
  Result.Waited = std::max(Duration(), Wall - Due);
  Result.LatestStart = Due + Objective - Rest;
  // A long-running step is of use from whenever it starts.
  if (Wall > Result.LatestStart && !Result.Step->LongRunning)
    Result.Lateness = Wall > Due + Objective * LateFactor - Rest ? 2 : 1;
  return Result;
}

void PoolScheduler::gather(Candidate &Next) {
  Next.Groups.clear();
  for (TaskGroup &Group : Next.Owner->Progress.groupsOf(Next.First->Occurrence,
                                                        Next.First->Step))
    if (isWaiting(Group))
      Next.Groups.push_back(&Group);
}

std::vector<PoolScheduler::Candidate> PoolScheduler::candidates(WallTime Wall) {
  std::vector<Candidate> Result;
  bool Urgent = false;
  for (auto &[Id, Waiting] : Jobs) {
    if (isFinal(Waiting.Status) || Waiting.Waiting == 0)
      continue;
    const JobSpec &Spec = Waiting.Spec;
    for (std::uint32_t Round = 0; Round < Spec.rounds(); ++Round) {
      if (Spec.scheduled() && Wall < Spec.dueAt(Round))
        break;
      for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step) {
        auto Next = candidateOf(Waiting, Round, Step, Wall);
        if (!Next)
          continue;
        Urgent = Urgent || Next->Terms->Priority == 0;
        Result.push_back(std::move(*Next));
      }
    }
  }
  Guarantees.reset();
  if (Urgent) {
    countGuarantees();
    for (Candidate &Next : Result)
      Next.Guaranteed = Next.Terms->Priority == 0 &&
                        Guarantees->within(Next.Owner->Spec.Workspace);
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     auto Key = [](const Candidate &Of) {
                       return std::tuple(Of.Terms->Priority != 0,
                                         !Of.Guaranteed, Of.Lateness,
                                         Of.Terms->Priority,
                                         Of.LatestStart);
                     };
                     return Key(Left) < Key(Right);
                   });
  return Result;
}

void PoolScheduler::openRooms() {
  for (auto &[Id, On] : Slots) {
    if (!takesWork(On))
      continue;
    On.RoomAt = OpenRooms.size();
    OpenRooms.push_back({&On, On.Info.Capacity - On.Used});
  }
}

void PoolScheduler::closeRooms() {
  for (const OpenRoom &Room : OpenRooms)
    Room.On->RoomAt.reset();
  OpenRooms.clear();
}

std::vector<WorkerRoom>
PoolScheduler::rooms(const Candidate &For, const PlacementRequest &Request,
                     TimePoint Now) const {
  std::vector<WorkerRoom> Result;
  const TaskGroup &First = *For.First;
  bool Urgent = For.Terms->Priority == 0;
  bool Large = HoldUsesReserve && HoldOwner == For.Owner->Spec.Id;
  for (const OpenRoom &Open : OpenRooms) {
    if (!Request.PerTask.fitsIn(Open.Free))
      continue;
    const Slot &On = *Open.On;
    if (isReserved(On, For, Now) || isRisky(On, For) ||
        (!Urgent && On.Kept && !Large) || !eligible(On, For, Now))
      continue;
    WorkerRoom Room;
    Room.Worker = &On.Info;
    Room.Free = Open.Free;
    if (Hold && !Urgent)
      Room.Free = Hold->usable(On.Info.Id, Room.Free, For.Step->Estimate);
    Room.Penalty = On.Failures.empty() ? 0 : 1;
    if (For.Step->FillsIdle && !idleFor(On, *For.Step))
      ++Room.Penalty;
    if (For.Step->MaxPerWorker != 0) {
      for (const auto &Entry : On.Runs) {
        const TaskKey &Task = Entry.first.first;
        Room.OfStep += Task.Job == For.Owner->Spec.Id &&
                       Task.Occurrence == First.Occurrence &&
                       Task.Step == First.Step;
      }
    }
    Result.push_back(Room);
  }
  return Result;
}

void PoolScheduler::place(Candidate &Next,
                          const std::vector<TaskGroup *> &Groups,
                          const std::vector<WorkerId> &Chosen, TimePoint Now) {
  std::size_t At = 0;
  changed(*Next.Owner);
  Next.Owner->Waiting -= Groups.size();
  for (TaskGroup *Group : Groups) {
    Group->State = GroupState::Active;
    // Later steps wait for earlier ones, and later runs for others to end.
    if (Group->Run == RunNumber() && Next.Step->After.empty())
      observed(PoolSpan::Queued, Next.Waited);
    Group->Run = Group->Run.next();
    Group->Workers.assign(Chosen.begin() + static_cast<std::ptrdiff_t>(At),
                          Chosen.begin() +
                              static_cast<std::ptrdiff_t>(At + Group->Members));
    for (std::uint32_t Member = 0; Member < Group->Members; ++Member, ++At) {
      TaskKey Task = Group->task(Next.Owner->Spec.Id, Member);
      Slot &On = Slots.at(Chosen[At]);
      PlacedRun Run;
      Run.Room = Next.Step->held();
      Run.PlannedVersion = Next.Owner->Version;
      Run.OrderedAt = Now;
      takeRoom(On, Run.Room);
      On.Runs.emplace(RunKey(Task, Group->Run), Run);
      Ordering.insert(Chosen[At]);
      Renewals.insert(Chosen[At]);
      if (Next.Step->FillsIdle)
        Filled.insert(Chosen[At]);
      if (Hold)
        Hold->placed(Chosen[At], Run.Room, Next.Step->Estimate);
      ++Group->Live;
      ++Next.Owner->Live;
      Log.write(LogLevel::Routine, "run.placed",
                {{"task", taskName(Task)},
                 {"run", Group->Run.value()},
                 {"worker", Chosen[At].str()},
                 {"lateness", Next.Lateness},
                 {"config", Configuration.Version.value()}});
    }
  }
  if (Next.Terms->Priority == 0) {
    Reserve.arrived(Next.Step->PerTask.Accelerators *
                        static_cast<std::int32_t>(Chosen.size()),
                    Now);
  }
  if (Next.Owner->Status == JobStatus::Queued)
    Next.Owner->Status = JobStatus::Running;
}

PlacementRequest PoolScheduler::requestFor(const Candidate &Next) const {
  PlacementRequest Request;
  const StepSpec &Step = *Next.Step;
  Request.PerTask = Step.held();
  Request.Count = Step.Gang ? Step.Tasks
                            : std::max<std::uint32_t>(
                                  1, static_cast<std::uint32_t>(
                                         Next.Groups.size()));
  Request.Whole = Step.Gang;
  Request.SameRack = Step.Gang && Step.SameRack;
  Request.DataRack = Step.DataRack;
  Request.MaxPerWorker = Step.MaxPerWorker;
  return Request;
}

Duration PoolScheduler::remaining(const RunKey &Key, const PlacedRun &Run,
                                  TimePoint Now) {
  Duration Spent = Now - Run.OrderedAt;
  GroupRef Ref = find(Key.first);
  if (!Ref.Group || Run.StopWanted)
    return Limits.ReclaimTime;
  if (Ref.Owner->Spec.Steps[Key.first.Step].LongRunning)
    return LastsOn;
  if (Run.Percent > 0 && Run.Percent < 100)
    return Spent * (100 - Run.Percent) / Run.Percent;
  Duration Estimate = Ref.Owner->Spec.Steps[Key.first.Step].Estimate;
  return std::max(Estimate - Spent, Estimate / 10);
}

void PoolScheduler::holdFor(const Candidate &Next, TimePoint Now) {
  HoldOwner = Next.Owner->Spec.Id;
  HoldPlannedAt = Now;
  std::vector<BusyWorker> Workers;
  std::vector<BusyWorker> Reserve;
  for (const auto &[Id, On] : Slots) {
    if (!eligible(On, Next, Now))
      continue;
    BusyWorker Busy;
    Busy.Room.Worker = &On.Info;
    Busy.Room.Free = On.Info.Capacity - On.Used;
    for (const auto &[Key, Run] : On.Runs)
      Busy.Ends.emplace_back(remaining(Key, Run, Now), Run.Room);
    (On.Kept ? Reserve : Workers).push_back(std::move(Busy));
  }
  PlacementRequest Request = requestFor(Next);
  Hold = GangHold::plan(Request, Workers);
  // A gang that needs nearly all workers can only start on the reserve too.
  HoldUsesReserve = !Hold;
  if (Hold)
    return;
  Workers.insert(Workers.end(), Reserve.begin(), Reserve.end());
  Hold = GangHold::plan(Request, std::move(Workers));
}

bool PoolScheduler::knownToFail(const std::vector<NoRoom> &Refusals,
                                const PlacementRequest &Request,
                                const Candidate &Next) {
  auto Least = [](const PlacementRequest &Of) {
    return Of.Whole ? Of.Count : 1;
  };
  return std::any_of(
      Refusals.begin(), Refusals.end(), [&](const NoRoom &Before) {
        const PlacementRequest &Failed = Before.Request;
        return Failed.PerTask.fitsIn(Request.PerTask) &&
               Least(Failed) <= Least(Request) && Failed.MaxPerWorker == 0 &&
               (Failed.MaySpan || !Failed.SameRack ||
                (Request.SameRack && !Request.MaySpan)) &&
               Before.Service == Next.Terms->Service &&
               (Before.Guaranteed || !Next.Guaranteed) &&
               (!Before.Careful || Next.careful()) &&
               (Before.Label.empty() ||
                Before.Label == Next.Step->RequiredLabel) &&
               Before.Estimate <= Next.Step->Estimate;
      });
}

PoolScheduler::NoRoom PoolScheduler::noRoomFor(const PlacementRequest &Request,
                                               const Candidate &Next) {
  return {Request, Next.Terms->Service, Next.Step->RequiredLabel,
          Next.Step->Estimate, Next.Guaranteed, Next.careful()};
}

bool PoolScheduler::isRisky(const Slot &On, const Candidate &For) const {
  return On.Unproven && !On.Failures.empty() && For.careful();
}

bool PoolScheduler::isReserved(const Slot &On, const Candidate &For,
                               TimePoint Now) const {
  return Now < On.ReservedUntil && On.ReservedFor != For.Owner->Spec.Id;
}

bool PoolScheduler::tryPlace(Candidate &Next, TimePoint Now, bool MaySpan) {
  const StepSpec &Step = *Next.Step;
  PlacementRequest Request = requestFor(Next);
  Request.MaySpan = MaySpan;
  // What the adviser allows differs between steps that are alike.
  if (!Next.Terms->Advice && knownToFail(Refusals, Request, Next))
    return false;
  gather(Next);
  Request.Count = requestFor(Next).Count;
  std::vector<WorkerRoom> Rooms = rooms(Next, Request, Now);
  std::vector<std::size_t> Found = placeTasks(Request, Rooms);
  if (Found.empty()) {
    if (!Next.Terms->Advice)
      Refusals.push_back(noRoomFor(Request, Next));
    return false;
  }
  std::vector<WorkerId> Chosen;
  Chosen.reserve(Found.size());
  for (std::size_t Room : Found)
    Chosen.push_back(Rooms[Room].Worker->Id);
  std::vector<TaskGroup *> Groups = Next.Groups;
  if (!Step.Gang)
    Groups.resize(Chosen.size());
  bool All = Groups.size() == Next.Groups.size();
  place(Next, Groups, Chosen, Now);
  Next.Groups.erase(Next.Groups.begin(),
                    Next.Groups.begin() +
                        static_cast<std::ptrdiff_t>(Groups.size()));
  return All;
}

double PoolScheduler::lossOf(const TaskGroup &Group, const Job &Owner,
                             TimePoint Now) {
  auto [Known, New] = Losses.emplace(&Group, 0.0);
  if (!New)
    return Known->second;
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  double &Loss = Known->second;
  for (std::uint32_t Member = 0; Member < Group.Members; ++Member) {
    const PlacedRun *Run = runOf(Owner, Group, Member);
    if (!Run)
      continue;
    // A checkpointing task loses only what it did since the last checkpoint,
    // and the time of its restart.
    Duration Spent = Step.Checkpoints ? std::chrono::milliseconds(500)
                                      : Now - Run->OrderedAt;
    Loss += coreSeconds(Step.PerTask, Spent);
  }
  return Loss;
}

double PoolScheduler::Victim::costForRoom() const {
  double Freed = coreSeconds(Room, std::chrono::seconds(1));
  return Loss / std::max(0.001, Freed) + Extra;
}

PoolScheduler::Offer PoolScheduler::offerOf(const Slot &On,
                                            const Candidate &For,
                                            TimePoint Now) {
  Offer Result;
  Result.Free = On.Info.Capacity - On.Used;
  for (const auto &[Key, Run] : On.Runs) {
    if (Run.StopWanted) {
      Result.Free += Run.Room;
      continue;
    }
    GroupRef Ref = find(Key.first);
    if (!Ref.Group || Ref.Owner->Spec.Steps[Key.first.Step].MayMiss != 0 ||
        !givesWay(*Ref.Owner, Run, For))
      continue;
    bool Urgent = Ref.Owner->Terms->Priority == 0;
    Result.Choices.push_back({Ref, Run.Room,
                              lossOf(*Ref.Group, *Ref.Owner, Now),
                              Urgent ? UrgentLoss : 0.0});
  }
  std::stable_sort(Result.Choices.begin(), Result.Choices.end(),
                   [](const Victim &Left, const Victim &Right) {
                     return Left.costForRoom() < Right.costForRoom();
                   });
  return Result;
}

PoolScheduler::Victims PoolScheduler::victimsOf(const Offer &Of,
                                                const Candidate &For,
                                                std::uint32_t Tasks) {
  Resources Free = Of.Free;
  Resources Wanted = For.Step->held() * static_cast<std::int32_t>(Tasks);
  Victims Result;
  for (const Victim &Next : Of.Choices) {
    if (Wanted.fitsIn(Free))
      break;
    Free += Next.Room;
    Result.Groups.push_back(Next.Ref);
    Result.Cost += Next.Loss + Next.Extra;
  }
  if (!Wanted.fitsIn(Free))
    Result.Cost = -1.0;
  return Result;
}

bool PoolScheduler::givesWay(const Job &Owner, const PlacedRun &Run,
                             const Candidate &For) const {
  if (Owner.Terms->Priority != 0)
    return true;
  return For.Guaranteed &&
         Guarantees->canReturn(Owner.Spec.Workspace, Run.Room.Accelerators);
}

void PoolScheduler::countGuarantees() {
  Guarantees.emplace(Configuration.Guarantees);
  for (const auto &[Id, Each] : Jobs) {
    if (isFinal(Each.Status) || Each.Terms->Priority != 0)
      continue;
    Guarantees->needs(Each.Spec);
    if (Each.Live == 0)
      continue;
    for (const TaskGroup &Group : Each.Progress.groups()) {
      if (Group.State == GroupState::Active) {
        Guarantees->holds(Each.Spec.Workspace,
                          Each.Spec.Steps[Group.Step].PerTask.Accelerators *
                              static_cast<std::int32_t>(Group.Members));
      }
    }
  }
}

bool PoolScheduler::reclaim(Candidate &Urgent, bool OneRack, TimePoint Now) {
  PlacementRequest Request = requestFor(Urgent);
  Request.MaySpan = !OneRack;
  if (!Urgent.Terms->Advice && knownToFail(NotReclaimed, Request, Urgent))
    return false;
  struct Unit {
    double Cost;
    WorkerId Worker;
    std::uint32_t Tasks;
  };
  std::map<RackId, std::vector<Unit>> Racks;
  std::uint32_t Count = Urgent.Step->Gang
                            ? Urgent.Step->Tasks
                            : static_cast<std::uint32_t>(Urgent.Groups.size());
  for (const auto &[Id, On] : Slots) {
    if (!eligible(On, Urgent, Now))
      continue;
    if (isReserved(On, Urgent, Now) || isRisky(On, Urgent))
      continue;
    std::vector<Unit> &Units = Racks[OneRack ? On.Info.Rack : RackId()];
    Offer Given = offerOf(On, Urgent, Now);
    double Before = 0.0;
    for (std::uint32_t Tasks = 1; Tasks <= Count; ++Tasks) {
      if (Urgent.Step->MaxPerWorker != 0 && Tasks > Urgent.Step->MaxPerWorker)
        break;
      Victims Needed = victimsOf(Given, Urgent, Tasks);
      if (Needed.Cost < 0.0)
        break;
      Units.push_back({std::max(0.0, Needed.Cost - Before), Id, Tasks});
      Before = std::max(Before, Needed.Cost);
    }
  }
  const std::vector<Unit> *Best = nullptr;
  double Least = 0.0;
  for (auto &[Rack, Units] : Racks) {
    if (Units.size() < Count)
      continue;
    std::stable_sort(Units.begin(), Units.end(),
                     [](const Unit &Left, const Unit &Right) {
                       return Left.Cost < Right.Cost;
                     });
    double Cost = 0.0;
    for (std::uint32_t At = 0; At < Count; ++At)
      Cost += Units[At].Cost;
    if (Best && Cost >= Least)
      continue;
    Best = &Units;
    Least = Cost;
  }
  if (!Best) {
    if (!Urgent.Terms->Advice)
      NotReclaimed.push_back(noRoomFor(Request, Urgent));
    return false;
  }
  std::map<WorkerId, std::uint32_t> Tasks;
  for (std::uint32_t At = 0; At < Count; ++At)
    ++Tasks[(*Best)[At].Worker];
  for (const auto &[Id, Number] : Tasks) {
    Slot &On = Slots.at(Id);
    Reserved.insert(Id);
    On.ReservedFor = Urgent.Owner->Spec.Id;
    On.ReservedUntil = Now + Limits.ReclaimTime;
    Offer Given = offerOf(On, Urgent, Now);
    for (GroupRef Ref : victimsOf(Given, Urgent, Number).Groups) {
      if (Ref.Owner->Terms->Priority == 0) {
        Guarantees->released(
            Ref.Owner->Spec.Workspace,
            Ref.Owner->Spec.Steps[Ref.Group->Step].PerTask.Accelerators *
                static_cast<std::int32_t>(Ref.Group->Members));
      }
      abort(*Ref.Owner, *Ref.Group, "reclaimed");
    }
  }
  Log.write(LogLevel::Notice, "job.reclaims",
            {{"job", jobName(Urgent.Owner->Spec.Id)},
             {"workers", Tasks.size()},
             {"loss_core_s", static_cast<std::int64_t>(Least)}});
  return true;
}

void PoolScheduler::keepReserve(TimePoint Now) {
  ReserveChosenAt = Now;
  std::vector<FreeWorker> Workers;
  std::int32_t Total = 0;
  for (const OpenRoom &Open : OpenRooms) {
    const Slot &On = *Open.On;
    Total += On.Info.Capacity.Accelerators;
    if (Open.Free.Accelerators > 0)
      Workers.push_back({&On.Info, Open.Free.Accelerators, On.Kept});
  }
  std::set<WorkerId> Chosen =
      UrgentReserve::choose(Workers, Reserve.wanted(Total, Now));
  for (auto &[Id, On] : Slots)
    On.Kept = Chosen.contains(Id);
}

void PoolScheduler::schedule(TimePoint Now, WallTime Wall) {
  std::set<JobId> Reclaiming;
  std::erase_if(Reserved, [&](const WorkerId &Id) {
    const Slot &On = Slots.at(Id);
    bool Over = Now >= On.ReservedUntil;
    if (!Over)
      Reclaiming.insert(On.ReservedFor);
    return Over;
  });
  Refusals.clear();
  NotReclaimed.clear();
  Question.reset();
  Losses.clear();
  if (OpenRooms.empty())
    openRooms();
  std::optional<GangHold> LastHold = std::exchange(Hold, std::nullopt);
  bool ReserveKnown = false;
  for (Candidate &Next : candidates(Wall)) {
    bool Urgent = Next.Terms->Priority == 0;
    // Urgent work comes first in the order; what it left is divided then.
    if (!Urgent && !std::exchange(ReserveKnown, true) &&
        Now - ReserveChosenAt >= Limits.ReserveInterval)
      keepReserve(Now);
    bool WantsRack = Next.Step->Gang && Next.Step->SameRack;
    bool Placed = tryPlace(Next, Now, !WantsRack);
    JobId Id = Next.Owner->Spec.Id;
    if (!Placed && Urgent && !Reclaiming.contains(Id))
      Placed = reclaim(Next, WantsRack, Now);
    if (!Placed && WantsRack && !Reclaiming.contains(Id)) {
      Placed = tryPlace(Next, Now, true);
      if (!Placed && Urgent)
        reclaim(Next, false, Now);
    }
    if (Next.Terms->Advice && !Next.Groups.empty() && !Question)
      needAdvice(Next, Now);
    if (Placed && Next.Groups.empty() && Reclaiming.contains(Id)) {
      for (const WorkerId &Other : Reserved) {
        Slot &On = Slots.at(Other);
        if (On.ReservedFor == Id)
          On.ReservedUntil = TimePoint();
      }
    }
    // Without a hold, small tasks would go on taking what a gang waits for. A
    // job that is too late to count waits for what is left.
    if (Placed || Urgent || Hold || !Next.Step->Gang || Next.Lateness == 2)
      continue;
    if (LastHold && HoldOwner == Id && Now - HoldPlannedAt < Limits.HoldPlan)
      Hold = LastHold;
    else
      holdFor(Next, Now);
  }
}

bool PoolScheduler::mayOrder(const Slot &On, const Job &Owner) const {
  return On.Listed && !On.Info.Draining && !isFinal(Owner.Status) &&
         !DomainsOut.contains(On.Info.Domain);
}

void PoolScheduler::orderStarts(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : Ordering) {
    Slot &On = Slots.at(Id);
    for (auto At = On.Runs.begin(); At != On.Runs.end();) {
      auto Current = At++;
      PlacedRun &Run = Current->second;
      if (Run.StopWanted || Run.OrderOut || Now < Run.NextOrder ||
          Run.Phase > RunPhase::Ordered)
        continue;
      const TaskKey &Task = Current->first.first;
      GroupRef Ref = find(Task);
      if (!Ref.Group || Ref.Owner->Committed < Run.PlannedVersion)
        continue;
      if (!mayOrder(On, *Ref.Owner)) {
        abort(*Ref.Owner, *Ref.Group, "worker_not_eligible");
        // Members on this worker may be gone; look at the rest next turn.
        break;
      }
      std::string Ticket;
      if (Ref.Owner->Terms->Advice) {
        const std::string *Held =
            Advice.ticket({Task.Job, Task.Occurrence, Task.Step}, On.Info, Now);
        if (!Held) {
          abort(*Ref.Owner, *Ref.Group, "ticket_over");
          break;
        }
        Ticket = *Held;
      }
      if (Run.Phase == RunPhase::Planned) {
        Run.Phase = RunPhase::Ordered;
        Run.OrderedAt = Now;
      }
      Run.OrderOut = true;
      Orders.Starts.push_back({Id, Task, Current->first.second,
                               Ref.Owner->Spec.Program, Ref.Group->Checkpoint,
                               std::move(Ticket)});
    }
  }
}

void PoolScheduler::orderStops(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : Ordering) {
    Slot &On = Slots.at(Id);
    for (auto &[Key, Run] : On.Runs) {
      if (!Run.StopWanted || Run.OrderOut || Run.StopConfirmedAt ||
          Now < Run.NextOrder || On.Info.Address.empty())
        continue;
      Run.OrderOut = true;
      Orders.Stops.push_back({Id, Key.first, Key.second});
    }
  }
}

void PoolScheduler::orderPaces(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : Filled) {
    Slot &On = Slots.at(Id);
    for (auto &[Key, Run] : On.Runs) {
      if (Run.PacePercent == On.Filling.percent() || Run.PaceOut ||
          Run.StopWanted || Run.Phase != RunPhase::Confirmed ||
          Now < Run.NextPace || On.Info.Address.empty())
        continue;
      GroupRef Ref = find(Key.first);
      if (!Ref.Group || !Ref.Owner->Spec.Steps[Key.first.Step].FillsIdle)
        continue;
      Run.PaceOut = true;
      Orders.Paces.push_back({Id, Key.first, Key.second, On.Filling.percent()});
    }
  }
}

bool PoolScheduler::idleFor(const Slot &On, const StepSpec &Filler) const {
  std::int64_t Idle = On.Info.Capacity.MilliCores - On.Used.MilliCores;
  for (const auto &Entry : On.Runs) {
    auto Owner = Jobs.find(Entry.first.first.Job);
    if (Owner == Jobs.end())
      continue;
    const StepSpec &Step = Owner->second.Spec.Steps[Entry.first.first.Step];
    if (Step.serves())
      return false;
    if (Step.FillsIdle)
      Idle -= Step.PerTask.MilliCores;
  }
  return Idle >= Filler.PerTask.MilliCores;
}

void PoolScheduler::giveUpGangs(TimePoint Now) {
  for (const WorkerId &Id : Ordering) {
    Slot &On = Slots.at(Id);
    for (auto At = On.Runs.begin(); At != On.Runs.end(); ++At) {
      const PlacedRun &Run = At->second;
      if (Run.Phase != RunPhase::Ordered || Run.StopWanted ||
          Now < Run.OrderedAt + Limits.GangStartLimit)
        continue;
      GroupRef Ref = find(At->first.first);
      if (!Ref.Group || Ref.Group->Members == 1)
        continue;
      abort(*Ref.Owner, *Ref.Group, "gang_incomplete");
    }
  }
}

void PoolScheduler::judgeWorkers(TimePoint Now) {
  std::vector<Slot *> Suspects;
  for (auto &[Id, On] : Slots) {
    bool Before = std::exchange(On.Suspect, false);
    bool Slow = On.Pace.slow(Now);
    bool Fails = On.Failures.size() >= FailuresToAvoid;
    if (Slow || Fails)
      Suspects.push_back(&On);
    if ((Slow || Fails) && !Before) {
      Log.write(LogLevel::Change, "worker.suspect",
                {{"worker", Id.str()},
                 {"reason", Slow ? "slow" : "failing"},
                 {"failed_jobs", On.Failures.size()}});
    }
  }
  if (Suspects.size() * MostSuspects > Slots.size())
    return;
  for (Slot *On : Suspects)
    On->Suspect = true;
}

void PoolScheduler::abortTasks(const std::vector<TaskKey> &Tasks,
                               std::string_view Why) {
  for (const TaskKey &Task : Tasks) {
    GroupRef Ref = find(Task);
    if (Ref.Group)
      abort(*Ref.Owner, *Ref.Group, Why);
  }
}

void PoolScheduler::moveFromSlow(TimePoint Now) {
  for (auto &[Id, On] : Slots) {
    if (!On.Suspect || !On.Pace.slow(Now))
      continue;
    std::vector<TaskKey> Moved;
    for (const auto &[Key, Run] : On.Runs) {
      GroupRef Ref = find(Key.first);
      if (Run.StopWanted || Run.Phase != RunPhase::Confirmed || !Ref.Group ||
          Run.BestPace <= 0.0)
        continue;
      const StepSpec &Step = Ref.Owner->Spec.Steps[Key.first.Step];
      double Done = std::min(1.0, Run.Percent / 100.0);
      double Kept = Step.Checkpoints ? Done : 0.0;
      if (Step.MayMiss == 0 && !Step.LongRunning &&
          On.Pace.worthMoving(
              Done, Kept, scaled(std::chrono::seconds(100), 1 / Run.BestPace)))
        Moved.push_back(Key.first);
    }
    abortTasks(Moved, "worker_slow");
  }
}

void PoolScheduler::leaveDraining(TimePoint Now) {
  for (auto &[Id, On] : Slots) {
    if (On.LeavesAt == TimePoint::max() || On.Silent)
      continue;
    Duration Left = On.LeavesAt - Now - Limits.StopTime;
    std::vector<TaskKey> Leaving;
    for (const auto &[Key, Run] : On.Runs) {
      if (!Run.StopWanted && Run.Phase == RunPhase::Confirmed &&
          remaining(Key, Run, Now) > Left)
        Leaving.push_back(Key.first);
    }
    abortTasks(Leaving, "worker_leaves");
  }
}

bool PoolScheduler::mayBeAway(const Job &Owner, const TaskGroup &Group) const {
  const StepSpec &Step = Owner.Spec.Steps[Group.Step];
  if (!Step.LongRunning || Step.MayMiss == 0)
    return true;
  std::uint32_t Away = 0;
  for (const TaskGroup &Other : Owner.Progress.groups()) {
    if (Other.Step != Group.Step || Other.Occurrence != Group.Occurrence)
      continue;
    const PlacedRun *Run =
        Other.State == GroupState::Active ? runOf(Owner, Other, 0) : nullptr;
    bool AtWork = Run && !Run->StopWanted && Run->Percent == 100;
    Away += AtWork ? 0 : 1;
  }
  return Away < Step.MayMiss;
}

void PoolScheduler::leavePressed() {
  for (const WorkerId &Id : LeavingWorkers) {
    auto Found = Slots.find(Id);
    if (Found == Slots.end())
      continue;
    std::vector<TaskKey> Leaving;
    for (const auto &[Key, Run] : Found->second.Runs) {
      GroupRef Ref = find(Key.first);
      if (Run.StopWanted || !Ref.Group)
        continue;
      // A long-running task would never end by itself.
      bool Lasts = Ref.Owner->Spec.Steps[Key.first.Step].LongRunning;
      if (Lasts || PressedWorkers.contains(Id))
        Leaving.push_back(Key.first);
    }
    for (const TaskKey &Task : Leaving) {
      GroupRef Ref = find(Task);
      if (Ref.Group && mayBeAway(*Ref.Owner, *Ref.Group))
        abort(*Ref.Owner, *Ref.Group, "maintenance");
    }
  }
}

void PoolScheduler::forgetWorkers() {
  std::erase_if(Slots, [this](const auto &Entry) {
    const auto &[Id, On] = Entry;
    bool Gone = !On.Listed && On.Runs.empty() && On.OpenEnds.empty();
    if (Gone)
      forgetWorker(Id);
    return Gone;
  });
}

void PoolScheduler::forgetWorker(const WorkerId &Id) {
  for (std::set<WorkerId> *Noted : {&Ordering, &Filled, &Ending, &Reserved, &Renewals})
    Noted->erase(Id);
  closeRooms();
}

void PoolScheduler::dropIdle() {
  std::erase_if(Ordering, [this](const WorkerId &Id) {
    const RunTable &Runs = Slots.at(Id).Runs;
    return std::none_of(Runs.begin(), Runs.end(), [](const auto &Entry) {
      const PlacedRun &Run = Entry.second;
      return Run.StopWanted || Run.Phase <= RunPhase::Ordered;
    });
  });
  std::erase_if(Filled,
                [this](const WorkerId &Id) { return Slots.at(Id).Runs.empty(); });
}

PoolOrders PoolScheduler::pass(TimePoint Now, WallTime Wall) {
  giveUpGangs(Now);
  if (std::exchange(JudgeSoon, false) ||
      Now - JudgedAt >= Limits.JudgeInterval) {
    JudgedAt = Now;
    forgetWorkers();
    for (auto &[Id, On] : Slots) {
      std::erase_if(On.Failures, [Now](const auto &Entry) {
        return Now - Entry.second > FailureMemory;
      });
    }
    leaveDraining(Now);
    leavePressed();
    judgeWorkers(Now);
    moveFromSlow(Now);
    closeRooms();
  }
  schedule(Now, Wall);
  PoolOrders Orders;
  orderStarts(Orders, Now);
  orderStops(Orders, Now);
  orderPaces(Orders, Now);
  dropIdle();
  return Orders;
}

PoolLoad PoolScheduler::load(TimePoint Now) {
  std::map<ServiceId, Resources> Usable;
  std::map<ServiceId, Resources> Urgent;
  for (const auto &[Id, On] : Slots) {
    if (!On.Listed || On.Info.Draining || DomainsOut.contains(On.Info.Domain))
      continue;
    Usable[On.Info.Service] += On.Info.Capacity;
    for (const auto &[Key, Run] : On.Runs) {
      GroupRef Ref = find(Key.first);
      if (Ref.Group && Ref.Owner->Terms->Priority == 0)
        Urgent[On.Info.Service] += Run.Room;
    }
  }
  PoolLoad Result;
  for (const auto &[Service, Whole] : Usable)
    Result.Services[Service].UrgentShare =
        dominantShare(Urgent[Service], Whole);
  for (auto &[Id, Each] : Jobs) {
    if (isFinal(Each.Status) || Each.Spec.scheduled())
      continue;
    const QueueTerms &Terms = *Each.Terms;
    auto Whole = Usable.find(Terms.Service);
    if (Whole == Usable.end())
      continue;
    Duration Work{};
    for (const TaskGroup &Group : Each.Progress.groups()) {
      const StepSpec &Step = Each.Spec.Steps[Group.Step];
      if (Group.State == GroupState::Done || Step.LongRunning || Step.FillsIdle)
        continue;
      const PlacedRun *Run =
          Group.State == GroupState::Active ? runOf(Each, Group, 0) : nullptr;
      Duration Left = Run ? remaining({Group.task(Id, 0), Group.Run}, *Run, Now)
                          : Step.Estimate;
      Work += scaled(Left,
                     dominantShare(Step.held(), Whole->second) * Group.Members);
    }
    Result.Services[Terms.Service].Work[Terms.Priority] += Work;
  }
  return Result;
}

} // namespace banyanworks::pool
