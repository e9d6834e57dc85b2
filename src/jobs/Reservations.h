/// \file
/// Defines Reservations, the workers reserved for waiting gangs so that smaller
/// jobs do not starve them.
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

/// The workers reserved for one waiting gang and its expected start.
struct Reservation {
  std::set<WorkerId> Workers;
  TimePoint ExpectedStart;
  TimePoint MadeAt;
};

/// Reservations for the first few jobs in the queue that do not fit. Another
/// job may use a reserved worker only if it is expected to end no later than
/// the expected start of the gang (backfilling).
class Reservations {
public:
  /// Returns the expected end of a task.
  using ExpectedEndFunction = std::function<TimePoint(const TaskId &)>;

  /// Computes and stores a reservation, unless the job has a recent one or the
  /// maximum number of reservations exists.
  void reserve(const JobSpec &Spec, const CellTree &Cells,
               const ExpectedEndFunction &Ends,
               const std::vector<WorkerId> &Excluded, TimePoint Now);
  void drop(JobId Job);
  /// Drops reservations that were not recomputed recently: their jobs are no
  /// longer first in the queue.
  void expire(TimePoint Now);
  void clear();
  /// Returns the job's reservation, or null.
  const Reservation *find(JobId Job) const;

  /// Returns the workers reserved by other jobs that a job with this expected
  /// end must not use.
  std::vector<WorkerId> conflictingWorkers(JobId Job,
                                           TimePoint ExpectedEnd) const;
  /// Returns true if a job with this expected end must not use the worker.
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
