/// \file
/// Implements a seeded run of a PoolSimulation under faults.
#include "support/PoolFaultRun.h"

#include "support/CapCheck.h"
#include "support/PoolSimulation.h"

#include "base/Random.h"
#include "pool/JobName.h"

#include <algorithm>
#include <map>
#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Daemons = 4;
constexpr unsigned Racks = 2;
/// Steps of half a second in which jobs are submitted and faults injected.
constexpr int Steps = 40;
/// Simulated time after the last fault; the longest wait is for a worker that
/// no daemon can reach.
constexpr Duration SettlingTime = 60s;
constexpr double CapOverage = 0.1;
constexpr Resources WholeWorker{32000, 131072, 8};
/// More than the pool has.
constexpr Resources WideCap{1'000'000, 10'000'000, 1000};

class FaultRun {
public:
  FaultRun(std::uint64_t Seed, PoolFaults Kinds)
      : KindCount(kindCount(Kinds)), ChangesCaps(Kinds == PoolFaults::WithCaps),
        ShrinksWorkers(Kinds == PoolFaults::WithShrinkingWorkers),
        Generator(Seed),
        Simulation(Seed, Daemons, Racks, limits(), {},
                   Kinds != PoolFaults::WithoutOutageDetection),
        Caps(Simulation, CapOverage) {
    if (Kinds == PoolFaults::WithWideCaps) {
      // Under the same version, since the version is logged.
      Simulation.Configuration.Caps = {{WorkspaceId("a"), WideCap}};
      Simulation.applyConfiguration();
    }
    if (ChangesCaps)
      Caps.setCaps(randomCaps());
  }

  std::vector<std::string> run() {
    Simulation.runFor(1s);
    for (int Step = 0; Step < Steps; ++Step) {
      if (Generator.withProbability(0.5))
        submit();
      if (Generator.withProbability(0.4))
        injectFault();
      if (ShrinksWorkers)
        resizeWorkers();
      Simulation.runFor(500ms);
    }
    removeFaults();
    Simulation.runFor(SettlingTime);
    return findViolations();
  }

  void writeLogs(std::ostream &Out) const { Simulation.writeLogs(Out); }

private:
  static std::uint32_t kindCount(PoolFaults Kinds) {
    if (Kinds == PoolFaults::WithCaps)
      return 11;
    return Kinds == PoolFaults::WithSlowDaemons ? 10 : 9;
  }

  static PoolLimits limits() {
    PoolLimits Limits;
    Limits.CapOverage = CapOverage;
    return Limits;
  }

  /// Two workspaces with caps of zero to eight tasks of the widest kind, and
  /// one without.
  std::map<WorkspaceId, Resources> randomCaps() {
    std::map<WorkspaceId, Resources> Result;
    for (const char *Workspace : {"b", "c"}) {
      Resources Cap;
      Cap.Accelerators = static_cast<std::int32_t>(2U << Generator.below(6));
      if (Generator.withProbability(0.3))
        Cap.MilliCores = std::int64_t{1000} * (1 + Generator.below(8));
      if (Generator.withProbability(0.9))
        Result[WorkspaceId(Workspace)] = Cap;
    }
    return Result;
  }

  /// Each daemon receives the new caps at a time of its own.
  void changeCaps() {
    Caps.publishCaps(randomCaps());
    for (std::size_t Number = 0; Number < Daemons; ++Number) {
      Simulation.Clock.scheduleAfter(
          std::chrono::milliseconds(Generator.below(2500)),
          [this, Number, Received = Simulation.Configuration] {
            auto &Owner = Simulation.daemon(Number).Owner;
            if (Owner && Received.Version == Simulation.Configuration.Version)
              Owner->configure(Received);
          });
    }
  }

  /// Shrinks a few workers in one or all of their figures, down to nothing, and
  /// lets others grow back.
  void resizeWorkers() {
    for (const WorkerId &Id : Simulation.Pool.ids()) {
      if (!Generator.withProbability(0.1))
        continue;
      Resources Capacity = WholeWorker;
      std::uint32_t Figure = Generator.below(5);
      auto Eighths = static_cast<std::int32_t>(Generator.below(8));
      if (Figure == 0 || Figure == 3)
        Capacity.MilliCores = Capacity.MilliCores * Eighths / 8;
      if (Figure == 1 || Figure == 3)
        Capacity.MemoryMiB = Capacity.MemoryMiB * Eighths / 8;
      if (Figure == 2 || Figure == 3)
        Capacity.Accelerators = Capacity.Accelerators * Eighths / 8;
      Simulation.resizeWorker(Id, Capacity);
    }
  }

