/// \file
/// Defines FakeWorkerPool, workers that run tasks under leases in virtual
/// time, and WorkerSession, one daemon's connection to them.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKEWORKERPOOL_H
#define BANYANWORKS_TEST_SUPPORT_FAKEWORKERPOOL_H

#include "base/Random.h"
#include "pool/PoolWorker.h"
#include "pool/RunTable.h"
#include "pool/WorkerLink.h"
#include "support/VirtualClock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyanworks::testing {

class VirtualTimers;

/// Behaviour of a simulated task while it runs.
struct TaskBehaviour {
  Resources Allocated;
  Duration RunTime = std::chrono::seconds(1);
  /// Number of members of the task's gang; zero for a single task.
  std::uint32_t GangSize = 0;
  /// True if the task fails instead of ending as done.
  bool Fails = false;
  /// Tail response time of a task that serves users, without interference;
  /// zero for a task that serves no users.
  Duration TailLatency{};
  /// Relative increase of the tail response times of tasks on the same worker,
  /// at full speed.
  double Interference = 0.0;
  /// Time after its start at which the task crashes its worker; zero for a task
  /// that does not.
  Duration CrashesAfter{};
  /// The task crashes its worker before the worker answers the start order.
  bool CrashesBeforeAnswer = false;
};

/// Simulates the workers, checks the invariants that no owner may violate, and
/// records violations as text.
class FakeWorkerPool {
public:
  static constexpr Duration MaxLease = std::chrono::seconds(6);
  static constexpr Duration StopTime = std::chrono::milliseconds(300);
  static constexpr Duration GangTimeout = std::chrono::seconds(3);
  /// Time after which a worker that a task has crashed is back.
  static constexpr Duration RestartTime = std::chrono::seconds(3);
  /// Time after which a start may no longer rely on a capacity that has shrunk.
  static constexpr Duration ShrinkGrace = std::chrono::seconds(3);

  explicit FakeWorkerPool(VirtualClock &Clock) : Clock(Clock) {}

  std::function<TaskBehaviour(const pool::TaskKey &)> Behaviour;
  /// Whether the ticket of an order is valid; if unset, every order is
  /// accepted.
  std::function<bool(const pool::StartOrder &)> AcceptsTicket;
  /// Called after each start of a task, with the time at which its order was
  /// sent; may be unset.
  std::function<void(const pool::TaskKey &, TimePoint SentAt)> Started;
  /// Called when a worker that a task has crashed is due to come back. If
  /// unset, it restarts under its id.
  std::function<void(const WorkerId &)> ComesBack;
  /// Speeds relative to the run times of the behaviours; a worker that is not
  /// listed has speed 1. A gang advances at the pace of its slowest member.
  std::map<WorkerId, double> Speeds;
  /// Ends in one report; the others follow once these are acknowledged.
  std::size_t MaxListedEnds = 500;
  /// Whether reports state the progress of the runs; without it they state 0%.
  bool ReportsProgress = false;

  void add(const pool::PoolWorker &Info);
  /// Ends the worker process and discards its runs and all its state.
  void crash(const WorkerId &Id);
  /// Changes the capacity of a worker; what runs there stays.
  void resize(const WorkerId &Id, const Resources &Capacity);
  /// Starts a new process without state under the same id.
  void restart(const WorkerId &Id);
  /// Starts a new process under \p NewId at the address of the crashed worker
  /// \p Old, whose calls it answers as another incarnation.
  void replace(const WorkerId &Old, const WorkerId &NewId);
  bool up(const WorkerId &Id) const { return Workers.at(Id).Up; }
  std::uint64_t incarnation(const WorkerId &Id) const {
    return Workers.at(Id).IncarnationNumber;
  }
  const pool::PoolWorker &info(const WorkerId &Id) const {
    return Workers.at(Id).Info;
  }
  std::vector<WorkerId> ids() const;

  pool::OrderResult start(const pool::StartOrder &Order, Epoch Token,
                          TimePoint LeaseUntil, TimePoint SentAt);
  /// Carries out a start order that was sent to the incarnation \p SentTo. The
  /// clock of a later incarnation starts anew, so that there the lease lasts as
  /// long as it may. No owner can keep such a run from starting beside another
  /// one of its task, or from taking room.
  pool::OrderResult startLate(const pool::StartOrder &Order, Epoch Token,
                              TimePoint LeaseUntil, TimePoint SentAt,
                              std::uint64_t SentTo);
  pool::OrderResult stop(const pool::StopOrder &Order, Epoch Token);
  pool::OrderResult pace(const pool::PaceOrder &Order, Epoch Token);
  pool::WorkerReport renew(const WorkerId &Id, Epoch Token,
                           std::uint64_t Acknowledged, TimePoint LeaseUntil);
  bool hasEnds(const WorkerId &Id) const {
    return !Workers.at(Id).Ended.empty();
  }

