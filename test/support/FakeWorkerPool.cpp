/// \file
/// Implements FakeWorkerPool and WorkerSession.
#include "support/FakeWorkerPool.h"

#include "pool/JobName.h"
#include "support/VirtualTimers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace banyanworks::testing {

using namespace pool;

namespace {

constexpr Duration AnswerTimeout = std::chrono::milliseconds(800);
constexpr Duration PollInterval = std::chrono::milliseconds(5);
/// Time after which the owner knows of a run that a report has listed.
constexpr Duration KnownAfter = std::chrono::seconds(1);
constexpr Duration LeaseEndMargin = std::chrono::milliseconds(100);

} // namespace

void FakeWorkerPool::add(const PoolWorker &Info) {
  Workers[Info.Id].Info = Info;
  Workers[Info.Id].Info.WorkerIncarnation =
      Incarnation(Workers[Info.Id].IncarnationNumber);
  Workers[Info.Id].LeaseUntil = Clock.now();
}

std::vector<WorkerId> FakeWorkerPool::ids() const {
  std::vector<WorkerId> Result;
  for (const auto &Entry : Workers)
    Result.push_back(Entry.first);
  return Result;
}

std::size_t FakeWorkerPool::running() const {
  std::size_t Sum = 0;
  for (const auto &[Id, State] : Workers)
    Sum += State.Up ? State.Runs.size() : 0;
  return Sum;
}

void FakeWorkerPool::visitRunning(
    const std::function<void(const TaskKey &)> &Visit) const {
  for (const auto &[Id, State] : Workers) {
    if (!State.Up)
      continue;
    for (const auto &Entry : State.Runs)
      Visit(Entry.first.first);
  }
}

std::size_t FakeWorkerPool::startsIn(const DomainId &Domain,
                                     TimePoint StartTime) const {
  return static_cast<std::size_t>(std::count_if(
      StartTimes.begin(), StartTimes.end(), [&](const auto &Entry) {
        return Entry.first >= StartTime && Entry.second == Domain;
      }));
}

FakeWorkerPool::GangKey FakeWorkerPool::gangOf(const RunKey &Key) {
  TaskKey First = Key.first;
  First.Index = 0;
  return {First, Key.second};
}

void FakeWorkerPool::recordViolation(const std::string &Description,
                                     const RunKey &Key) {
  Violations.push_back(
      Description + " " + taskName(Key.first) + " run " +
      std::to_string(Key.second.value()) + " at second " +
      std::to_string(toSeconds(Clock.now().time_since_epoch())));
}

void FakeWorkerPool::crash(const WorkerId &Id) {
  Worker &State = Workers.at(Id);
  State.Up = false;
  std::vector<RunKey> LostRuns;
  for (const auto &Entry : State.Runs)
    LostRuns.push_back(Entry.first);
  State.Runs.clear();
  State.Advancing.clear();
  State.Stopping.clear();
  State.Paces.clear();
  State.Ended.clear();
  State.OfEarlierOrders.clear();
  State.EndsOfEarlierOrders.clear();
  State.ListedOfEarlierOrders.clear();
  State.HighestEnded.clear();
  State.Allocated = Resources();
  State.Token = Epoch();
  State.LastEndSequence = 0;
  for (const RunKey &Key : LostRuns)
    breakGang(Key);
}

void FakeWorkerPool::restart(const WorkerId &Id) {
  Worker &State = Workers.at(Id);
  State.Up = true;
  State.Info.WorkerIncarnation = Incarnation(++State.IncarnationNumber);
}

void FakeWorkerPool::resize(const WorkerId &Id, const Resources &Capacity) {
  Worker &State = Workers.at(Id);
  State.FormerCapacities.emplace_back(Clock.now(), State.Info.Capacity);
  State.Info.Capacity = Capacity;
}

void FakeWorkerPool::replace(const WorkerId &Old, const WorkerId &NewId) {
  Workers.at(Old).Replaced = true;
  PoolWorker Info = Workers.at(Old).Info;
  Info.Id = NewId;
  add(Info);
}

