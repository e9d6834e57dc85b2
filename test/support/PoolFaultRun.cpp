/// \file
/// Implements a seeded run of a PoolWorld under faults.
#include "support/PoolFaultRun.h"

#include "support/PoolWorld.h"

#include "base/Random.h"
#include "pool/JobName.h"

#include <memory>
#include <optional>
#include <ostream>
#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Daemons = 4;
constexpr unsigned Racks = 2;
/// Steps of half a second in which jobs come and faults strike.
constexpr int Steps = 40;
/// Faults are over; the longest wait is for a worker that nobody reached.
constexpr Duration Settling = 60s;

class FaultRun {
public:
  FaultRun(std::uint64_t Seed, PoolFaults Kinds)
      : KindCount(Kinds == PoolFaults::Base ? 9 : 10), Generator(Seed),
        World(Seed, Daemons, Racks) {}

  std::vector<std::string> run() {
    World.run(1s);
    for (int Step = 0; Step < Steps; ++Step) {
      if (Generator.withProbability(0.5))
        submit();
      if (Generator.withProbability(0.4))
        strike();
      World.run(500ms);
    }
    heal();
    World.run(Settling);
    return verdict();
  }

  void writeLogs(std::ostream &Out) {
    for (std::size_t Number = 0; Number < Daemons; ++Number)
      for (const std::string &Line : World.daemon(Number).Log.lines())
        Out << Line << " daemon=" << Number << '\n';
  }

private:
  void submit() {
    std::uint64_t Id = 100 + Submitted.size();
    bool Gang = Generator.withProbability(0.4);
    std::uint32_t Tasks = 1 + Generator.below(8);
    auto Accelerators = static_cast<std::int32_t>(1U << Generator.below(4));
    pool::JobSpec Spec =
        World.job(Id, Tasks, Accelerators, Gang,
                  std::chrono::milliseconds(300 + Generator.below(5000)));
    if (Generator.withProbability(0.3)) {
      Spec.Queue = QueueId("urgent");
      Spec.Terms.Priority = 0;
    }
    std::size_t At = Generator.below(Daemons);
    if (!World.daemon(At).Owner)
      return;
    Submitted.emplace_back(Spec.Id, World.submit(At, Spec));
    // The caller repeats what it had no answer to.
    std::size_t Other = Generator.below(Daemons);
    if (Generator.withProbability(0.2) && World.daemon(Other).Owner)
      World.submit(Other, Spec);
    if (Generator.withProbability(0.1) && World.daemon(Other).Owner) {
      World.cancel(Other, Spec.Id);
      Cancelled.insert(Spec.Id);
    }
  }

  void healLater(Duration After, std::function<void()> Heal) {
    World.Clock.scheduleAfter(After, std::move(Heal));
  }

  void strike() {
    std::size_t At = Generator.below(Daemons);
    PoolDaemon &Of = World.daemon(At);
    Duration Span = std::chrono::milliseconds(500 + Generator.below(6000));
    auto Workers = World.Pool.ids();
    const WorkerId &Hit =
        Workers[Generator.below(static_cast<std::uint32_t>(Workers.size()))];
    switch (Generator.below(KindCount)) {
    case 0:
      World.kill(At);
      healLater(Span, [this, At] { World.restart(At); });
      break;
    case 1:
      Of.Timers.pauseUntil(World.Clock.now() + Span);
      break;
    case 2:
      Of.Store.Trouble.Silent = true;
      healLater(Span, [&Of] { Of.Store.Trouble.Silent = false; });
      break;
    case 3:
      Of.Store.Trouble.LostAnswers = 0.4;
      Of.Store.Trouble.LateBy = Generator.withProbability(0.5) ? 2s : 0s;
      healLater(Span, [&Of] { Of.Store.Trouble.LostAnswers = 0; });
      break;
    case 4:
      for (std::size_t Number = 0; Number < Daemons; ++Number)
        World.daemon(Number).Store.Trouble.Silent = true;
      healLater(Span, [this] {
        for (std::size_t Number = 0; Number < Daemons; ++Number)
          World.daemon(Number).Store.Trouble.Silent = false;
      });
      break;
    case 5:
      Of.Workers.Trouble.LateOrders = 0.3;
      Of.Workers.Trouble.LateBy =
          std::chrono::milliseconds(1000 + Generator.below(9000));
      healLater(Span, [&Of] { Of.Workers.Trouble.LateOrders = 0; });
      break;
    case 6:
      for (std::size_t Number = 0; Number < Daemons; ++Number)
        if (Generator.withProbability(0.7))
          World.daemon(Number).Workers.Trouble.Silent.insert(Hit);
      healLater(Span, [this, Hit] {
        for (std::size_t Number = 0; Number < Daemons; ++Number)
          World.daemon(Number).Workers.Trouble.Silent.erase(Hit);
      });
      break;
    case 7:
      World.Pool.crash(Hit);
      healLater(Span, [this, Hit] { World.Pool.restart(Hit); });
      break;
    case 9:
      // Up to a hundred times slower than a daemon at ease.
      Of.Timers.setWorkDuration(
          std::chrono::milliseconds(1 + Generator.below(40)));
      healLater(Span, [&Of] { Of.Timers.setWorkDuration(Duration::zero()); });
      break;
    default:
      World.Shared.compact();
    }
  }

  void heal() {
    for (std::size_t Number = 0; Number < Daemons; ++Number) {
      PoolDaemon &Of = World.daemon(Number);
      Of.Store.Trouble = StoreTrouble();
      Of.Workers.Trouble = WorkerTrouble();
      Of.Timers.pauseUntil(TimePoint::min());
      Of.Timers.setWorkDuration(Duration::zero());
      if (!Of.Owner)
        World.restart(Number);
    }
    for (const WorkerId &Id : World.Pool.ids())
      if (!World.Pool.up(Id))
        World.Pool.restart(Id);
  }

  std::vector<std::string> verdict() {
    std::vector<std::string> Broken = World.Pool.violations();
    for (const auto &[Id, Answer] : Submitted) {
      bool Accepted = *Answer == Reason::None;
      JobStatus Shown = World.shown(Id);
      if (Accepted && !isFinal(Shown))
        Broken.push_back("accepted but not ended: " + jobName(Id));
      if (Accepted && Shown != JobStatus::Completed && !Cancelled.contains(Id))
        Broken.push_back("ended without cause: " + jobName(Id));
      bool Refused = *Answer && !Accepted && *Answer != Reason::OutcomeUnknown;
      if (Refused && Shown != JobStatus::Queued)
        Broken.push_back("refused and run: " + jobName(Id));
    }
    if (World.Pool.running() > 0)
      Broken.emplace_back("something still runs");
    return Broken;
  }

  std::uint32_t KindCount;
  Random Generator;
  PoolWorld World;
  std::vector<std::pair<JobId, std::shared_ptr<std::optional<Reason>>>>
      Submitted;
  std::set<JobId> Cancelled;
};

} // namespace

std::vector<std::string> runPoolFaults(std::uint64_t Seed, PoolFaults Kinds,
                                       std::ostream *Trace) {
  FaultRun Run(Seed, Kinds);
  std::vector<std::string> Broken = Run.run();
  if (Trace)
    Run.writeLogs(*Trace);
  return Broken;
}

} // namespace banyanworks::testing
