/// \file
/// Defines JobCache, a daemon's copy of the job records in the store.
#ifndef BANYANWORKS_POOL_JOBCACHE_H
#define BANYANWORKS_POOL_JOBCACHE_H

#include "pool/JobSpec.h"
#include "pool/JobStatus.h"
#include "pool/PoolLoad.h"
#include "pool/StoreWatch.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// Follows the shared records through a StoreWatch, and may lag behind the
/// store by the delay of that watch.
class JobCache {
public:
  struct Entry {
    /// Unset until the job record itself has been received.
    std::optional<JobSpec> Spec;
    /// Revision of the job record.
    StoreRevision Version;
    JobStatus Status = JobStatus::Queued;
    bool Cancelled = false;

    /// The status that is shown to callers.
    JobStatus visibleStatus() const {
      return Cancelled && !isFinal(Status) ? JobStatus::Cancelled : Status;
    }
  };

  JobCache(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
           WatchTiming Timing);

  void start() { Watch.start(); }
  StoreWatch &watch() { return Watch; }
  const StoreWatch &watch() const { return Watch; }

  const std::map<JobId, Entry> &jobs() const { return Jobs; }
  /// Returns the entry of a job; null if the job is not known.
  const Entry *findJob(JobId Id) const;
  /// Returns the number of accepted jobs of a queue that have not started,
  /// excluding scheduled jobs.
  std::size_t countPending(const QueueId &Queue) const;
  /// Returns the revision of a rejected job's refusal marker; the zero
  /// revision if there is none.
  StoreRevision refusalRevision(JobId Id) const;
  /// Returns when this daemon has received the mark of a job that was cancelled
  /// before it was accepted; nothing if there is no mark.
  std::optional<TimePoint> cancelMarkedAt(JobId Id) const;
  /// Returns the jobs that have a refusal marker.
  std::vector<JobId> refusedJobs() const;
  /// Returns the load that the owner published last; null if it is outdated.
  const PoolLoad *load() const;
  /// Returns the jobs whose records are newer than the load that the owner
  /// published last, by revision.
  const std::map<StoreRevision, JobId> &acceptedSinceLoad() const {
    return AcceptedSinceLoad;
  }
  /// Returns the store entry of the pool's owner; nullopt if there is no
  /// owner.
  const std::optional<StoreEntry> &owner() const { return Owner; }

  /// Sets a callback that is called for each changed job once all changes that
  /// arrived with it have been applied.
  void setJobListener(std::function<void(JobId)> Listener) {
    JobListener = std::move(Listener);
  }
  /// Sets a callback that is called after each change of the owner entry.
  void setOwnerListener(std::function<void()> Listener) {
    OwnerListener = std::move(Listener);
  }

private:
  void entryChanged(const std::string &Key, const StoreEntry *Entry);
  void jobChanged(const std::string &Key, const StoreEntry *Entry);
  void loadChanged(const StoreEntry *Entry);
  /// Forgets the job record itself.
  void endRecord(Entry &Job);
  void reportChangedJobs();

  Timers &Clock;
  DecisionLog &Log;
  std::map<JobId, Entry> Jobs;
  std::map<JobId, StoreRevision> RefusedJobs;
  /// Jobs that were cancelled before they were accepted.
  std::map<JobId, TimePoint> CancelMarks;
  std::optional<PoolLoad> Load;
  TimePoint LoadReceivedAt;
  std::map<StoreRevision, JobId> AcceptedSinceLoad;
  std::optional<StoreEntry> Owner;
  /// Jobs whose listener has not been called, in the order of their changes.
  std::vector<JobId> ChangedJobs;
  std::function<void(JobId)> JobListener;
  std::function<void()> OwnerListener;
  StoreWatch Watch;
};

} // namespace banyanworks::pool

#endif