  void submit() {
    std::uint64_t Id = 100 + Submitted.size();
    bool Gang = Generator.withProbability(0.4);
    std::uint32_t Tasks = 1 + Generator.below(8);
    auto Accelerators = static_cast<std::int32_t>(1U << Generator.below(4));
    pool::JobSpec Spec =
        Simulation.job(Id, Tasks, Accelerators, Gang,
                       std::chrono::milliseconds(300 + Generator.below(5000)));
    if (Generator.withProbability(0.3)) {
      Spec.Queue = QueueId("urgent");
      Spec.Terms.Priority = 0;
    }
    if (ChangesCaps)
      Spec.Workspace = WorkspaceId(std::string(1, "abc"[Generator.below(3)]));
    std::size_t DaemonNumber = Generator.below(Daemons);
    if (!Simulation.daemon(DaemonNumber).Owner)
      return;
    submitTo(DaemonNumber, Spec);
    // The caller repeats a submission that was not answered.
    std::size_t Other = Generator.below(Daemons);
    if (Generator.withProbability(0.2) && Simulation.daemon(Other).Owner)
      submitTo(Other, Spec);
    if (Generator.withProbability(0.1) && Simulation.daemon(Other).Owner) {
      Simulation.cancel(Other, Spec.Id);
      Cancelled.insert(Spec.Id);
    }
  }

  void submitTo(std::size_t DaemonNumber, const pool::JobSpec &Spec) {
    ++Submitted[Spec.Id];
    Simulation.submit(DaemonNumber, Spec);
  }

  void removeFaultLater(Duration After, std::function<void()> RemoveFault) {
    Simulation.Clock.scheduleAfter(After, std::move(RemoveFault));
  }

  void injectFault() {
    std::size_t DaemonNumber = Generator.below(Daemons);
    PoolDaemon &Daemon = Simulation.daemon(DaemonNumber);
    Duration FaultDuration =
        std::chrono::milliseconds(500 + Generator.below(6000));
    auto Workers = Simulation.Pool.ids();
    const WorkerId &Target =
        Workers[Generator.below(static_cast<std::uint32_t>(Workers.size()))];
    switch (Generator.below(KindCount)) {
    case 0:
      Simulation.kill(DaemonNumber);
      removeFaultLater(FaultDuration, [this, DaemonNumber] {
        Simulation.restart(DaemonNumber);
      });
      break;
    case 1:
      Daemon.Timers.pauseUntil(Simulation.Clock.now() + FaultDuration);
      break;
    case 2:
      Daemon.Store.Faults.Unresponsive = true;
      removeFaultLater(FaultDuration,
                       [&Daemon] { Daemon.Store.Faults.Unresponsive = false; });
      break;
    case 3:
      Daemon.Store.Faults.LostAnswerRate = 0.4;
      Daemon.Store.Faults.LostWriteDelay =
          Generator.withProbability(0.5) ? 2s : 0s;
      removeFaultLater(FaultDuration,
                       [&Daemon] { Daemon.Store.Faults.LostAnswerRate = 0; });
      break;
    case 4:
      for (std::size_t Number = 0; Number < Daemons; ++Number)
        Simulation.daemon(Number).Store.Faults.Unresponsive = true;
      removeFaultLater(FaultDuration, [this] {
        for (std::size_t Number = 0; Number < Daemons; ++Number)
          Simulation.daemon(Number).Store.Faults.Unresponsive = false;
      });
      break;
    case 5:
      Daemon.Workers.Faults.LateOrderRate = 0.3;
      Daemon.Workers.Faults.LateOrderDelay =
          std::chrono::milliseconds(1000 + Generator.below(9000));
      removeFaultLater(FaultDuration,
                       [&Daemon] { Daemon.Workers.Faults.LateOrderRate = 0; });
      break;
    case 6:
      for (std::size_t Number = 0; Number < Daemons; ++Number)
        if (Generator.withProbability(0.7))
          Simulation.daemon(Number).Workers.Faults.Unresponsive.insert(Target);
      removeFaultLater(FaultDuration, [this, Target] {
        Simulation.setReachable(Target, true);
      });
      break;
    case 7:
      Simulation.Pool.crash(Target);
      removeFaultLater(FaultDuration,
                       [this, Target] { Simulation.Pool.restart(Target); });
      break;
    case 9:
      // Up to a hundred times slower than an idle daemon.
      Daemon.Timers.setWorkDuration(
          std::chrono::milliseconds(1 + Generator.below(40)));
      removeFaultLater(FaultDuration, [&Daemon] {
        Daemon.Timers.setWorkDuration(Duration::zero());
      });
      break;
    case 10:
      changeCaps();
      break;
    default:
      Simulation.Shared.compact();
    }
  }

