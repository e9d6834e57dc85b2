/// \file
/// Defines WorkerHealth, which quarantines workers on which tasks fail.
#ifndef BANYANWORKS_JOBS_WORKERHEALTH_H
#define BANYANWORKS_JOBS_WORKERHEALTH_H

#include "base/Ids.h"
#include "base/Time.h"
#include "model/Job.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanworks {

/// Quarantines workers based on task failures and readmits them by probation.
///
/// A failure of a job that has failed on N workers weighs 1/N against each of
/// them. A job that fails everywhere thus says little about any worker, while
/// several jobs that fail at one worker and run elsewhere say much. After the
/// quarantine a worker is on probation: it gets one small job at a time until
/// one succeeds.
class WorkerHealth {
public:
  /// Records that a job failed on its own at the worker.
  void recordFailure(const WorkerId &Worker, JobId Job, TimePoint Now);
  /// Records that a task at the worker succeeded.
  void recordSuccess(const WorkerId &Worker, TimePoint Now);
  /// Records that the worker refused or did not answer a hold. It weighs as
  /// much as a failure; a single refusal is no proof.
  void recordRefusal(const WorkerId &Worker, JobId Job, TimePoint Now);
  /// Records that the job has ended, so that its failures need no longer be
  /// weighed together; failures of a job that failed at several workers are
  /// discarded.
  void forgetJob(JobId Job);
  /// Clears the failures and the quarantine of a worker that was rebuilt or
  /// removed.
  void forgetWorker(const WorkerId &Worker);
  /// Records that a job was placed at the worker; a worker on probation gets no
  /// second one.
  void recordStart(const WorkerId &Worker);
  /// Records that the placed job ended, whatever its outcome.
  void recordEnd(const WorkerId &Worker);

  /// Returns the workers that must not be used for \p Spec now: at most a fifth
  /// of \p WorkerCount.
  std::vector<WorkerId> excludedWorkers(const JobSpec &Spec, TimePoint Now,
                                        std::size_t WorkerCount) const;
  /// True while the worker is quarantined or on probation.
  bool isQuarantined(const WorkerId &Worker) const;
  std::size_t quarantinedCount() const { return Quarantines.size(); }
  /// The next time at which a quarantine ends and probation begins.
  TimePoint deadline(TimePoint Now) const;

private:
  struct FailureHistory {
    std::map<JobId, TimePoint> Failures;
  };
  struct Quarantine {
    TimePoint Until;
    std::uint32_t Count = 1;
    /// True while a job runs at the worker on probation.
    bool Probing = false;
  };

  double failureWeight(const FailureHistory &History, TimePoint Now) const;
  void quarantine(const WorkerId &Worker, TimePoint Now);

  std::unordered_map<WorkerId, FailureHistory> Histories;
  std::unordered_map<JobId, std::set<WorkerId>> FailedWorkersByJob;
  std::map<WorkerId, Quarantine> Quarantines;
};

} // namespace banyanworks

#endif