void FakeWorkerPool::crashForAWhile(const WorkerId &Id) {
  crash(Id);
  Clock.scheduleAfter(RestartTime, [this, Id] {
    if (ComesBack)
      ComesBack(Id);
    else
      restart(Id);
  });
}

void FakeWorkerPool::crashLater(const WorkerId &Id, const RunKey &Key,
                                Duration Delay) {
  Clock.scheduleAfter(Delay, [this, Id, Key, Crashing = incarnation(Id)] {
    const Worker &State = Workers.at(Id);
    if (!State.Up || State.IncarnationNumber != Crashing ||
        !State.Runs.contains(Key))
      return;
    crashForAWhile(Id);
  });
}

OrderResult FakeWorkerPool::startLate(const StartOrder &Order, Epoch Token,
                                      TimePoint LeaseUntil, TimePoint SentAt,
                                      std::uint64_t SentTo) {
  Worker &State = Workers.at(Order.Worker);
  RunKey Key(Order.Task, Order.Run);
  if (SentTo == State.IncarnationNumber || State.Runs.contains(Key))
    return start(Order, Token, LeaseUntil, SentAt);
  State.OfEarlierOrders.insert(Key);
  OrderResult Result = start(Order, Token, Clock.now() + MaxLease, SentAt);
  if (!State.Runs.contains(Key))
    State.OfEarlierOrders.erase(Key);
  return Result;
}

OrderResult FakeWorkerPool::start(const StartOrder &Order, Epoch Token,
                                  TimePoint LeaseUntil, TimePoint SentAt) {
  Worker &State = Workers.at(Order.Worker);
  if (!State.Up)
    return resultOfAbsent(State);
  if (Token < State.Token)
    return OrderResult::Fenced;
  State.Token = Token;
  RunKey Key(Order.Task, Order.Run);
  if (State.Runs.contains(Key))
    return OrderResult::Done;
  auto LastEnded = State.HighestEnded.find(Order.Task);
  if (LastEnded != State.HighestEnded.end() && Order.Run <= LastEnded->second)
    return OrderResult::Superseded;
  if (LeaseUntil <= Clock.now())
    return OrderResult::Expired;
  if (AcceptsTicket && !AcceptsTicket(Order)) {
    ++TicketsRefused;
    return OrderResult::NoTicket;
  }
  extendLease(State, LeaseUntil);
  TaskBehaviour Task = Behaviour(Order.Task);
  // A run that no owner can prevent takes room that the owner counts as free.
  if (!State.OfEarlierOrders.empty() &&
      !(State.Allocated + Task.Allocated).fitsIn(State.Info.Capacity))
    return OrderResult::NoCapacity;
  bool Preventable = !State.OfEarlierOrders.contains(Key);
  for (const auto &[Id, Other] : Workers) {
    for (const auto &Entry : Other.Runs) {
      auto Listed = Other.ListedOfEarlierOrders.find(Entry.first);
      bool Unknown = Other.OfEarlierOrders.contains(Entry.first) &&
                     (Listed == Other.ListedOfEarlierOrders.end() ||
                      SentAt < Listed->second + KnownAfter);
      if (Other.Up && Entry.first.first == Order.Task && Preventable &&
          !Unknown)
        recordViolation("task runs twice at the same time:", Key);
    }
  }
  if (Preventable && AcknowledgedDone.contains(Order.Task))
    recordViolation("task started after its end was acknowledged:", Key);
  State.Allocated += Task.Allocated;
  bool FitFormerly =
      std::any_of(State.FormerCapacities.begin(), State.FormerCapacities.end(),
                  [&](const auto &Former) {
                    return Clock.now() - Former.first < ShrinkGrace &&
                           State.Allocated.fitsIn(Former.second);
                  });
  if (!State.Allocated.fitsIn(State.Info.Capacity) && !FitFormerly)
    recordViolation("worker capacity exceeded by", Key);
  State.Runs[Key] = ++LastChangeNumber;
  ++Starts;
  StartedTasks.push_back(Order.Task);
  FirstStarts.emplace(Order.Task.Job, Clock.now());
  StartTimes.emplace_back(Clock.now(), State.Info.Domain);
  if (Started)
    Started(Order.Task, SentAt);
  if (Task.CrashesBeforeAnswer) {
    crashForAWhile(Order.Worker);
    return OrderResult::NoAnswer;
  }
  scheduleLeaseExpiry(Order.Worker);
  if (Task.CrashesAfter > Duration::zero())
    crashLater(Order.Worker, Key, Task.CrashesAfter);
  if (Task.GangSize > 0)
    joinGang(Order.Worker, Key, Task);
  else
    advance(Order.Worker, Key,
            scaled(Task.RunTime, 1.0 / speedOf(Order.Worker)));
  return OrderResult::Done;
}

