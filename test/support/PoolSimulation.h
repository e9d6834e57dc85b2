/// \file
/// Defines PoolSimulation, several daemons that share a store and a pool of
/// workers in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_POOLSIMULATION_H
#define BANYANWORKS_TEST_SUPPORT_POOLSIMULATION_H

#include "pool/JobCache.h"
#include "pool/JobIntake.h"
#include "pool/ObservedStore.h"
#include "pool/PoolOwner.h"
#include "pool/StoreHealth.h"
#include "support/FakeWorkerPool.h"
#include "support/RecordingLog.h"
#include "support/TransactionStore.h"
#include "support/VirtualTimers.h"

#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// One daemon of a PoolSimulation. It can be killed and restarted.
struct PoolDaemon {
  VirtualTimers Timers;
  RecordingLog Log;
  StoreSession Store;
  pool::StoreHealth Health;
  pool::ObservedStore CheckedStore;
  WorkerSession Workers;
  std::unique_ptr<pool::JobCache> KnownJobs;
  std::unique_ptr<pool::JobIntake> Intake;
  std::unique_ptr<pool::PoolOwner> Owner;

  PoolDaemon(VirtualClock &Clock, TransactionStore &Shared,
             FakeWorkerPool &Pool, std::uint64_t Seed)
      : Timers(Clock), Log(Clock), Store(Shared, Timers, Seed),
        CheckedStore(Store, Timers, Health),
        Workers(Pool, Clock, Timers, Seed + 1) {}
};

/// Runs the daemons, the store and the workers on one virtual clock.
class PoolSimulation {
public:
  /// Creates \p Racks racks of eight workers each; each rack is also a failure
  /// domain.
  PoolSimulation(std::uint64_t Seed, unsigned Daemons, unsigned Racks,
                 const pool::PoolLimits &Limits = {},
                 const pool::OwnerLimits &Ownership = {},
                 bool DetectsOutages = true);
  ~PoolSimulation();
  PoolSimulation(const PoolSimulation &) = delete;
  PoolSimulation &operator=(const PoolSimulation &) = delete;

  VirtualClock Clock;
  TransactionStore Shared;
  FakeWorkerPool Pool;

  PoolDaemon &daemon(std::size_t Number) { return *Daemons.at(Number); }
  std::size_t daemonCount() const { return Daemons.size(); }
  void kill(std::size_t Number);
  void restart(std::size_t Number);
  /// Returns the daemon that owns the pool; nullopt if there is none.
  std::optional<std::size_t> owner() const;

  /// Creates a job of one step and registers it, so that the workers know its
  /// run time.
  pool::JobSpec job(std::uint64_t Id, std::uint32_t Tasks,
                    std::int32_t Accelerators, bool Gang,
                    Duration RunTime = std::chrono::seconds(1));
  /// Submits a job at a daemon. The result is unset until the daemon answers.
  std::shared_ptr<std::optional<Reason>> submit(std::size_t Number,
                                                const pool::JobSpec &Spec);
  void cancel(std::size_t Number, JobId Id);
  /// The status that callers are shown, derived from the store.
  pool::JobStatus visibleStatus(JobId Id) const;

  void setDomainsOutOfService(const std::set<DomainId> &OutOfService);
  /// Removes a worker from the directory.
  void unlistWorker(const WorkerId &Id);
  /// Adds a label to a worker in the directory.
  void labelWorker(const WorkerId &Id, const std::string &Label);
  /// Changes the capacity of a worker, and its entry in the directory.
  void resizeWorker(const WorkerId &Id, const Resources &Capacity);
  /// Adds a worker to the directory, or lists it as draining.
  void listWorker(const WorkerId &Id, bool Draining = false);
  /// Restarts a worker under its id; the directory shows that later.
  void restartWorker(const WorkerId &Id);
  /// Sets whether the daemons reach a worker and hear its answers.
  void setReachable(const WorkerId &Id, bool Reachable);
  /// Cuts a worker off in one direction, until it is set reachable: it executes
  /// the daemons' calls, and its answers are lost.
  void loseAnswers(const WorkerId &Id);
  /// Removes all faults of the daemons and restarts those that were killed.
  void removeDaemonFaults();
  /// Writes the log lines of all daemons.
  void writeLogs(std::ostream &Out) const;

  /// Gives the configuration to all running daemons.
  void applyConfiguration();
  const pool::JobSpec &spec(JobId Id) const { return Jobs.at(Id); }

  pool::PoolConfiguration Configuration;
  /// Whether the entries of daemons that start from now on reject submissions
  /// in a known store outage.
  bool DetectsOutages;
  /// Whether a restarted daemon has the configuration from the start.
  bool ConfiguresNewDaemons = true;
  /// Limits of the entries of daemons that start from now on.
  pool::IntakeLimits Intake;
  /// Outcomes of the answered submissions of each job, at any daemon, in the
  /// order of the answers.
  std::map<JobId, std::vector<Reason>> Answers;
  /// Retry delay of the last response to a caller, by job.
  std::map<JobId, Duration> RetryAfter;

  void runFor(Duration Span) { Clock.runUntil(Clock.now() + Span); }

private:
  void startDaemon(std::size_t Number);
  /// Tells all daemons of a worker's entry in the directory, or that it has
  /// none.
  void announce(const WorkerId &Id);

  std::uint64_t Seed;
  pool::PoolLimits Limits;
  pool::OwnerLimits Ownership;
  std::vector<std::unique_ptr<PoolDaemon>> Daemons;
  /// Components of killed daemons, kept because calls in flight still refer to
  /// them.
  std::vector<std::unique_ptr<pool::JobCache>> OldJobCaches;
  std::vector<std::unique_ptr<pool::JobIntake>> OldIntakes;
  std::vector<std::unique_ptr<pool::PoolOwner>> OldOwners;
  std::map<JobId, pool::JobSpec> Jobs;
  std::map<JobId, Duration> RunTimes;
  std::map<WorkerId, pool::PoolWorker> Directory;
  std::set<DomainId> DomainsOutOfService;
};

} // namespace banyanworks::testing

#endif
