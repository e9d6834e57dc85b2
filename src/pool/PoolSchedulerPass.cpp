/// \file
/// Implements the turn of a PoolScheduler: whose tasks are placed next, and
/// where.
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

/// Failures older than this say nothing about a worker any more.
constexpr Duration FailureMemory = std::chrono::seconds(10);
/// A long-running task does not make room within any span that is planned.
constexpr Duration LastsOn = std::chrono::hours(1);

/// Whether a group may be placed once its turn has come.
bool isWaiting(const TaskGroup &Group) {
  return Group.State == GroupState::Waiting && Group.Live == 0;
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
  for (TaskGroup &Group :
       Next.Owner->Progress.groupsOf(Next.First->Occurrence, Next.First->Step))
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
                                         Of.Terms->Priority, Of.LatestStart);
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

std::vector<WorkerRoom> PoolScheduler::rooms(const Candidate &For,
                                             const PlacementRequest &Request,
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
  Request.Count = Step.Gang
                      ? Step.Tasks
                      : std::max<std::uint32_t>(
                            1, static_cast<std::uint32_t>(Next.Groups.size()));
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
  return {Request,
          Next.Terms->Service,
          Next.Step->RequiredLabel,
          Next.Step->Estimate,
          Next.Guaranteed,
          Next.careful()};
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
    // What is known to find no room was not listed.
    if (!Placed && Next.Groups.empty() && (Urgent || Next.Terms->Advice))
      gather(Next);
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

} // namespace banyanworks::pool
