/// \file
/// Defines JobTable, the jobs known to the scheduler of one failure domain.
#ifndef BANYANWORKS_JOBS_JOBTABLE_H
#define BANYANWORKS_JOBS_JOBTABLE_H

#include "jobs/GangStateMachine.h"
#include "model/Job.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace banyanworks {

/// Scheduling state of one job.
struct Job {
  std::shared_ptr<const JobSpec> Spec;
  JobPhase Phase = JobPhase::Queued;
  Reason StatusReason = Reason::WaitsForTurn;
  TimePoint SubmittedAt;
  TimePoint PhaseSince;
  /// Latest run number assigned; numbers increase across epochs.
  std::uint64_t Run = 0;
  /// Counts of runs that failed on their own, of runs lost with a worker, and
  /// of consecutive refused holds.
  std::uint32_t Restarts = 0;
  std::uint32_t LostRuns = 0;
  std::uint32_t RefusedHolds = 0;
  /// Run time saved by checkpoints so far.
  Duration SavedRunTime{};
  /// Earliest time of the next start.
  TimePoint NotBefore;
  bool UnderGuarantee = false;
  /// True while the run uses workers that are reserved for another gang; it is
  /// checkpointed as soon as that gang can start.
  bool UsesReservedWorkers = false;
  /// True while the job is in the queue.
  bool InQueue = false;
  /// True while a worker that has not reported may still run the job.
  bool MayRunUnreported = false;
  /// The current run; for a terminal job the last run, until its outcome is
  /// recorded.
  std::optional<GangStateMachine> Gang;
  /// Earliest pending timer of the job.
  TimePoint TimerAt = TimePoint::max();
  /// Time of the last reclaim or migration.
  TimePoint LastMoved;
  /// Worker at which the last run failed; empty if it did not fail.
  WorkerId LastFailedWorker;
  /// Expected remaining run time, as estimated when the job was queued.
  Duration Estimate{};

  bool terminal() const {
    return Phase == JobPhase::Succeeded || Phase == JobPhase::Failed ||
           Phase == JobPhase::Cancelled || Phase == JobPhase::Refused;
  }
  /// True while a run of the job may hold resources.
  bool active() const { return Gang.has_value() && !terminal(); }
};

/// All jobs by id. The most recent terminal jobs are retained, so that a
/// repeated submission finds its job.
class JobTable {
public:
  /// Adds a job; returns null if the id already exists.
  Job *add(std::shared_ptr<const JobSpec> Spec, TimePoint Now);
  /// Returns the job, or null if the id is unknown.
  Job *find(JobId Id);
  const Job *find(JobId Id) const;
  /// Marks a job as terminal and evicts the oldest terminal jobs beyond \p
  /// MaxTerminal.
  void markTerminal(JobId Id, std::uint32_t MaxTerminal);
  void clear();

  const std::unordered_map<JobId, Job> &all() const { return Jobs; }
  std::unordered_map<JobId, Job> &all() { return Jobs; }

private:
  std::unordered_map<JobId, Job> Jobs;
  std::deque<JobId> Terminal;
};

} // namespace banyanworks

#endif
