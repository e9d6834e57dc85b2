/// \file
/// Defines PoolOwner, which competes for the ownership of the pool and, as the
/// owner, records the scheduler's decisions and sends its orders.
#ifndef BANYANWORKS_POOL_POOLOWNER_H
#define BANYANWORKS_POOL_POOLOWNER_H

#include "base/Ids.h"
#include "base/Random.h"
#include "pool/CommitIsolation.h"
#include "pool/LeaseBounds.h"
#include "pool/LeaseHorizon.h"
#include "pool/PassPace.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolScheduler.h"
#include "pool/RestartWatch.h"
#include "state/Lease.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
struct Transaction;
struct TransactionResult;
} // namespace banyanworks

namespace banyanworks::pool {

class Adviser;
class JobCache;
class WorkerLink;
struct RenewOrder;

/// Time limits of a PoolOwner.
struct OwnerLimits {
  /// Lifetime of the ownership lease after a renewal. Urgent work has a second
  /// or two of slack, which a takeover may use up; with a shorter lease, the
  /// response time of a slow store (0.4 s) would end the ownership.
  Duration LeaseTime = std::chrono::milliseconds(1300);
  Duration LeaseRenewal = std::chrono::milliseconds(300);
  /// Upper bound of the random delay before a daemon competes in an election.
  Duration ElectionSpread = std::chrono::milliseconds(120);
  /// Fixed delay before this daemon competes; larger on a small VM, so that
  /// other daemons are preferred.
  Duration ElectionDelay{};
  Duration ElectionRetry = std::chrono::milliseconds(400);
  Duration CommitTimeout = std::chrono::milliseconds(1000);
  Duration CommitRetry = std::chrono::milliseconds(50);
  /// Retry delay while the store refuses every commit.
  Duration RefusedCommitRetry = std::chrono::seconds(1);
  /// Interval at which the load of the pool is published to all daemons, as
  /// part of a commit that is due anyway; a burst fills a pool within a few
  /// seconds.
  Duration LoadPublishInterval = std::chrono::milliseconds(500);
  /// Retry delay after a request that the adviser did not answer.
  Duration AdviceRetry = std::chrono::milliseconds(100);
  /// Time for which an owner without a renewed ownership lease still renews the
  /// workers' leases, since the store may be down for all daemons.
  Duration RenewWithoutStoreLimit = std::chrono::seconds(10);
  /// Time after a renewal of the ownership lease for which workers are granted
  /// their longest lease. Without another renewal, all leases end together. A
  /// successor relies on that for workers that it cannot reach, so a longer
  /// time keeps more work over a store outage and delays more work after a
  /// takeover.
  Duration FullLeasesWithoutStore = std::chrono::seconds(3);
  /// Time after a recovery within which a worker has to answer; several round
  /// trips. The leases of those that did not are recorded for a successor.
  Duration LeaseListDelay = std::chrono::seconds(1);
  /// Longest lease that a worker grants.
  Duration MaxWorkerLease = std::chrono::seconds(6);
  /// Longest time for which a worker with running tasks may delay its answer to
  /// a renewal.
  Duration RenewalWait = std::chrono::milliseconds(400);
  /// Retry delay after a renewal without an answer. A network partition may
  /// last nearly as long as a lease; prompt retries then renew the lease before
  /// the work is lost.
  Duration UnresponsiveRetry = std::chrono::milliseconds(60);
  /// Interval at which an unresponsive worker without runs is asked for a
  /// report, so that it is used again when a network partition has ended.
  Duration SilentWorkerInterval = std::chrono::seconds(1);
  /// Response timeout for an unresponsive worker: several round trips.
  Duration UnresponsiveTimeout = std::chrono::milliseconds(250);
  /// Delay from the first event to the scheduling pass that handles it and
  /// those that follow.
  Duration BatchDelay = std::chrono::milliseconds(5);
  /// Longest time between two scheduling passes.
  Duration MaxPassInterval = std::chrono::milliseconds(200);
  /// Interval between sweeps over all workers; well below the interval between
  /// renewals of a worker that holds runs.
  Duration SweepInterval = std::chrono::milliseconds(100);
  /// Age of the directory of workers from which nothing starts: a start may
  /// rely on a capacity, or on a worker that is about to leave, for a few
  /// seconds after it has changed. Without changes, the view is confirmed each
  /// second.
  Duration MaxDirectoryAge = std::chrono::milliseconds(2500);
  /// Retention time of the record of a final job.
  Duration FinalJobRetention = std::chrono::seconds(180);
};

class PoolOwner {
public:
  PoolOwner(AsyncStore &Store, WorkerLink &Workers, Timers &Clock,
            DecisionLog &Log, JobCache &KnownJobs, DaemonId Self,
            const OwnerLimits &Limits, const PoolLimits &Scheduling,
            std::uint64_t Seed);
  ~PoolOwner();
  PoolOwner(const PoolOwner &) = delete;
  PoolOwner &operator=(const PoolOwner &) = delete;

