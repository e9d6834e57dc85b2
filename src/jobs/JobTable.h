/// \file
/// Defines JobTable, the jobs that the scheduler of one failure domain knows.
#ifndef BANYANWORKS_JOBS_JOBTABLE_H
#define BANYANWORKS_JOBS_JOBTABLE_H

#include "jobs/GangStateMachine.h"
#include "model/Job.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace banyanworks {

/// What the scheduler keeps of one job.
struct Job {
  std::shared_ptr<const JobSpec> Spec;
  JobPhase Phase = JobPhase::Queued;
  Reason StatusReason = Reason::WaitsForTurn;
  TimePoint SubmittedAt;
  TimePoint PhaseSince;
  /// The latest run number given; runs of later epochs have higher ones.
  std::uint64_t Run = 0;
  /// Runs that failed by themselves, runs lost with a worker, and holds
  /// refused in a row.
  std::uint32_t Restarts = 0;
  std::uint32_t LostRuns = 0;
  std::uint32_t RefusedHolds = 0;
  /// Run time that checkpoints have saved.
  Duration SavedRunTime{};
  /// The job does not start before then.
  TimePoint NotBefore;
  bool UnderGuarantee = false;
  /// True while the run uses workers that are reserved for a gang and is
  /// checkpointed as soon as the rest of them is free.
  bool UsesReservedWorkers = false;
  /// True while the job is in the queue.
  bool InQueue = false;
  /// True while a worker that was not heard may still run the job.
  bool MayRunUnreported = false;
  /// The present run, or the last one of a terminal job until its outcome is
  /// recorded.
  std::optional<GangStateMachine> Gang;
  /// The earliest timer that is set for the job.
  TimePoint TimerAt = TimePoint::max();
  /// When it was last reclaimed or migrated.
  TimePoint LastMoved;
  /// Where its last run failed; empty if it did not.
  WorkerId LastFailedWorker;
  /// What it is expected to run in all, as estimated when it was queued.
  Duration Estimate{};

  bool terminal() const {
    return Phase == JobPhase::Succeeded || Phase == JobPhase::Failed ||
           Phase == JobPhase::Cancelled || Phase == JobPhase::Refused;
  }
  /// True while a run may hold resources.
  bool active() const { return Gang.has_value() && !terminal(); }
};

/// All jobs by id. Terminal ones are kept for a while, so that a repeated
/// submission finds its job.
class JobTable {
public:
  /// Adds a job; null if the id is known already.
  Job *add(std::shared_ptr<const JobSpec> Spec, TimePoint Now);
  /// The job, or null.
  Job *find(JobId Id);
  const Job *find(JobId Id) const;
  /// Notes that a job is terminal and forgets the oldest beyond \p Kept.
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