  void removeFaults() {
    // The widest gang fits, so that every accepted job can end.
    if (ChangesCaps)
      Caps.setCaps({{WorkspaceId("b"), {0, 0, 64}}});
    Simulation.removeDaemonFaults();
    for (const WorkerId &Id : Simulation.Pool.ids()) {
      if (!Simulation.Pool.up(Id))
        Simulation.Pool.restart(Id);
      if (ShrinksWorkers)
        Simulation.resizeWorker(Id, WholeWorker);
    }
  }

  std::vector<std::string> findViolations() {
    std::vector<std::string> Violations = Simulation.Pool.violations();
    Violations.insert(Violations.end(), Caps.violations().begin(),
                      Caps.violations().end());
    for (const auto &[Id, Submissions] : Submitted) {
      const std::vector<Reason> &Answers = Simulation.Answers[Id];
      bool Accepted = std::count(Answers.begin(), Answers.end(), Reason::None);
      JobStatus Status = Simulation.visibleStatus(Id);
      if (Accepted && !isFinal(Status))
        Violations.push_back("accepted job did not end: " + jobName(Id));
      if (Accepted && Status != JobStatus::Completed &&
          !Cancelled.contains(Id)) {
        Violations.push_back(
            "accepted job ended without completion or cancellation: " +
            jobName(Id));
      }
      bool Ran = Status != JobStatus::Queued || Simulation.Pool.firstStart(Id);
      if (Ran && contradictsRun(Answers, Submissions))
        Violations.push_back("rejected job ran: " + jobName(Id));
    }
    if (Simulation.Pool.running() > 0)
      Violations.emplace_back("tasks still run after the last job ended");
    auto Owner = Simulation.owner();
    for (const char *Workspace : {"a", "b", "c"}) {
      if (Owner && Simulation.daemon(*Owner).Owner->scheduler()->held(
                       WorkspaceId(Workspace)) != Resources())
        Violations.emplace_back("ended runs still count against a cap");
    }
    return Violations;
  }

  /// Returns true if a job that was answered like this must not have run. An
  /// answer is about its own submission, so that one daemon may reject a job
  /// that another one accepts. A refusal marker, however, rules out all
  /// submissions until a later one replaces it.
  static bool contradictsRun(const std::vector<Reason> &Answers,
                             std::size_t Submissions) {
    std::size_t Rejected = 0;
    bool Refused = false;
    for (Reason Answer : Answers) {
      bool Rejects = Answer != Reason::None && Answer != Reason::OutcomeUnknown;
      Rejected += Rejects;
      if (Rejects && Answer != Reason::StoreUnavailable)
        Refused = true;
      else if (Answer == Reason::None)
        Refused = false;
    }
    return Refused || Rejected == Submissions;
  }

  std::uint32_t KindCount;
  bool ChangesCaps;
  bool ShrinksWorkers;
  Random Generator;
  PoolSimulation Simulation;
  CapCheck Caps;
  /// Number of submissions, by job.
  std::map<JobId, std::size_t> Submitted;
  std::set<JobId> Cancelled;
};

} // namespace

std::vector<std::string> runPoolFaults(std::uint64_t Seed, PoolFaults Kinds,
                                       std::ostream *Trace) {
  FaultRun Run(Seed, Kinds);
  std::vector<std::string> Violations = Run.run();
  if (Trace)
    Run.writeLogs(*Trace);
  return Violations;
}

} // namespace banyanworks::testing