  void start();
  /// Gives up the ownership and leaves all later elections.
  void retire();

  void configure(const PoolConfiguration &NewConfiguration);
  void setDomainsOutOfService(std::set<DomainId> OutOfService);
  /// Updates a worker in the directory; a null \p Entry removes the worker.
  void workerChanged(const WorkerId &Id, const PoolWorker *Entry);
  /// Replaces the set of cordoned workers, which get no new tasks, and the
  /// subset of evacuating workers, whose running tasks are moved elsewhere.
  /// Until the first call after a takeover, the workers in the TakedownRecord
  /// are cordoned.
  void setCordoned(std::set<WorkerId> Cordoned, std::set<WorkerId> Evacuating);
  /// Whether a worker may still hold runs or unrecorded ends; true while this
  /// daemon is not the owner and cannot tell.
  bool holdsRuns(const WorkerId &Id) const;
  /// Sets the adviser; jobs of queues that need advice wait while there is
  /// none.
  void useAdviser(Adviser &Service) { AdviserService = &Service; }
  /// Sets the function that returns as of when the directory of workers and the
  /// failure domains out of service are known to be current; without it, they
  /// count as current.
  void setDirectoryClock(std::function<TimePoint()> ConfirmedAt) {
    DirectoryConfirmedAt = std::move(ConfirmedAt);
  }
  /// Sets the observer of the task intervals measured while this daemon owns
  /// the pool.
  void observe(SpanObserver Callback) { Observer = std::move(Callback); }
  /// Sets the callback for gaining and losing the ownership.
  void onRole(std::function<void(bool Owner)> Callback) {
    RoleChanged = std::move(Callback);
  }

  bool owns() const { return Phase == Role::Owner; }
  /// Whether no other daemon can own the pool yet. An owner that cannot renew
  /// its lease keeps the role for longer, to renew the leases of the workers;
  /// it must not act where nothing rejects the orders of a former owner.
  bool holdsLease() const;
  Epoch token() const { return Token; }
  const PoolScheduler *scheduler() const { return Scheduler.get(); }

private:
  /// Reason logged when an owner steps down after a store outage or a process
  /// pause.
  static constexpr std::string_view NotRenewed =
      "ownership lease not renewed within its time limit";

  enum class Role : std::uint8_t { Follower, Acquiring, Recovering, Owner };

  void ownerChanged();
  void scheduleElection(Duration Delay);
  void acquire();
  /// Claims the ownership. \p LastCommit is the entry of the head; default if
  /// there is none.
  void claim(StoreLeaseId Lease, const StoreEntry &LastCommit,
             TimePoint SentAt);
  void ownershipAcquired(StoreRevision Version);
  void recover();
  void restoreJobs(const std::vector<StoreEntry> &Records);
  /// Adds a stored part to the progress of its job, by job.
  void restorePart(const StoreEntry &Record,
                   std::map<JobId, JobProgress> &Restored);
  void restoreLeaseBounds(const std::string &Stored);
  void restoreCordons(const std::string &Stored);
  void stepDown(std::string_view Reason);
  /// Records a renewal of the ownership lease, sent at \p SentAt.
  void recordRenewal(TimePoint SentAt);
  /// Whether the last renewal of the ownership is recent enough to send orders
  /// and to extend leases.
  bool mayActAt(TimePoint Now) const {
    return Now - RenewedAt < Limits.RenewWithoutStoreLimit;
  }
  void renewOwnership();

