/// \file
/// Defines PoolOwner, which competes for the ownership of the pool and, while
/// it has it, records and carries out what the scheduler decides.
#ifndef BANYANWORKS_POOL_POOLOWNER_H
#define BANYANWORKS_POOL_POOLOWNER_H

#include "base/Ids.h"
#include "base/Random.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolScheduler.h"
#include "state/Lease.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
class JobBoard;
class WorkerLink;
struct RenewOrder;

/// The time limits of a PoolOwner.
struct OwnerLimits {
  /// The ownership ends so long after its last renewal. Urgent work has a
  /// second or two of slack, which a takeover may use up; below this, answers
  /// of a slow store (0.4 s) would end it.
  Duration LeaseTime = std::chrono::milliseconds(1300);
  Duration LeaseRenewal = std::chrono::milliseconds(300);
  /// Daemons that compete wait a random time up to this first.
  Duration ElectionSpread = std::chrono::milliseconds(120);
  /// How long this daemon lets others go first; longer on a small VM.
  Duration ElectionDelay{};
  Duration ElectionRetry = std::chrono::milliseconds(400);
  Duration CommitTimeout = std::chrono::milliseconds(1000);
  Duration CommitRetry = std::chrono::milliseconds(50);
  /// How often the load of the pool is told to all daemons, with a commit that
  /// is made anyway; a burst fills a pool within a few seconds.
  Duration LoadPublishInterval = std::chrono::milliseconds(500);
  /// The pause after a question that the adviser did not answer.
  Duration AdviceRetry = std::chrono::milliseconds(100);
  /// An owner that cannot renew its lease goes on renewing the workers' leases
  /// for so long, since the store may be down for all; a successor relies on
  /// this bound for workers that it cannot reach.
  Duration RenewWithoutStoreLimit = std::chrono::seconds(10);
  /// The longest lease that a worker grants.
  Duration LongestWorkerLease = std::chrono::seconds(6);
  /// How long a worker with running tasks may hold a renewal.
  Duration RenewalWait = std::chrono::milliseconds(400);
  /// The pause after a renewal that got no answer. A cut may last nearly as
  /// long as a lease, so that the work is saved by asking again soon after it.
  Duration UnresponsiveRetry = std::chrono::milliseconds(60);
  /// How long the answer of a silent worker is waited for: several round trips.
  Duration UnresponsiveTimeout = std::chrono::milliseconds(250);
  /// Events are gathered for so long before the scheduler takes its turn.
  Duration BatchDelay = std::chrono::milliseconds(5);
  /// The longest time between two turns.
  Duration MaxPassInterval = std::chrono::milliseconds(200);
  /// How often all workers are looked through; well below the pauses between
  /// two renewals of a worker that holds work.
  Duration SweepInterval = std::chrono::milliseconds(100);
  /// How long the record of a final job is kept.
  Duration KeepFinal = std::chrono::seconds(180);
};

class PoolOwner {
public:
  PoolOwner(AsyncStore &Store, WorkerLink &Workers, Timers &Clock,
            DecisionLog &Log, JobBoard &Board, DaemonId Self,
            const OwnerLimits &Limits, const PoolLimits &Scheduling,
            std::uint64_t Seed);
  ~PoolOwner();
  PoolOwner(const PoolOwner &) = delete;
  PoolOwner &operator=(const PoolOwner &) = delete;

  void start();
  /// Gives the ownership up and does not compete for it again.
  void retire();

  void configure(const PoolConfiguration &NewConfiguration);
  void setDomainsOut(std::set<DomainId> Out);
  /// The directory of workers: an entry as it is now, or nothing if it is gone.
  void workerChanged(const WorkerId &Id, const PoolWorker *Entry);
  /// Workers that get no new work, and those of them that their work is moved
  /// away from, until the next call.
  void setCordoned(std::set<WorkerId> Cordoned, std::set<WorkerId> Evacuating);
  /// Whether a worker may still hold work; true while that is not known.
  bool holdsRuns(const WorkerId &Id) const;
  /// The adviser of advised queues; without one their jobs wait.
  void useAdviser(Adviser &Service) { AdviserService = &Service; }
  /// Called with the spans of tasks while this daemon owns the pool.
  void observe(SpanObserver Callback) { Observer = std::move(Callback); }
  /// Called when the ownership comes and goes.
  void onRole(std::function<void(bool Owner)> Callback) {
    RoleChanged = std::move(Callback);
  }

