/// \file
/// Defines ScriptedPool, a PoolScheduler whose workers' answers a test gives.
#ifndef BANYANWORKS_TEST_SUPPORT_SCRIPTEDPOOL_H
#define BANYANWORKS_TEST_SUPPORT_SCRIPTEDPOOL_H

#include "pool/PoolScheduler.h"
#include "support/RecordingLog.h"
#include "support/VirtualClock.h"

#include <cstdint>
#include <vector>

namespace banyanworks::testing {

/// A scheduler with the queues "urgent", of priority 0, and "batch", of
/// priority 2, and no workers. The test sets the time and gives all answers.
class ScriptedPool {
public:
  static constexpr WallTime Wall{std::chrono::seconds(100)};
  static constexpr Resources WholeWorker{32000, 131072, 8};

  explicit ScriptedPool(const pool::PoolLimits &Limits = {});

  const pool::PoolLimits Limits;
  VirtualClock Clock;
  RecordingLog Log{Clock};
  pool::PoolScheduler Scheduler{Limits, Log};
  pool::PoolConfiguration Configuration;
  TimePoint Now{std::chrono::seconds(100)};

  /// Lists a worker in the directory.
  void list(const WorkerId &Id, const Resources &Capacity = WholeWorker,
            Incarnation Life = {});
  /// Answers a renewal that was requested now: the worker runs \p Running.
  void report(const WorkerId &Id,
              const std::vector<pool::StartOrder> &Running = {},
              Incarnation Life = {});
  /// Returns a job of one task.
  pool::JobSpec job(std::uint64_t Id, const Resources &PerTask,
                    const char *Queue = "batch") const;
  void submit(std::uint64_t Id, const Resources &PerTask,
              const char *Queue = "batch");

  pool::PoolOrders pass() { return Scheduler.runPass(Now, Wall); }
  void commit();
  /// Places what fits, and returns its start orders.
  std::vector<pool::StartOrder> starts();
  /// Starts what fits.
  std::vector<pool::StartOrder> startAll();
};

} // namespace banyanworks::testing

#endif