void FakeWorkerPool::advance(const WorkerId &Id, const RunKey &Key,
                             Duration RunTime) {
  Workers.at(Id).Advancing[Key] = {Clock.now(), RunTime};
  scheduleEnd(Id, Key, RunTime,
              Behaviour(Key.first).Fails ? RunEnd::Failed : RunEnd::Done);
}

double FakeWorkerPool::speedOf(const WorkerId &Id) const {
  auto Found = Speeds.find(Id);
  return Found == Speeds.end() ? 1.0 : Found->second;
}

std::uint32_t FakeWorkerPool::percentOf(const Worker &State,
                                        const RunKey &Key) const {
  auto Found = State.Advancing.find(Key);
  if (!ReportsProgress || Found == State.Advancing.end())
    return 0;
  const auto &[StartedAt, RunTime] = Found->second;
  return static_cast<std::uint32_t>(std::min(
      100.0, 100.0 * toSeconds(Clock.now() - StartedAt) / toSeconds(RunTime)));
}

void FakeWorkerPool::extendLease(Worker &State, TimePoint Until) {
  if (State.LeaseUntil < Clock.now())
    State.LeaseExpiredAt = State.LeaseUntil;
  State.LeaseUntil =
      std::max(State.LeaseUntil, std::min(Until, Clock.now() + MaxLease));
}

void FakeWorkerPool::joinGang(const WorkerId &Id, const RunKey &Key,
                              const TaskBehaviour &Task) {
  Gang &Joined = Gangs[gangOf(Key)];
  Joined.Present.insert(Key.first.Index);
  if (Joined.Present.size() < Task.GangSize) {
    std::uint64_t Number = Workers.at(Id).Runs.at(Key);
    Clock.scheduleAfter(GangTimeout, [this, Id, Key, Number] {
      Worker &State = Workers.at(Id);
      auto Found = State.Runs.find(Key);
      if (Found == State.Runs.end() || Found->second != Number ||
          Gangs[gangOf(Key)].Working)
        return;
      ++GangTimeouts;
      endRun(State, Key, RunEnd::GangAlone);
    });
    return;
  }
  Joined.Working = true;
  double Slowest = speedOf(Id);
  for (const auto &[Other, State] : Workers) {
    for (const auto &Entry : State.Runs)
      if (gangOf(Entry.first) == gangOf(Key))
        Slowest = std::min(Slowest, speedOf(Other));
  }
  for (auto &[Other, State] : Workers) {
    for (const auto &Entry : State.Runs)
      if (gangOf(Entry.first) == gangOf(Key))
        advance(Other, Entry.first, scaled(Task.RunTime, 1.0 / Slowest));
  }
}

void FakeWorkerPool::breakGang(const RunKey &Key) {
  if (Behaviour(Key.first).GangSize == 0)
    return;
  Gangs[gangOf(Key)].Working = false;
  for (auto &[Id, State] : Workers) {
    std::vector<RunKey> Broken;
    for (const auto &Entry : State.Runs)
      if (gangOf(Entry.first) == gangOf(Key))
        Broken.push_back(Entry.first);
    for (const RunKey &Other : Broken)
      scheduleEnd(Id, Other, Duration::zero(), RunEnd::GangBroken);
  }
}