  bool owns() const { return Phase == Role::Owner; }
  Epoch token() const { return Token; }
  const PoolScheduler *scheduler() const { return Scheduler.get(); }

private:
  /// Why an owner steps down that was cut off from the store, or paused.
  static constexpr std::string_view NotRenewed = "not renewed for too long";

  enum class Role : std::uint8_t { Follower, Acquiring, Recovering, Owner };

  void ownerChanged();
  void scheduleElection(Duration Delay);
  void acquire();
  void claim(StoreLeaseId Lease, StoreRevision Head, TimePoint SentAt);
  void ownershipAcquired(StoreRevision Version);
  void recover();
  void restoreJobs(const std::vector<StoreEntry> &Records);
  void stepDown(std::string_view Reason);
  /// Whether the last renewal of the ownership is recent enough to give orders
  /// and to extend leases; a successor relies on the bound.
  bool mayActAt(TimePoint Now) const {
    return Now - RenewedAt < Limits.RenewWithoutStoreLimit;
  }
  void renewOwnership();

  void jobChanged(JobId Id);
  void schedulePass();
  void runPass();
  /// What one commit records, kept until its outcome is known.
  struct PendingCommit;
  void commit();
  void sendCommit(const std::shared_ptr<PendingCommit> &Write);
  void commitDone(const std::shared_ptr<PendingCommit> &Write,
                  const TransactionResult &Result);
  std::string nextHead();
  void sendOrders(const PoolOrders &Orders);
  void askAdviser();
  /// The renewals of one worker's lease.
  struct Renewal {
    bool InFlight = false;
    /// Not before then, unless there are ends to acknowledge.
    TimePoint NotBefore;
    std::uint64_t AcknowledgedTo = 0;
  };
  /// Takes leases for lost that have surely run out on silent workers.
  void expireLeases(TimePoint Now);
  /// Renews what is due, on all workers or on those that have changed.
  void renewWorkers(bool All);
  /// Renews the leases of a worker if that is due.
  void renewIfDue(const RenewalState &State, TimePoint Now);
  void renewWorker(const RenewalState &State, Renewal &Tracked);
  void renewalAnswered(const WorkerId &Id, const RenewOrder &Order,
                       TimePoint SentAt, const WorkerReport &Report);
  /// Renews a worker's lease after a pause if that is due then.
  void renewLater(const WorkerId &Id, Duration Pause);
  TimePoint leasesEndBy(const RenewalState &State) const;
  void removeFinalJobs();

  AsyncStore &Store;
  WorkerLink &Workers;
  Timers &Clock;
  DecisionLog &Log;
  JobBoard &Board;
  DaemonId Self;
  OwnerLimits Limits;
  PoolLimits Scheduling;
  Random Generator;
  std::function<void(bool)> RoleChanged;
  Adviser *AdviserService = nullptr;
  SpanObserver Observer;

  Role Phase = Role::Follower;
  bool Retired = false;
  bool ElectionScheduled = false;
  /// Counts changes of role; answers to calls of an earlier term are dropped.
  std::uint64_t Term = 0;
  Lease Ownership;
  Epoch Token;
  StoreRevision Head;
  TimePoint TookOverAt;
  TimePoint RenewedAt;
  std::unique_ptr<PoolScheduler> Scheduler;
  PoolConfiguration Configuration;
  std::set<DomainId> DomainsOut;
  std::map<WorkerId, PoolWorker> Directory;
  std::unordered_map<WorkerId, Renewal> Renewals;
  bool PassScheduled = false;
  TimePoint LastPassAt;
  TimePoint LastSweepAt;
  TimePoint LoadPublishedAt;
  bool CommitInFlight = false;
  bool AdviceInFlight = false;
  std::uint64_t CommitCount = 0;
  std::map<JobId, TimePoint> FinalJobs;
};

} // namespace banyanworks::pool

#endif
