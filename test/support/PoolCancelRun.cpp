/// \file
/// Implements a seeded run of a PoolSimulation in which jobs are cancelled
/// under faults.
#include "support/PoolCancelRun.h"

#include "support/PoolSimulation.h"

#include "base/Random.h"
#include "pool/JobName.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Daemons = 4;
constexpr unsigned Racks = 2;
/// Stretches with faults, each followed by a calm one.
constexpr int Episodes = 3;
/// Steps of a quarter of a second in which jobs are submitted and cancelled and
/// faults injected.
constexpr int StepsPerEpisode = 32;
/// Steps at the end of some episodes in which all jobs are cancelled.
constexpr int LastSteps = 10;
/// Time after the last fault within which daemons and workers are in touch
/// again, a cancellation takes effect, and a worker stops a run; as on the
/// users' platform.
constexpr Duration ContactTime = 3s;
constexpr Duration CancelTime = 3s;
constexpr Duration StopTime = 900ms;
/// Longest delay of a late order.
constexpr Duration LongestDelay = 7s;
constexpr Duration CheckInterval = 250ms;
/// Run time of tasks that do not end by themselves within the run.
constexpr Duration Lasting = 120s;

class CancelRun {
public:
  explicit CancelRun(std::uint64_t Seed)
      : Generator(Seed), Simulation(Seed, Daemons, Racks) {
    auto Inner = Simulation.Pool.Behaviour;
    Simulation.Pool.Behaviour = [this, Inner](const TaskKey &Task) {
      TaskBehaviour Result = Inner(Task);
      // The steps before the last one end.
      const pool::JobSpec &Spec = Simulation.spec(Task.Job);
      if (Task.Step + 1 < Spec.Steps.size())
        Result.RunTime = 800ms;
      return Result;
    };
    Simulation.Pool.Started = [this](const TaskKey &Task, TimePoint SentAt) {
      checkStart(Task, SentAt);
    };
  }

  std::vector<std::string> run() {
    Simulation.runFor(1s);
    while (Episode < Episodes) {
      CalmSince = TimePoint::max();
      bool Empties = Generator.withProbability(0.5);
      for (int Step = 0; Step < StepsPerEpisode; ++Step) {
        bool Ends = Empties && Step >= StepsPerEpisode - LastSteps;
        if (Ends)
          cancelAll();
        else if (Generator.withProbability(0.5))
          submit();
        for (std::uint32_t Cancel = Generator.below(3); Cancel > 0; --Cancel)
          cancelAny();
        if (Generator.withProbability(0.35))
          injectFault();
        Simulation.runFor(250ms);
      }
      removeFaults();
      Simulation.runFor(ContactTime + CancelTime + StopTime);
      // Late orders are executed up to LongestDelay after the last fault, and
      // what they start may end with its lease.
      for (Duration Passed{}; Passed < LongestDelay; Passed += CheckInterval) {
        checkRunning();
        Simulation.runFor(CheckInterval);
      }
    }
    Violations.insert(Violations.end(), Simulation.Pool.violations().begin(),
                      Simulation.Pool.violations().end());
    return Violations;
  }

  void writeLogs(std::ostream &Out) const { Simulation.writeLogs(Out); }

private:
  std::optional<std::size_t> anyDaemon() {
    std::size_t Number = Generator.below(Daemons);
    return Simulation.daemon(Number).Owner ? std::optional(Number)
                                           : std::nullopt;
  }