void FakeWorkerPool::scheduleEnd(const WorkerId &Id, const RunKey &Key,
                                 Duration Delay, RunEnd Outcome) {
  Worker &State = Workers.at(Id);
  std::uint64_t Number = ++LastChangeNumber;
  State.Runs.at(Key) = Number;
  Clock.scheduleAfter(Delay, [this, Id, Key, Number, Outcome] {
    Worker &Current = Workers.at(Id);
    auto Found = Current.Runs.find(Key);
    if (Found != Current.Runs.end() && Found->second == Number)
      endRun(Current, Key, Outcome);
  });
}

void FakeWorkerPool::endRun(Worker &State, const RunKey &Key, RunEnd Outcome) {
  State.Runs.erase(Key);
  State.Advancing.erase(Key);
  State.Stopping.erase(Key);
  bool OfEarlierOrder = State.OfEarlierOrders.erase(Key) > 0;
  State.Allocated -= Behaviour(Key.first).Allocated;
  RunNumber &HighestRun = State.HighestEnded[Key.first];
  HighestRun = std::max(HighestRun, Key.second);
  State.Ended.push_back(
      {++State.LastEndSequence, Key.first, Key.second, Outcome, ""});
  State.EndedAt[State.LastEndSequence] = Clock.now();
  if (OfEarlierOrder)
    State.EndsOfEarlierOrders.insert(State.LastEndSequence);
  if (Outcome != RunEnd::Done)
    breakGang(Key);
}

void FakeWorkerPool::scheduleLeaseExpiry(const WorkerId &Id) {
  Clock.scheduleAt(Workers.at(Id).LeaseUntil, [this, Id] {
    Worker &State = Workers.at(Id);
    if (State.Runs.empty())
      return;
    if (State.LeaseUntil > Clock.now()) {
      scheduleLeaseExpiry(Id);
      return;
    }
    while (!State.Runs.empty())
      endRun(State, State.Runs.begin()->first, RunEnd::LeaseLapsed);
  });
}

OrderResult FakeWorkerPool::stop(const StopOrder &Order, Epoch Token) {
  Worker &State = Workers.at(Order.Worker);
  if (!State.Up)
    return resultOfAbsent(State);
  if (Token < State.Token)
    return OrderResult::Fenced;
  State.Token = Token;
  RunNumber &HighestRun = State.HighestEnded[Order.Task];
  HighestRun = std::max(HighestRun, Order.Run);
  RunKey Key(Order.Task, Order.Run);
  if (State.Runs.contains(Key) && State.Stopping.insert(Key).second)
    scheduleEnd(Order.Worker, Key, StopTime, RunEnd::Stopped);
  return OrderResult::Done;
}

OrderResult FakeWorkerPool::pace(const PaceOrder &Order, Epoch Token) {
  Worker &State = Workers.at(Order.Worker);
  if (!State.Up)
    return resultOfAbsent(State);
  if (Token < State.Token)
    return OrderResult::Fenced;
  RunKey Key(Order.Task, Order.Run);
  if (!State.Runs.contains(Key))
    return OrderResult::Superseded;
  State.Paces[Key] = Order.Percent;
  return OrderResult::Done;
}

Duration FakeWorkerPool::tailLatency(const WorkerId &Id,
                                     const RunKey &Key) const {
  Duration Undisturbed = Behaviour(Key.first).TailLatency;
  double Factor = 1.0;
  const Worker &State = Workers.at(Id);
  for (const auto &Entry : State.Runs) {
    auto Pace = State.Paces.find(Entry.first);
    double Share = Pace == State.Paces.end() ? 1.0 : Pace->second / 100.0;
    Factor += Share * Behaviour(Entry.first.first).Interference;
  }
  return scaled(Undisturbed, Factor);
}

