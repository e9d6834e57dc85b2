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
constexpr Duration PollStep = std::chrono::milliseconds(5);
constexpr Duration LapseSlack = std::chrono::milliseconds(100);

} // namespace

void FakeWorkerPool::add(const PoolWorker &Info) {
  Workers[Info.Id].Info = Info;
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
  for (const auto &[Id, On] : Workers)
    Sum += On.Up ? On.Runs.size() : 0;
  return Sum;
}

std::size_t FakeWorkerPool::startsIn(const DomainId &Domain,
                                     TimePoint Since) const {
  return static_cast<std::size_t>(std::count_if(
      StartTimes.begin(), StartTimes.end(), [&](const auto &Entry) {
        return Entry.first >= Since && Entry.second == Domain;
      }));
}

FakeWorkerPool::GangKey FakeWorkerPool::gangOf(const RunKey &Key) {
  TaskKey First = Key.first;
  First.Index = 0;
  return {First, Key.second};
}

void FakeWorkerPool::violated(const std::string &What, const RunKey &Key) {
  Violations.push_back(
      What + " " + taskName(Key.first) + " run " +
      std::to_string(Key.second.value()) + " at " +
      std::to_string(toSeconds(Clock.now().time_since_epoch())));
}

void FakeWorkerPool::crash(const WorkerId &Id) {
  Worker &On = Workers.at(Id);
  On.Up = false;
  std::vector<RunKey> Lost;
  for (const auto &Entry : On.Runs)
    Lost.push_back(Entry.first);
  On.Runs.clear();
  On.Stopping.clear();
  On.Paces.clear();
  On.Ended.clear();
  On.HighestOver.clear();
  On.Used = Resources();
  On.Token = Epoch();
  On.LastEnd = 0;
  for (const RunKey &Key : Lost)
    breakGang(Key);
}

void FakeWorkerPool::restart(const WorkerId &Id) {
  Worker &On = Workers.at(Id);
  On.Up = true;
  ++On.Life;
}

OrderResult FakeWorkerPool::start(const StartOrder &Order, Epoch Token,
                                  TimePoint LeaseUntil) {
  Worker &On = Workers.at(Order.Worker);
  if (!On.Up)
    return OrderResult::NoAnswer;
  if (Token < On.Token)
    return OrderResult::Fenced;
  On.Token = Token;
  RunKey Key(Order.Task, Order.Run);
  if (On.Runs.contains(Key))
    return OrderResult::Done;
  auto Over = On.HighestOver.find(Order.Task);
  if (Over != On.HighestOver.end() && Order.Run <= Over->second)
    return OrderResult::Superseded;
  if (LeaseUntil <= Clock.now())
    return OrderResult::Expired;
  if (AcceptsTicket && !AcceptsTicket(Order)) {
    ++TicketsRefused;
    return OrderResult::NoTicket;
  }
  extendLease(On, LeaseUntil);
  for (const auto &[Id, Other] : Workers) {
    for (const auto &Entry : Other.Runs)
      if (Other.Up && Entry.first.first == Order.Task)
        violated("two runs at once:", Key);
  }
  if (NotedDone.contains(Order.Task))
    violated("a run after the end was noted:", Key);
  TaskBehaviour Task = Behaviour(Order.Task);
  On.Used += Task.Room;
  if (!On.Used.fitsIn(On.Info.Capacity))
    violated("over capacity:", Key);
  On.Runs[Key] = ++LastNumber;
  ++Starts;
  FirstStarts.emplace(Order.Task.Job, Clock.now());
  StartTimes.emplace_back(Clock.now(), On.Info.Domain);
  checkLease(Order.Worker);
  if (Task.GangSize > 0)
    joinGang(Order.Worker, Key, Task);
  else
    endLater(Order.Worker, Key, Task.Work,
             Task.Fails ? RunEnd::Failed : RunEnd::Done);
  return OrderResult::Done;
}

void FakeWorkerPool::extendLease(Worker &On, TimePoint Until) {
  if (On.LeaseUntil < Clock.now())
    On.LapsedAt = On.LeaseUntil;
  On.LeaseUntil =
      std::max(On.LeaseUntil, std::min(Until, Clock.now() + LongestLease));
}

void FakeWorkerPool::joinGang(const WorkerId &Id, const RunKey &Key,
                              const TaskBehaviour &Task) {
  Gang &Of = Gangs[gangOf(Key)];
  Of.Present.insert(Key.first.Index);
  if (Of.Present.size() < Task.GangSize) {
    std::uint64_t Number = Workers.at(Id).Runs.at(Key);
    Clock.scheduleAfter(GangTimeout, [this, Id, Key, Number] {
      Worker &On = Workers.at(Id);
      auto Found = On.Runs.find(Key);
      if (Found == On.Runs.end() || Found->second != Number ||
          Gangs[gangOf(Key)].Working)
        return;
      ++Alone;
      endRun(On, Key, RunEnd::GangAlone);
    });
    return;
  }
  Of.Working = true;
  for (auto &[Other, On] : Workers) {
    for (const auto &Entry : On.Runs) {
      if (gangOf(Entry.first) == gangOf(Key))
        endLater(Other, Entry.first, Task.Work,
                 Task.Fails ? RunEnd::Failed : RunEnd::Done);
    }
  }
}