  void submit() {
    auto Number = anyDaemon();
    if (!Number)
      return;
    bool Gang = Generator.withProbability(0.4);
    Duration RunTime = Generator.withProbability(0.7)
                           ? Lasting
                           : Duration(500ms) * (1 + Generator.below(6));
    pool::JobSpec Spec = Simulation.job(
        NextJob++, 1 + Generator.below(6),
        static_cast<std::int32_t>(1U << Generator.below(4)), Gang, RunTime);
    if (Generator.withProbability(0.3)) {
      Spec.Queue = QueueId("urgent");
      Spec.Terms.Priority = 0;
    }
    if (Generator.withProbability(0.3)) {
      // Two steps; the last one is that with the run time of the job.
      StepSpec First = Spec.Steps.front();
      First.Gang = false;
      First.Tasks = 1 + Generator.below(2);
      Spec.Steps.front().After = {0};
      Spec.Steps.insert(Spec.Steps.begin(), First);
    }
    if (Generator.withProbability(0.2)) {
      Spec.Occurrences = 2 + Generator.below(3);
      Spec.FirstDue = Spec.AcceptedAt + 200ms;
      Spec.Interval = Duration(500ms) * (1 + Generator.below(4));
    }
    if (!Spec.isScheduled() && RunTime == Lasting &&
        Generator.withProbability(0.2)) {
      StepSpec &Last = Spec.Steps.back();
      Last.Gang = false;
      Last.LongRunning = true;
    }
    Simulation.submit(*Number, Spec);
    Submitted.push_back(Spec.Id);
  }

  void cancelAny() {
    auto Number = anyDaemon();
    if (!Number || Submitted.empty())
      return;
    // Mostly a recent job, while it is being started.
    std::size_t Recent = std::min<std::size_t>(Submitted.size(), 4);
    std::size_t Among =
        Generator.withProbability(0.6) ? Recent : Submitted.size();
    cancel(*Number,
           Submitted[Submitted.size() - 1 -
                     Generator.below(static_cast<std::uint32_t>(Among))]);
  }

  /// Cancels what is not yet known to be cancelled, so that workers are idle.
  void cancelAll() {
    auto Number = anyDaemon();
    if (!Number)
      return;
    for (JobId Id : Submitted)
      if (!Acknowledged.contains(Id))
        cancel(*Number, Id);
  }

  void cancel(std::size_t Number, JobId Id) {
    Simulation.daemon(Number).Intake->cancel(
        Id, Simulation.Clock.now() + 3s, [this, Id](Reason Outcome) {
          if (Outcome == Reason::None)
            Acknowledged.emplace(Id, Simulation.Clock.now());
        });
  }

  void later(Duration After, std::function<void()> Work) {
    // Work of an episode has no effect after its end.
    Simulation.Clock.scheduleAfter(
        After, [this, Scheduled = Episode, Work = std::move(Work)] {
          if (Scheduled == Episode)
            Work();
        });
  }

  std::size_t ownerOrAny() {
    auto Owner = Simulation.owner();
    return Owner && Generator.withProbability(0.7) ? *Owner
                                                   : Generator.below(Daemons);
  }

  WorkerId anyWorker() {
    auto Workers = Simulation.Pool.ids();
    return Workers[Generator.below(static_cast<std::uint32_t>(Workers.size()))];
  }

  /// Cuts a few workers off, in both directions or only for their answers.
  void cutWorkers(Duration Time) {
    bool OneWay = Generator.withProbability(0.6);
    bool Restarts = Generator.withProbability(0.3);
    for (std::uint32_t Count = 1 + Generator.below(5); Count > 0; --Count) {
      WorkerId Target = anyWorker();
      if (OneWay)
        Simulation.loseAnswers(Target);
      else
        Simulation.setReachable(Target, false);
      if (Restarts)
        later(scaled(Time, 0.4), [this, Target] { restartWorker(Target); });
      later(Time, [this, Target] { Simulation.setReachable(Target, true); });
    }
  }

  void restartWorker(const WorkerId &Id) {
    if (!Simulation.Pool.up(Id))
      return;
    Simulation.restartWorker(Id);
  }

  /// Restarts most workers that hold nothing; orders to them may be on the way.
  void restartIdleWorkers() {
    for (const WorkerId &Id : Simulation.Pool.ids())
      if (Simulation.Pool.runningOn(Id) == 0 && Generator.withProbability(0.7))
        restartWorker(Id);
  }

