/// \file
/// Defines WorkerLink, the interface through which the owner of a pool sends
/// orders to workers.
#ifndef BANYANWORKS_POOL_WORKERLINK_H
#define BANYANWORKS_POOL_WORKERLINK_H

#include "pool/PoolWorker.h"
#include "pool/WorkerOrders.h"

#include <functional>

namespace banyanworks::pool {

/// Maximum relative rate by which a worker's clock may be slow, as specified
/// by the platform.
inline constexpr double WorkerClockError = 0.02;
/// Longest time after which an order without an answer is carried out, as
/// specified by the platform.
inline constexpr Duration LongestOrderDelay = std::chrono::seconds(12);

/// Renews the lease of all runs on a worker and requests a report of their
/// state.
struct RenewOrder {
  /// Sequence number up to which ends need not be reported again.
  std::uint64_t Acknowledged = 0;
  /// Time for which the worker may wait for a run to end before it answers.
  Duration MaxWait{};
  /// False for a report only, without extending the lease.
  bool ExtendLease = true;
  /// Response timeout, in addition to MaxWait.
  Duration Timeout = std::chrono::milliseconds(600);
};

/// Each order is answered exactly once, from the event loop. An order without
/// an answer may still be executed seconds later. Orders extend the worker's
/// lease to its maximum, or to the limit if that is earlier; leasesEndBy()
/// bounds the time at which it ends.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;

  /// Sets the fencing token of all further orders.
  virtual void useToken(Epoch Token) = 0;
  /// Sets the time by which all leases granted from now on have to end, also on
  /// a worker with a slow clock.
  virtual void limitLeases(TimePoint EndBy) = 0;
  virtual void renew(const PoolWorker &Worker, const RenewOrder &Order,
                     std::function<void(WorkerReport)> Done) = 0;
  virtual void start(const PoolWorker &Worker, const StartOrder &Order,
                     std::function<void(OrderResult)> Done) = 0;
  virtual void stop(const PoolWorker &Worker, const StopOrder &Order,
                    std::function<void(OrderResult)> Done) = 0;
  virtual void pace(const PoolWorker &Worker, const PaceOrder &Order,
                    std::function<void(OrderResult)> Done) = 0;
  /// Time by which every lease that this link has granted to the worker has
  /// certainly ended.
  virtual TimePoint leasesEndBy(const WorkerId &Worker) const = 0;
};

} // namespace banyanworks::pool

#endif