void FakeWorkerPool::breakGang(const RunKey &Key) {
  if (Behaviour(Key.first).GangSize == 0)
    return;
  Gangs[gangOf(Key)].Working = false;
  for (auto &[Id, On] : Workers) {
    std::vector<RunKey> Broken;
    for (const auto &Entry : On.Runs)
      if (gangOf(Entry.first) == gangOf(Key))
        Broken.push_back(Entry.first);
    for (const RunKey &Other : Broken)
      endLater(Id, Other, Duration::zero(), RunEnd::GangBroken);
  }
}

void FakeWorkerPool::endLater(const WorkerId &Id, const RunKey &Key,
                              Duration After, RunEnd How) {
  Worker &On = Workers.at(Id);
  std::uint64_t Number = ++LastNumber;
  On.Runs.at(Key) = Number;
  Clock.scheduleAfter(After, [this, Id, Key, Number, How] {
    Worker &Then = Workers.at(Id);
    auto Found = Then.Runs.find(Key);
    if (Found != Then.Runs.end() && Found->second == Number)
      endRun(Then, Key, How);
  });
}

void FakeWorkerPool::endRun(Worker &On, const RunKey &Key, RunEnd How) {
  On.Runs.erase(Key);
  On.Stopping.erase(Key);
  On.Used -= Behaviour(Key.first).Room;
  RunNumber &Over = On.HighestOver[Key.first];
  Over = std::max(Over, Key.second);
  On.Ended.push_back({++On.LastEnd, Key.first, Key.second, How, ""});
  On.EndedAt[On.LastEnd] = Clock.now();
  if (How != RunEnd::Done)
    breakGang(Key);
}

void FakeWorkerPool::checkLease(const WorkerId &Id) {
  Clock.scheduleAt(Workers.at(Id).LeaseUntil, [this, Id] {
    Worker &On = Workers.at(Id);
    if (On.Runs.empty())
      return;
    if (On.LeaseUntil > Clock.now()) {
      checkLease(Id);
      return;
    }
    while (!On.Runs.empty())
      endRun(On, On.Runs.begin()->first, RunEnd::LeaseLapsed);
  });
}

OrderResult FakeWorkerPool::stop(const StopOrder &Order, Epoch Token) {
  Worker &On = Workers.at(Order.Worker);
  if (!On.Up)
    return OrderResult::NoAnswer;
  if (Token < On.Token)
    return OrderResult::Fenced;
  On.Token = Token;
  RunNumber &Over = On.HighestOver[Order.Task];
  Over = std::max(Over, Order.Run);
  RunKey Key(Order.Task, Order.Run);
  if (On.Runs.contains(Key) && On.Stopping.insert(Key).second)
    endLater(Order.Worker, Key, StopTime, RunEnd::Stopped);
  return OrderResult::Done;
}

OrderResult FakeWorkerPool::pace(const PaceOrder &Order, Epoch Token) {
  Worker &On = Workers.at(Order.Worker);
  if (!On.Up)
    return OrderResult::NoAnswer;
  if (Token < On.Token)
    return OrderResult::Fenced;
  RunKey Key(Order.Task, Order.Run);
  if (!On.Runs.contains(Key))
    return OrderResult::Superseded;
  On.Paces[Key] = Order.Percent;
  return OrderResult::Done;
}

Duration FakeWorkerPool::tailOf(const WorkerId &Id, const RunKey &Key) const {
  Duration Alone = Behaviour(Key.first).Tail;
  double Factor = 1.0;
  const Worker &On = Workers.at(Id);
  for (const auto &Entry : On.Runs) {
    auto Pace = On.Paces.find(Entry.first);
    double Share = Pace == On.Paces.end() ? 1.0 : Pace->second / 100.0;
    Factor += Share * Behaviour(Entry.first.first).Disturbs;
  }
  return scaled(Alone, Factor);
}

Duration FakeWorkerPool::worstTail(const WorkerId &Id) const {
  Duration Worst{};
  for (const auto &Entry : Workers.at(Id).Runs)
    Worst = std::max(Worst, tailOf(Id, Entry.first));
  return Worst;
}

std::optional<std::uint32_t> FakeWorkerPool::paceOf(const TaskKey &Task) const {
  for (const auto &[Id, On] : Workers) {
    for (const auto &Entry : On.Runs) {
      if (Entry.first.first != Task)
        continue;
      auto Pace = On.Paces.find(Entry.first);
      return Pace == On.Paces.end() ? 100 : Pace->second;
    }
  }
  return std::nullopt;
}

