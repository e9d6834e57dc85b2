/// \file
/// Defines WorkerHealth, the evidence that a worker fails the tasks it starts.
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

/// Sets workers aside on evidence and tries them again with care.
///
/// A failure speaks against a worker by one part in as many workers as the same
/// job has failed on, so that a job that fails everywhere says little about any
/// of them, while several jobs that fail at one worker and run elsewhere say
/// much. After a wait a worker is on probation: it gets one small job at a time
/// until one succeeds.
class WorkerHealth {
public:
  /// A job of its own accord failed at the worker.
  void recordFailure(const WorkerId &Worker, JobId Job, TimePoint Now);
  /// A task that ran at the worker succeeded.
  void recordSuccess(const WorkerId &Worker, TimePoint Now);
  /// The worker refused or never answered a hold, which is no proof alone.
  void recordRefusal(const WorkerId &Worker, JobId Job, TimePoint Now);
  /// The job is over, so its failures need no longer be weighed together.
  void forgetJob(JobId Job);
  /// The worker was rebuilt or has gone; nothing is held against it.
  void forgetWorker(const WorkerId &Worker);
  /// A job was placed at the worker; on probation it is the only one.
  void recordStart(const WorkerId &Worker);
  /// The job that was placed there is over, however it ended.
  void recordEnd(const WorkerId &Worker);

  /// Workers that must not be given \p Spec now. \p Known is how many workers
  /// there are; never more than a fifth of them are set aside.
  std::vector<WorkerId> excludedWorkers(const JobSpec &Spec, TimePoint Now,
                                        std::size_t WorkerCount) const;
  /// True while the worker is set aside or on probation.
  bool isQuarantined(const WorkerId &Worker) const;
  std::size_t quarantinedCount() const { return Quarantines.size(); }
  /// When some worker next comes on probation.
  TimePoint deadline(TimePoint Now) const;

private:
  struct FailureHistory {
    std::map<JobId, TimePoint> Failures;
  };
  struct Quarantine {
    TimePoint Until;
    std::uint32_t Count = 1;
    /// A job on probation runs there.
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