Duration FakeWorkerPool::worstTailLatency(const WorkerId &Id) const {
  Duration Worst{};
  for (const auto &Entry : Workers.at(Id).Runs)
    Worst = std::max(Worst, tailLatency(Id, Entry.first));
  return Worst;
}

std::optional<WorkerId> FakeWorkerPool::holderOf(const TaskKey &Task) const {
  for (const auto &[Id, State] : Workers) {
    for (const auto &Entry : State.Runs)
      if (Entry.first.first == Task)
        return Id;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> FakeWorkerPool::paceOf(const TaskKey &Task) const {
  for (const auto &[Id, State] : Workers) {
    for (const auto &Entry : State.Runs) {
      if (Entry.first.first != Task)
        continue;
      auto Pace = State.Paces.find(Entry.first);
      return Pace == State.Paces.end() ? 100 : Pace->second;
    }
  }
  return std::nullopt;
}

WorkerReport FakeWorkerPool::renew(const WorkerId &Id, Epoch Token,
                                   std::uint64_t Acknowledged,
                                   TimePoint LeaseUntil) {
  WorkerReport Report;
  Worker &State = Workers.at(Id);
  if (!State.Up) {
    Report.Result = resultOfAbsent(State);
    return Report;
  }
  if (Token < State.Token) {
    Report.Result = OrderResult::Fenced;
    return Report;
  }
  State.Token = Token;
  extendLease(State, LeaseUntil);
  std::erase_if(State.Ended, [&](const ReportedEnd &End) {
    if (End.Sequence > Acknowledged)
      return false;
    // An end does not count if the lease expired before the end was
    // acknowledged.
    if (End.Outcome == RunEnd::Done &&
        !State.EndsOfEarlierOrders.contains(End.Sequence) &&
        State.EndedAt[End.Sequence] > State.LeaseExpiredAt)
      AcknowledgedDone.insert(End.Task);
    return true;
  });
  Report.Result = OrderResult::Done;
  Report.WorkerIncarnation = Incarnation(State.IncarnationNumber);
  Report.MadeAt = WorkerTime(Clock.now().time_since_epoch());
  Report.Ended = State.Ended;
  Report.Ended.resize(std::min(Report.Ended.size(), MaxListedEnds));
  Report.EndsTruncated = Report.Ended.size() >= MaxListedEnds;
  for (const auto &Entry : State.Runs) {
    if (State.OfEarlierOrders.contains(Entry.first))
      State.ListedOfEarlierOrders.try_emplace(Entry.first, Clock.now());
    Report.Running.push_back(
        {Entry.first.first, Entry.first.second, "",
         percentOf(State, Entry.first),
         static_cast<std::uint32_t>(toSeconds(tailLatency(Id, Entry.first)) *
                                    1000)});
  }
  return Report;
}

TimePoint WorkerSession::grant(const WorkerId &Id) {
  TimePoint Until =
      std::min(LeasesEndBy, Timers.now() + FakeWorkerPool::MaxLease);
  Granted[Id] = std::max(Granted[Id], Until);
  return Until;
}

TimePoint WorkerSession::leasesEndBy(const WorkerId &Worker) const {
  auto Found = Granted.find(Worker);
  return Found == Granted.end() ? TimePoint() : Found->second + LeaseEndMargin;
}

void WorkerSession::sendOrder(const WorkerId &Id,
                              const std::function<OrderResult()> &Work,
                              const std::function<OrderResult()> &LateWork,
                              const std::function<void(OrderResult)> &Done) {
  auto TimeOut = [this, &Done] {
    Timers.schedule(AnswerTimeout, [Done] { Done(OrderResult::NoAnswer); });
  };
  if (Faults.Unresponsive.contains(Id)) {
    TimeOut();
    return;
  }
  if (Faults.Unheard.contains(Id)) {
    Clock.scheduleAfter(Faults.Latency, [Work] { Work(); });
    TimeOut();
    return;
  }
  if (Generator.withProbability(Faults.LateOrderRate)) {
    // An order that the worker has received is lost if its process restarts;
    // one that is still in transit is not.
    Clock.scheduleAfter(Faults.LateOrderDelay,
                        [this, Id, Work, LateWork,
                         Outlives = Faults.LateOrdersOutliveRestarts,
                         SentTo = Pool.incarnation(Id)] {
                          if (Pool.incarnation(Id) == SentTo)
                            Work();
                          else if (Outlives)
                            LateWork();
                        });
    TimeOut();
    return;
  }
  auto Answer = std::make_shared<OrderResult>(OrderResult::NoAnswer);
  Clock.scheduleAfter(Faults.Latency, [Answer, Work] { *Answer = Work(); });
  Timers.schedule(Faults.Latency * 2, [Answer, Done] { Done(*Answer); });
}

void WorkerSession::start(const PoolWorker &Worker, const StartOrder &Order,
                          std::function<void(OrderResult)> Done) {
  TimePoint Until = grant(Worker.Id);
  TimePoint SentAt = Clock.now();
  sendOrder(
      Worker.Id,
      [this, Order, Until, Token = Token, SentAt] {
        return Pool.start(Order, Token, Until, SentAt);
      },
      [this, Order, Until, Token = Token, SentAt,
       SentTo = Pool.incarnation(Worker.Id)] {
        return Pool.startLate(Order, Token, Until, SentAt, SentTo);
      },
      Done);
}

void WorkerSession::pace(const PoolWorker &Worker, const PaceOrder &Order,
                         std::function<void(OrderResult)> Done) {
  auto Work = [this, Order, Token = Token] { return Pool.pace(Order, Token); };
  sendOrder(Worker.Id, Work, Work, Done);
}

void WorkerSession::stop(const PoolWorker &Worker, const StopOrder &Order,
                         std::function<void(OrderResult)> Done) {
  auto Work = [this, Order, Token = Token] { return Pool.stop(Order, Token); };
  sendOrder(Worker.Id, Work, Work, Done);
}

void WorkerSession::waitForEnd(const WorkerId &Id, TimePoint Until,
                               std::uint64_t StartedIncarnation,
                               std::function<void()> Answer) {
  if (Timers.incarnation() != StartedIncarnation)
    return;
  if (Clock.now() >= Until || Pool.hasEnds(Id)) {
    Answer();
    return;
  }
  Clock.scheduleAfter(PollInterval, [this, Id, Until, StartedIncarnation,
                                     Answer = std::move(Answer)] {
    waitForEnd(Id, Until, StartedIncarnation, Answer);
  });
}

void WorkerSession::renew(const PoolWorker &Worker, const RenewOrder &Order,
                          std::function<void(WorkerReport)> Done) {
  WorkerId Id = Worker.Id;
  if (Faults.Unresponsive.contains(Id)) {
    Timers.schedule(Order.MaxWait + Order.Timeout,
                    [Done] { Done(WorkerReport()); });
    return;
  }
  TimePoint Until = Order.ExtendLease ? grant(Id) : TimePoint();
  // The lease is extended and acknowledged ends are removed when the order
  // arrives.
  auto First = std::make_shared<WorkerReport>();
  Clock.scheduleAfter(
      Faults.Latency, [this, Id, Order, Until, Token = Token, First] {
        *First = Pool.renew(Id, Token, Order.Acknowledged, Until);
      });
  std::uint64_t StartedIncarnation = Timers.incarnation();
  Clock.scheduleAfter(
      Faults.Latency, [this, Id, Order, Done, First, StartedIncarnation] {
        auto Answer = [this, Id, Order, Done, First] {
          if (Faults.Unresponsive.contains(Id) || Faults.Unheard.contains(Id))
            *First = WorkerReport();
          else if (First->Result == OrderResult::Done)
            *First = Pool.renew(Id, Token, Order.Acknowledged, TimePoint());
          Timers.schedule(Faults.Latency, [Done, First] { Done(*First); });
        };
        waitForEnd(Id, Clock.now() + Order.MaxWait, StartedIncarnation, Answer);
      });
}

} // namespace banyanworks::testing