  const std::vector<std::string> &violations() const { return Violations; }
  std::size_t starts() const { return Starts; }
  /// Number of starts of a task.
  std::size_t startsOf(const pool::TaskKey &Task) const {
    return static_cast<std::size_t>(
        std::count(StartedTasks.begin(), StartedTasks.end(), Task));
  }
  std::size_t gangTimeouts() const { return GangTimeouts; }
  std::size_t ticketsRefused() const { return TicketsRefused; }
  /// Time at which the first task of a job started; nullopt if none did.
  std::optional<TimePoint> firstStart(JobId Job) const {
    auto Found = FirstStarts.find(Job);
    if (Found == FirstStarts.end())
      return std::nullopt;
    return Found->second;
  }
  /// Tail response time of a serving task with the interference on its worker;
  /// zero for other tasks.
  Duration tailLatency(const WorkerId &Id, const pool::RunKey &Key) const;
  /// Highest tail response time on a worker.
  Duration worstTailLatency(const WorkerId &Id) const;
  /// Pace of a task, in percent; nullopt if it does not run.
  std::optional<std::uint32_t> paceOf(const pool::TaskKey &Task) const;
  std::size_t runningOn(const WorkerId &Id) const {
    return Workers.at(Id).Runs.size();
  }
  /// The worker that holds a run of the task; nullopt if none does.
  std::optional<WorkerId> holderOf(const pool::TaskKey &Task) const;
  /// Number of running tasks on all workers that are up.
  std::size_t running() const;
  /// Visits the running tasks on all workers that are up.
  void
  visitRunning(const std::function<void(const pool::TaskKey &)> &Visit) const;
  /// Number of starts on workers of a failure domain since a time.
  std::size_t startsIn(const DomainId &Domain, TimePoint StartTime) const;

private:
  struct Worker {
    pool::PoolWorker Info;
    bool Up = true;
    /// Another process answers at the worker's address.
    bool Replaced = false;
    std::uint64_t IncarnationNumber = 1;
    Epoch Token;
    TimePoint LeaseUntil;
    Resources Allocated;
    /// Former capacities, each with the time until which it was in force.
    std::vector<std::pair<TimePoint, Resources>> FormerCapacities;
    std::uint64_t LastEndSequence = 0;
    /// Present runs, each with a number that every change of the run
    /// increases.
    std::map<pool::RunKey, std::uint64_t> Runs;
    std::set<pool::RunKey> Stopping;
    /// Paces in percent; runs at full pace are omitted.
    std::map<pool::RunKey, std::uint32_t> Paces;
    std::map<pool::TaskKey, pool::RunNumber> HighestEnded;
    std::vector<pool::ReportedEnd> Ended;
    std::map<std::uint64_t, TimePoint> EndedAt;
    /// Time at which a lease last expired.
    TimePoint LeaseExpiredAt;
    /// Runs whose start orders were sent to an earlier incarnation.
    std::set<pool::RunKey> OfEarlierOrders;
    std::set<std::uint64_t> EndsOfEarlierOrders;
    /// When a report first listed a run of an earlier order.
    std::map<pool::RunKey, TimePoint> ListedOfEarlierOrders;
    /// When each run started to advance, and the time that it needs.
    std::map<pool::RunKey, std::pair<TimePoint, Duration>> Advancing;
  };
  struct Gang {
    std::set<std::uint32_t> Present;
    bool Working = false;
  };
  using GangKey = std::pair<pool::TaskKey, pool::RunNumber>;

