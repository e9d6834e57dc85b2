/// \file
/// Defines PoolWorkload, which runs seeded load on a PoolScheduler and workers
/// without faults in virtual time, and measures waits and lost work.
#ifndef BANYANWORKS_TEST_SUPPORT_POOLWORKLOAD_H
#define BANYANWORKS_TEST_SUPPORT_POOLWORKLOAD_H

#include "pool/PoolScheduler.h"
#include "support/RecordingLog.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// What happened to one job.
struct WorkloadJob {
  pool::JobSpec Spec;
  /// Run time of a gang; the tasks of other steps take 0.8 to 1.2 times as
  /// long.
  Duration RunTime{};
  TimePoint SubmittedAt;
  std::optional<TimePoint> StartedAt;
  std::optional<TimePoint> EndedAt;
  std::uint32_t TasksDone = 0;
};

/// Commits and orders take effect in the next step of 10 ms. Workers report
/// every 50 ms.
class PoolWorkload {
public:
  /// Creates racks of eight workers, each with 64 cores and 8 accelerators. The
  /// queues are "urgent", "gangs" and "singles", of priority 0, 1 and 2.
  PoolWorkload(unsigned Racks, const pool::PoolLimits &Limits,
               Duration CheckpointInterval, Duration RestoreTime);

  /// Schedules the submission of a job of one step.
  WorkloadJob &add(std::uint64_t Id, const char *Queue, TimePoint At,
                   std::uint32_t Tasks, const Resources &PerTask,
                   Duration RunTime);
  void runUntil(TimePoint End);
  /// Gives all workers notice that they leave after \p LeavesIn. They stay up.
  void drainAll(Duration LeavesIn);

  RecordingLog &log() { return Log; }
  /// Work thrown away by stops, in core seconds; an accelerator counts as 8
  /// cores.
  double workLost() const { return WorkLost; }
  std::size_t runsStopped() const { return RunsStopped; }
  /// Whether a worker ever held more than its capacity.
  bool overcommitted() const { return Overcommitted; }

  VirtualClock Clock;
  std::map<JobId, WorkloadJob> Jobs;

private:
  struct ActiveRun {
    WorkerId Worker;
    /// Start of the work, after the restore of a checkpoint.
    TimePoint StartedAt;
    /// Work that the checkpoint retained.
    Duration Retained{};
    Duration Total{};
    std::optional<TimePoint> StopsAt;
  };

  void start(const pool::StartOrder &Order);
  void endRuns();
  void report(const WorkerId &Id);
  void endStopped(const pool::RunKey &Key, const ActiveRun &Run);
  void recordEnd(const pool::RunKey &Key, const WorkerId &Worker,
                 pool::RunEnd Outcome, const std::string &Checkpoint);
  const pool::StepSpec &stepOf(const pool::RunKey &Key) const;

  RecordingLog Log{Clock};
  pool::PoolScheduler Scheduler;
  Duration StopTime;
  Duration CheckpointInterval;
  Duration RestoreTime;
  std::map<std::string, pool::QueueSpec> Queues;
  std::map<pool::RunKey, ActiveRun> Runs;
  std::map<WorkerId, pool::PoolWorker> Workers;
  std::map<WorkerId, Resources> Allocated;
  std::map<WorkerId, std::uint64_t> LastSequence;
  std::map<WorkerId, std::vector<pool::ReportedEnd>> NewEnds;
  double WorkLost = 0.0;
  std::size_t RunsStopped = 0;
  bool Overcommitted = false;
};

} // namespace banyanworks::testing

#endif
