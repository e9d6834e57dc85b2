/// \file
/// Defines PoolWorld, several daemons that share a store and a pool of workers
/// in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_POOLSIMULATION_H
#define BANYANWORKS_TEST_SUPPORT_POOLSIMULATION_H

#include "pool/JobCache.h"
#include "pool/JobIntake.h"
#include "pool/PoolOwner.h"
#include "support/FakeWorkerPool.h"
#include "support/RecordingLog.h"
#include "support/TransactionStore.h"
#include "support/VirtualTimers.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// One daemon of a PoolWorld. It can be killed and started again.
struct PoolDaemon {
  VirtualTimers Timers;
  RecordingLog Log;
  StoreSession Store;
  WorkerSession Workers;
  std::unique_ptr<pool::JobCache> KnownJobs;
  std::unique_ptr<pool::JobIntake> Intake;
  std::unique_ptr<pool::PoolOwner> Owner;

  PoolDaemon(VirtualClock &Clock, TransactionStore &Shared,
             FakeWorkerPool &Pool, std::uint64_t Seed)
      : Timers(Clock), Log(Clock), Store(Shared, Timers, Seed),
        Workers(Pool, Clock, Timers, Seed + 1) {}
};

class PoolSimulation {
public:
  /// \p Racks of eight workers each; a rack is a failure domain too.
  PoolSimulation(std::uint64_t Seed, unsigned Daemons, unsigned Racks,
                 const pool::PoolLimits &Limits = {});
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
  /// The daemon that owns the pool; nothing if there is none.
  std::optional<std::size_t> owner() const;

  /// A job of one step; it is kept for final().
  pool::JobSpec job(std::uint64_t Id, std::uint32_t Tasks,
                    std::int32_t Accelerators, bool Gang,
                    Duration Work = std::chrono::seconds(1));
  /// The answer, or nothing while there is none.
  std::shared_ptr<std::optional<Reason>> submit(std::size_t Number,
                                                const pool::JobSpec &Spec);
  void cancel(std::size_t Number, JobId Id);
  /// The status that a caller is shown, by what stands in the store.
  pool::JobStatus visibleStatus(JobId Id) const;

  void setDomainsOutOfService(const std::set<DomainId> &OutOfService);
  /// Takes a worker off the directory, or lists it as draining.
  void unlistWorker(const WorkerId &Id);
  void listWorker(const WorkerId &Id, bool Draining = false);

  pool::PoolConfiguration Configuration;
  /// When callers were told to come back, by job.
  std::map<JobId, Duration> RetryAfter;

  void runFor(Duration Span) { Clock.runUntil(Clock.now() + Span); }

private:
  void startDaemon(std::size_t Number);

  std::uint64_t Seed;
  pool::PoolLimits Limits;
  std::vector<std::unique_ptr<PoolDaemon>> Daemons;
  /// Parts of killed daemons, which calls on their way still refer to.
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
