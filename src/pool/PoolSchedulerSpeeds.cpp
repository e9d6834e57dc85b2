/// \file
/// Implements how a PoolScheduler measures the speeds of workers and uses them.
#include "pool/PoolScheduler.h"

#include "base/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

void PoolScheduler::measureRate(const WorkerState &Worker, const RunKey &Key,
                                const StepSpec &Step, PlacedRun &Run,
                                std::uint32_t Percent, WorkerTime MadeAt,
                                TimePoint Now) {
  // All members of a gang advance at the pace of the slowest. The pace of a
  // best-effort task depends on idle processor time.
  if (!Limits.LearnSpeeds || Run.Rated || Run.StopRequested || Percent == 0 ||
      Step.Gang || Step.FillsIdle || Step.LongRunning)
    return;
  if (!Run.RatedFromPercent) {
    Run.RatedFromPercent = Percent;
    Run.RatedFrom = MadeAt;
    return;
  }
  if (Percent < *Run.RatedFromPercent + WorkerSpeeds::MeasuredPercent ||
      MadeAt <= Run.RatedFrom)
    return;
  Run.Rated = true;
  const TaskKey &Task = Key.first;
  Speeds.addRate({Task.Job, Task.Occurrence, Task.Step}, Worker.Info.Id,
                 (Percent - *Run.RatedFromPercent) /
                     toSeconds(MadeAt - Run.RatedFrom),
                 Now);
}

void PoolScheduler::forgetSpeed(WorkerState &Worker) {
  Speeds.forget(Worker.Info.Id);
  Worker.Speed = SpeedClass::Common;
}

void PoolScheduler::updateSpeedClasses(TimePoint Now) {
  if (!Speeds.refresh(Now))
    return;
  for (auto &[Id, Worker] : Workers) {
    SpeedClass Before = std::exchange(Worker.Speed, Speeds.classOf(Id));
    if (Worker.Speed == Before)
      continue;
    Log.write(LogLevel::Change, "worker.speed_class",
              {{"worker", Id.str()},
               {"class", speedClassName(Worker.Speed)},
               {"before", speedClassName(Before)}});
  }
}

SpeedPreference
PoolScheduler::speedPreference(const StepCandidate &Candidate) const {
  const StepSpec &Step = *Candidate.Step;
  if (!Speeds.isUneven() || Step.FillsIdle)
    return SpeedPreference::None;
  if (Step.LongRunning)
    return SpeedPreference::CommonThenFastThenSlow;
  // The job is of no value any more.
  if (Candidate.Lateness == 2)
    return SpeedPreference::SlowThenCommonThenFast;
  if (Candidate.Terms->Priority == 0 || Candidate.Lateness == 1)
    return SpeedPreference::FastThenCommonThenSlow;
  Duration ExtraOnSlow =
      scaled(Step.Estimate, 1.0 / Speeds.relativeSpeed(SpeedClass::Slow) - 1.0);
  return Candidate.Slack >= ExtraOnSlow
             ? SpeedPreference::SlowThenCommonThenFast
             : SpeedPreference::CommonThenFastThenSlow;
}

std::array<std::size_t, SpeedClasses> PoolScheduler::workersByClass() const {
  std::array<std::size_t, SpeedClasses> Counts{};
  for (const auto &[Id, Worker] : Workers)
    if (Worker.Listed)
      ++Counts[static_cast<std::size_t>(Worker.Speed)];
  return Counts;
}

Duration PoolScheduler::estimateAtClass(const StepSpec &Step,
                                        const TaskGroup &Group) const {
  // The pace of a best-effort task depends on idle processor time.
  if (!Speeds.isUneven() || Step.FillsIdle || Group.Workers.empty())
    return Step.Estimate;
  SpeedClass Slowest = SpeedClass::Fast;
  for (const WorkerId &Id : Group.Workers) {
    auto Found = Workers.find(Id);
    Slowest = std::min(Slowest, Found == Workers.end() ? SpeedClass::Common
                                                       : Found->second.Speed);
  }
  return scaled(Step.Estimate, 1.0 / Speeds.relativeSpeed(Slowest));
}

} // namespace banyanworks::pool