WorkerReport FakeWorkerPool::renew(const WorkerId &Id, Epoch Token,
                                   std::uint64_t Acknowledged,
                                   TimePoint LeaseUntil) {
  WorkerReport Report;
  Worker &On = Workers.at(Id);
  if (!On.Up)
    return Report;
  if (Token < On.Token) {
    Report.Result = OrderResult::Fenced;
    return Report;
  }
  On.Token = Token;
  extendLease(On, LeaseUntil);
  std::erase_if(On.Ended, [&](const ReportedEnd &End) {
    if (End.Sequence > Acknowledged)
      return false;
    // An end does not count if the lease ran out before it was acknowledged.
    if (End.How == RunEnd::Done && On.EndedAt[End.Sequence] > On.LapsedAt)
      NotedDone.insert(End.Task);
    return true;
  });
  Report.Result = OrderResult::Done;
  Report.Life = Incarnation(On.Life);
  Report.Ended = On.Ended;
  for (const auto &Entry : On.Runs) {
    Report.Running.push_back({Entry.first.first, Entry.first.second, "", 0,
                              static_cast<std::uint32_t>(
                                  toSeconds(tailOf(Id, Entry.first)) * 1000)});
  }
  return Report;
}

TimePoint WorkerSession::grant(const WorkerId &Id) {
  TimePoint Until = Timers.now() + FakeWorkerPool::LongestLease;
  Granted[Id] = std::max(Granted[Id], Until);
  return Until;
}

TimePoint WorkerSession::lapsesBy(const WorkerId &Worker) const {
  auto Found = Granted.find(Worker);
  return Found == Granted.end() ? TimePoint() : Found->second + LapseSlack;
}

void WorkerSession::order(const WorkerId &Id,
                          const std::function<OrderResult()> &Work,
                          const std::function<void(OrderResult)> &Done) {
  if (Trouble.Silent.contains(Id)) {
    Timers.schedule(AnswerTimeout, [Done] { Done(OrderResult::NoAnswer); });
    return;
  }
  if (Generator.withProbability(Trouble.LateOrders)) {
    // The worker has received the order, so it is lost with the process.
    Clock.scheduleAfter(Trouble.LateBy, [this, Id, Work, Life = Pool.life(Id)] {
      if (Pool.life(Id) == Life)
        Work();
    });
    Timers.schedule(AnswerTimeout, [Done] { Done(OrderResult::NoAnswer); });
    return;
  }
  auto Answer = std::make_shared<OrderResult>(OrderResult::NoAnswer);
  Clock.scheduleAfter(Trouble.Latency, [Answer, Work] { *Answer = Work(); });
  Timers.schedule(Trouble.Latency * 2, [Answer, Done] { Done(*Answer); });
}

void WorkerSession::start(const PoolWorker &Worker, const StartOrder &Order,
                          std::function<void(OrderResult)> Done) {
  TimePoint Until = grant(Worker.Id);
  order(
      Worker.Id,
      [this, Order, Until, Token = Token] {
        return Pool.start(Order, Token, Until);
      },
      Done);
}

void WorkerSession::pace(const PoolWorker &Worker, const PaceOrder &Order,
                         std::function<void(OrderResult)> Done) {
  order(
      Worker.Id,
      [this, Order, Token = Token] { return Pool.pace(Order, Token); }, Done);
}

void WorkerSession::stop(const PoolWorker &Worker, const StopOrder &Order,
                         std::function<void(OrderResult)> Done) {
  order(
      Worker.Id,
      [this, Order, Token = Token] { return Pool.stop(Order, Token); }, Done);
}

void WorkerSession::waitForEnd(const WorkerId &Id, TimePoint Until,
                               std::uint64_t Life,
                               std::function<void()> Answer) {
  if (Timers.incarnation() != Life)
    return;
  if (Clock.now() >= Until || Pool.hasEnds(Id)) {
    Answer();
    return;
  }
  Clock.scheduleAfter(PollStep,
                      [this, Id, Until, Life, Answer = std::move(Answer)] {
                        waitForEnd(Id, Until, Life, Answer);
                      });
}

void WorkerSession::renew(const PoolWorker &Worker, const RenewOrder &Order,
                          std::function<void(WorkerReport)> Done) {
  WorkerId Id = Worker.Id;
  if (Trouble.Silent.contains(Id)) {
    Timers.schedule(Order.Wait + Order.Timeout,
                    [Done] { Done(WorkerReport()); });
    return;
  }
  TimePoint Until = Order.Extend ? grant(Id) : TimePoint();
  // The lease is extended and ends are forgotten when the order arrives.
  auto First = std::make_shared<WorkerReport>();
  Clock.scheduleAfter(
      Trouble.Latency, [this, Id, Order, Until, Token = Token, First] {
        *First = Pool.renew(Id, Token, Order.Acknowledged, Until);
      });
  std::uint64_t Life = Timers.incarnation();
  Clock.scheduleAfter(Trouble.Latency, [this, Id, Order, Done, First, Life] {
    auto Answer = [this, Id, Order, Done, First] {
      if (First->Result == OrderResult::Done && !Trouble.Silent.contains(Id))
        *First = Pool.renew(Id, Token, Order.Acknowledged, TimePoint());
      else if (Trouble.Silent.contains(Id))
        *First = WorkerReport();
      Timers.schedule(Trouble.Latency, [Done, First] { Done(*First); });
    };
    waitForEnd(Id, Clock.now() + Order.Wait, Life, Answer);
  });
}

} // namespace banyanworks::testing
