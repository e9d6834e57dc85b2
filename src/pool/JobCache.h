/// \file
/// Defines JobBoard, a daemon's copy of what the store says of all jobs.
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

/// May lag behind the store by as much as its watch.
class JobCache {
public:
  struct Entry {
    /// Nothing until the job itself has been seen.
    std::optional<JobSpec> Spec;
    JobStatus Status = JobStatus::Queued;
    bool Cancelled = false;

    /// What a caller is shown.
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
  /// Null if the job is not known.
  const Entry *findJob(JobId Id) const;
  /// Accepted jobs of a queue without a start; scheduled ones are not counted.
  std::size_t countPending(const QueueId &Queue) const;
  /// The mark of a job that was turned away; the zero revision if there is
  /// none.
  StoreRevision refusalRevision(JobId Id) const;
  std::vector<JobId> refusedJobs() const;
  /// What the owner told last of the pool's load; null if that is old.
  const PoolLoad *load() const;
  /// The entry of the pool's owner; nothing if there is none.
  const std::optional<StoreEntry> &owner() const { return Owner; }

  /// Called after each change of a job, and of the owner.
  void setJobListener(std::function<void(JobId)> Listener) {
    JobListener = std::move(Listener);
  }
  void setOwnerListener(std::function<void()> Listener) {
    OwnerListener = std::move(Listener);
  }

private:
  void entryChanged(const std::string &Key, const StoreEntry *Entry);
  void jobChanged(const std::string &Key, const StoreEntry *Entry);
  void loadChanged(const StoreEntry *Entry);

  Timers &Clock;
  DecisionLog &Log;
  std::map<JobId, Entry> Jobs;
  std::map<JobId, StoreRevision> RefusedJobs;
  std::optional<PoolLoad> Load;
  TimePoint LoadReceivedAt;
  std::optional<StoreEntry> Owner;
  std::function<void(JobId)> JobListener;
  std::function<void()> OwnerListener;
  StoreWatch Watch;
};

} // namespace banyanworks::pool

#endif