  void injectFault() {
    std::size_t Number = ownerOrAny();
    if (!Simulation.daemon(Number).Owner)
      return;
    PoolDaemon &Daemon = Simulation.daemon(Number);
    Duration Time = std::chrono::milliseconds(300 + Generator.below(5000));
    switch (Generator.below(11)) {
    case 0:
    case 1:
      Simulation.kill(Number);
      later(Time, [this, Number] { Simulation.restart(Number); });
      break;
    case 2:
      Daemon.Timers.pauseUntil(Simulation.Clock.now() + Time);
      break;
    case 3:
      Daemon.Store.Faults.Unresponsive = true;
      later(Time, [&Daemon] { Daemon.Store.Faults.Unresponsive = false; });
      break;
    case 4:
      Daemon.Store.Faults.LostAnswerRate = 0.4;
      Daemon.Store.Faults.LostWriteDelay =
          Generator.withProbability(0.5) ? 2s : 0s;
      later(Time, [&Daemon] { Daemon.Store.Faults.LostAnswerRate = 0; });
      break;
    case 5:
      Daemon.Workers.Faults.LateOrderRate = 0.5;
      Daemon.Workers.Faults.LateOrderDelay = std::chrono::milliseconds(
          900 + Generator.below(
                    static_cast<std::uint32_t>((LongestDelay - 1s) / 1ms)));
      Daemon.Workers.Faults.LateOrdersOutliveRestarts =
          Generator.withProbability(0.5);
      later(Time, [this, &Daemon] {
        Daemon.Workers.Faults.LateOrderRate = 0;
        if (Daemon.Workers.Faults.LateOrdersOutliveRestarts)
          restartIdleWorkers();
      });
      break;
    case 6:
    case 7:
      cutWorkers(Time);
      break;
    case 8:
      restartWorker(anyWorker());
      break;
    case 9:
      for (std::uint32_t Count = 1 + Generator.below(6); Count > 0; --Count) {
        WorkerId Target = anyWorker();
        Simulation.unlistWorker(Target);
        later(Time, [this, Target] { Simulation.listWorker(Target); });
      }
      break;
    default:
      Simulation.Shared.compact();
      Daemon.Owner->retire();
      Retired.insert(Number);
      later(Time, [this, Number] { Simulation.restart(Number); });
    }
  }

  /// Ends an episode; later faults of it are dropped.
  void removeFaults() {
    ++Episode;
    if (Generator.withProbability(0.5))
      restartIdleWorkers();
    CalmSince = Simulation.Clock.now();
    Simulation.removeDaemonFaults();
    for (std::size_t Number : std::exchange(Retired, {}))
      Simulation.restart(Number);
    for (const WorkerId &Id : Simulation.Pool.ids())
      Simulation.listWorker(Id);
  }

  void checkStart(const TaskKey &Task, TimePoint SentAt) {
    StartedAt[Task] = Simulation.Clock.now();
    auto Cancelled = Acknowledged.find(Task.Job);
    if (Cancelled != Acknowledged.end() && SentAt - ContactTime >= CalmSince &&
        SentAt > Cancelled->second + CancelTime)
      recordViolation("started after its job was cancelled: ", Task);
  }

  void checkRunning() {
    TimePoint Now = Simulation.Clock.now();
    Simulation.Pool.visitRunning([this, Now](const TaskKey &Task) {
      if (Acknowledged.contains(Task.Job) &&
          Now - StartedAt.at(Task) >= ContactTime + StopTime)
        recordViolation("runs on although its job was cancelled: ", Task);
    });
  }

  void recordViolation(const std::string &Description, const TaskKey &Task) {
    Violations.push_back(
        Description + taskName(Task) + " at second " +
        std::to_string(toSeconds(Simulation.Clock.now().time_since_epoch())));
  }

  Random Generator;
  PoolSimulation Simulation;
  int Episode = 0;
  /// When the last fault was removed.
  TimePoint CalmSince = TimePoint::max();
  std::uint64_t NextJob = 100;
  std::vector<JobId> Submitted;
  /// Jobs whose cancellation was acknowledged, and when.
  std::map<JobId, TimePoint> Acknowledged;
  std::map<TaskKey, TimePoint> StartedAt;
  std::set<std::size_t> Retired;
  std::vector<std::string> Violations;
};

} // namespace

std::vector<std::string> runPoolCancels(std::uint64_t Seed,
                                        std::ostream *Trace) {
  CancelRun Run(Seed);
  std::vector<std::string> Violations = Run.run();
  if (Trace)
    Run.writeLogs(*Trace);
  return Violations;
}

} // namespace banyanworks::testing