  void jobChanged(JobId Id);
  void schedulePass();
  /// Sends the orders that are due, and places tasks if the pace of the passes
  /// allows it.
  void runPass();
  /// Schedules a pass for the time at which it may place tasks.
  void schedulePlacement(TimePoint Now);
  /// The contents of a commit, kept until its outcome is known.
  struct PendingCommit;
  void commit();
  void sendCommit(const std::shared_ptr<PendingCommit> &Write);
  /// Handles a commit that the store refuses for its content.
  void commitRefused(const PendingCommit &Write);
  void commitDone(const std::shared_ptr<PendingCommit> &Write,
                  const TransactionResult &Result);
  std::string nextHead();
  void sendOrders(const PoolOrders &Orders);
  /// Whether the directory of workers is recent enough to start tasks.
  bool directoryCurrent(TimePoint Now) const;
  void askAdviser();
  /// The state of one worker's lease renewals.
  struct Renewal {
    bool InFlight = false;
    /// Earliest time of the next renewal, unless there are ends to acknowledge.
    TimePoint NotBefore;
    std::uint64_t AcknowledgedTo = 0;
  };
  /// Treats the runs on unresponsive workers as lost once their leases must
  /// have expired.
  void expireLeases(TimePoint Now);
  /// Renews the leases that are due, on all workers or only on those whose
  /// renewal state has changed.
  void renewWorkers(bool IncludeUnchanged);
  /// Renews the lease of a worker if a renewal is due.
  void renewIfDue(const RenewalState &State, TimePoint Now);
  void renewWorker(const RenewalState &State, Renewal &Tracked);
  void renewalAnswered(const WorkerId &Id, const RenewOrder &Order,
                       TimePoint SentAt, const WorkerReport &Report);
  /// Renews the lease of a worker after a pause, if a renewal is due by then.
  void renewLater(const WorkerId &Id, Duration Pause);
  TimePoint leasesEndBy(const RenewalState &State) const;
  /// Adds the workers that have not answered in time to the list of bounds, and
  /// releases those without runs.
  void updateLeaseBounds(TimePoint Now);
  /// Extends the leases of the workers that a commit removed from the list.
  void leaseBoundsCommitted(TimePoint Now);
  void removeFinalJobs();

  AsyncStore &Store;
  WorkerLink &Workers;
  Timers &Clock;
  DecisionLog &Log;
  JobCache &KnownJobs;
  DaemonId Self;
  OwnerLimits Limits;
  PoolLimits Scheduling;
  Random Generator;
  std::function<void(bool)> RoleChanged;
  Adviser *AdviserService = nullptr;
  SpanObserver Observer;
  std::function<TimePoint()> DirectoryConfirmedAt;

  Role Phase = Role::Follower;
  bool Retired = false;
  bool ElectionScheduled = false;
  /// Incremented with each acquisition and loss of the ownership; responses to
  /// calls of an earlier term are dropped.
  std::uint64_t Term = 0;
  Lease Ownership;
  Epoch Token;
  StoreRevision Head;
  TimePoint RenewedAt;
  TimePoint RecoveredAt;
  LeaseBounds Bounds;
  LeaseHorizon Horizon;
  bool UnansweredListed = false;
  std::unique_ptr<PoolScheduler> Scheduler;
  /// Empty until the first configuration is received.
  std::optional<PoolConfiguration> Configuration;
  std::set<DomainId> DomainsOutOfService;
  /// Set by setCordoned() since the ownership was acquired.
  std::optional<std::set<WorkerId>> Cordoned;
  std::set<WorkerId> Evacuating;
  std::map<WorkerId, PoolWorker> Directory;
  std::unordered_map<WorkerId, Renewal> Renewals;
  RestartWatch Restarts;
  bool PassScheduled = false;
  bool PlacementScheduled = false;
  PassPace Pace;
  TimePoint LastPassAt;
  TimePoint LastSweepAt;
  TimePoint LoadPublishedAt;
  bool CommitInFlight = false;
  bool AdviceInFlight = false;
  std::uint64_t CommitCount = 0;
  CommitIsolation Isolation;
  std::map<JobId, TimePoint> FinalJobs;
};

} // namespace banyanworks::pool

#endif
