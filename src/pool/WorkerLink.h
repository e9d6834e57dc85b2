/// \file
/// Defines WorkerLink, through which the owner of a pool gives its orders.
#ifndef BANYANWORKS_POOL_WORKERLINK_H
#define BANYANWORKS_POOL_WORKERLINK_H

#include "pool/PoolWorker.h"
#include "pool/WorkerOrders.h"

#include <functional>

namespace banyanworks::pool {

/// The share by which a worker's clock may be slow, as the platform states it.
inline constexpr double WorkerClockError = 0.02;

/// Renews the lease of all runs on a worker and asks for what became of them.
struct RenewOrder {
  /// Ends up to this one need not be reported again.
  std::uint64_t Acknowledged = 0;
  /// How long the worker may wait for a run to end before it answers.
  Duration MaxWait{};
  /// False to ask only: the lease is not extended.
  bool ExtendLease = true;
  /// How long the answer is waited for, beside Wait.
  Duration Timeout = std::chrono::milliseconds(600);
};

/// Each order is answered exactly once, from the event loop. An order without
/// an answer may be carried out seconds later. Orders extend the worker's lease
/// to its longest, and lapsesBy() bounds when it ends.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;

  /// The token under which all further orders are given.
  virtual void useToken(Epoch Token) = 0;
  virtual void renew(const PoolWorker &Worker, const RenewOrder &Order,
                     std::function<void(WorkerReport)> Done) = 0;
  virtual void start(const PoolWorker &Worker, const StartOrder &Order,
                     std::function<void(OrderResult)> Done) = 0;
  virtual void stop(const PoolWorker &Worker, const StopOrder &Order,
                    std::function<void(OrderResult)> Done) = 0;
  virtual void pace(const PoolWorker &Worker, const PaceOrder &Order,
                    std::function<void(OrderResult)> Done) = 0;
  /// When every lease that this link has granted the worker is surely over.
  virtual TimePoint leasesEndBy(const WorkerId &Worker) const = 0;
};

} // namespace banyanworks::pool

#endif
