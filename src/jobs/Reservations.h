/// \file
/// Defines Reservations, the workers that are kept for waiting gangs so that
/// smaller jobs do not starve them.
#ifndef BANYANWORKS_JOBS_RESERVATIONS_H
#define BANYANWORKS_JOBS_RESERVATIONS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "jobs/CellTree.h"
#include "model/Job.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanworks {

/// The workers on which one waiting gang is expected to fit, and when.
struct Reservation {
  std::set<WorkerId> Workers;
  TimePoint ExpectedStart;
  TimePoint MadeAt;
};

/// A few reservations for the jobs that come first and do not fit. A later job
/// may use a reserved worker only if it is expected to end before the gang is
/// expected to start.
class Reservations {
public:
  /// When the task is expected to end.
  using ExpectedEndFunction = std::function<TimePoint(const TaskId &)>;

  /// Works out and keeps a reservation, unless one was made a short time ago
  /// or there are as many as may be.
  void reserve(const JobSpec &Spec, const CellTree &Cells,
               const ExpectedEndFunction &Ends,
               const std::vector<WorkerId> &Excluded, TimePoint Now);
  void drop(JobId Job);
  /// Drops what was not worked out anew for a while, since its job no longer
  /// comes first.
  void expire(TimePoint Now);
  void clear();
  /// The job's reservation, or null.
  const Reservation *find(JobId Job) const;

  /// Reserved workers that a job with that expected end must not use.
  std::vector<WorkerId> conflictingWorkers(JobId Job,
                                           TimePoint ExpectedEnd) const;
  /// True if one of the places is closed to the job.
  bool conflicts(JobId Job, TimePoint ExpectedEnd,
                 const WorkerId &Worker) const;
  bool empty() const { return Entries.empty(); }

private:
  void erase(JobId Job);

  std::map<JobId, Reservation> Entries;
  std::unordered_map<WorkerId, std::set<JobId>> ByWorker;
};

} // namespace banyanworks

#endif