  void endRun(Worker &State, const pool::RunKey &Key, pool::RunEnd Outcome);
  void scheduleEnd(const WorkerId &Id, const pool::RunKey &Key, Duration Delay,
                   pool::RunEnd Outcome);
  /// Lets a run advance for \p RunTime until it ends as its task does.
  void advance(const WorkerId &Id, const pool::RunKey &Key, Duration RunTime);
  double speedOf(const WorkerId &Id) const;
  std::uint32_t percentOf(const Worker &State, const pool::RunKey &Key) const;
  /// Crashes a worker that comes back after RestartTime.
  void crashForAWhile(const WorkerId &Id);
  void crashLater(const WorkerId &Id, const pool::RunKey &Key, Duration Delay);
  /// The answer of a worker that is not up.
  static pool::OrderResult resultOfAbsent(const Worker &State) {
    return State.Replaced ? pool::OrderResult::OtherIncarnation
                          : pool::OrderResult::NoAnswer;
  }
  void joinGang(const WorkerId &Id, const pool::RunKey &Key,
                const TaskBehaviour &Task);
  void breakGang(const pool::RunKey &Key);
  void scheduleLeaseExpiry(const WorkerId &Id);
  void extendLease(Worker &State, TimePoint Until);
  void recordViolation(const std::string &Description, const pool::RunKey &Key);
  static GangKey gangOf(const pool::RunKey &Key);

  VirtualClock &Clock;
  std::map<WorkerId, Worker> Workers;
  std::map<GangKey, Gang> Gangs;
  std::set<pool::TaskKey> AcknowledgedDone;
  std::vector<std::string> Violations;
  std::vector<std::pair<TimePoint, DomainId>> StartTimes;
  std::vector<pool::TaskKey> StartedTasks;
  std::map<JobId, TimePoint> FirstStarts;
  std::size_t Starts = 0;
  std::size_t GangTimeouts = 0;
  std::size_t TicketsRefused = 0;
  std::uint64_t LastChangeNumber = 0;
};

/// Faults between one daemon and the workers.
struct WorkerFaults {
  /// Workers that do not receive any call.
  std::set<WorkerId> Unresponsive;
  /// Workers that execute calls and whose answers are lost.
  std::set<WorkerId> Unheard;
  /// Fraction of orders that get no answer and are executed late.
  double LateOrderRate = 0.0;
  Duration LateOrderDelay = std::chrono::seconds(3);
  /// Whether late orders that were sent to a worker are carried out by it after
  /// it has restarted under its id.
  bool LateOrdersOutliveRestarts = false;
  Duration Latency = std::chrono::milliseconds(1);
};

/// Performs one daemon's calls to the workers, subject to its faults and under
/// its fencing token.
class WorkerSession : public pool::WorkerLink {
public:
  WorkerSession(FakeWorkerPool &Pool, VirtualClock &Clock,
                VirtualTimers &Timers, std::uint64_t Seed)
      : Pool(Pool), Clock(Clock), Timers(Timers), Generator(Seed) {}

  WorkerFaults Faults;

  void useToken(Epoch NewToken) override {
    Token = NewToken;
    Granted.clear();
  }
  void limitLeases(TimePoint EndBy) override { LeasesEndBy = EndBy; }
  void renew(const pool::PoolWorker &Worker, const pool::RenewOrder &Order,
             std::function<void(pool::WorkerReport)> Done) override;
  void start(const pool::PoolWorker &Worker, const pool::StartOrder &Order,
             std::function<void(pool::OrderResult)> Done) override;
  void stop(const pool::PoolWorker &Worker, const pool::StopOrder &Order,
            std::function<void(pool::OrderResult)> Done) override;
  void pace(const pool::PoolWorker &Worker, const pool::PaceOrder &Order,
            std::function<void(pool::OrderResult)> Done) override;
  TimePoint leasesEndBy(const WorkerId &Worker) const override;

private:
  /// \p LateWork carries the order out if the worker has restarted since.
  void sendOrder(const WorkerId &Id,
                 const std::function<pool::OrderResult()> &Work,
                 const std::function<pool::OrderResult()> &LateWork,
                 const std::function<void(pool::OrderResult)> &Done);
  /// Waits at the worker until a run ends there or \p Until has passed,
  /// without use of the daemon's timers.
  void waitForEnd(const WorkerId &Id, TimePoint Until,
                  std::uint64_t StartedIncarnation,
                  std::function<void()> Answer);
  TimePoint grant(const WorkerId &Id);

  FakeWorkerPool &Pool;
  VirtualClock &Clock;
  VirtualTimers &Timers;
  Random Generator;
  Epoch Token;
  TimePoint LeasesEndBy = TimePoint::max();
  std::map<WorkerId, TimePoint> Granted;
};

} // namespace banyanworks::testing

#endif
