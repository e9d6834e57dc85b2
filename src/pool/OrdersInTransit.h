/// \file
/// Defines OrdersInTransit, the start orders that got no answer and that a
/// worker may still carry out.
#ifndef BANYANWORKS_POOL_ORDERSINTRANSIT_H
#define BANYANWORKS_POOL_ORDERSINTRANSIT_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/RunTable.h"
#include "pool/WorkerOrders.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanworks::pool {

/// A copy of an order can outlive what is known of its run: the answer to a
/// later copy, the end of the run and its stop. The incarnation of the worker
/// that saw these refuses the copy, but the next one knows nothing of them, so
/// that the run has to be stopped there again. An order of an earlier owner is
/// refused once this owner has called the worker, by its fencing token.
class OrdersInTransit {
public:
  /// Handles a start order that is sent to an incarnation of a worker.
  void sent(const WorkerId &Id, const RunKey &Run, Incarnation Life,
            TimePoint Now);
  void answered(const WorkerId &Id, const RunKey &Run, OrderResult Result,
                TimePoint Now);
  /// Forgets the orders that can no longer arrive.
  void expire(TimePoint Now);
  /// Forgets a worker that has been replaced; its address now refuses orders to
  /// it.
  void forget(const WorkerId &Id) { Workers.erase(Id); }

  bool contains(const WorkerId &Id) const { return Workers.contains(Id); }
  bool contains(const WorkerId &Id, const RunKey &Run) const;
  /// Returns the runs whose orders were sent to another incarnation of the
  /// worker than \p Life; each run is returned once for an incarnation.
  std::vector<RunKey> takeUnknownTo(const WorkerId &Id, Incarnation Life);

private:
  struct Copies {
    /// The incarnation that the newest copy was sent to, or that the run was
    /// returned for; zero if it is not known.
    Incarnation Life;
    /// When the copy was sent whose answer is awaited.
    std::optional<TimePoint> AwaitedSince;
    /// Until then, a copy without an answer may arrive.
    TimePoint LateUntil = TimePoint::min();

    bool mayArrive(TimePoint Now) const;
  };

  std::unordered_map<WorkerId, std::map<RunKey, Copies>> Workers;
};

} // namespace banyanworks::pool

#endif
