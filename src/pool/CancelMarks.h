/// \file
/// Defines CancelMarks, the lease and the rate of the marks that a daemon
/// writes for jobs that are cancelled before they are accepted.
#ifndef BANYANWORKS_POOL_CANCELMARKS_H
#define BANYANWORKS_POOL_CANCELMARKS_H

#include "base/Time.h"
#include "state/Store.h"

#include <optional>

namespace banyanworks::pool {

/// A mark prevents that a submission which is still on its way creates the job.
/// The marks of a daemon share leases, so that the store removes them by
/// itself, and their rate is limited, since anybody may cancel ids that do not
/// exist.
class CancelMarks {
public:
  /// Time for which a mark lasts at least. A submission is on its way for the
  /// caller's deadline, the pause or the partition of a daemon, and the delay
  /// of a write without an answer, all of which take seconds.
  static constexpr Duration Retention = std::chrono::seconds(60);
  /// Time for which a lease is given to new marks.
  static constexpr Duration LeaseReuse = std::chrono::seconds(15);
  /// Time to live of the leases.
  static constexpr Duration LeaseTime = Retention + LeaseReuse;
  /// Age up to which a mark stands for another cancel of the same id.
  static constexpr Duration RepeatTime = std::chrono::seconds(10);
  /// Marks that a daemon writes per second in the long run, and at once.
  static constexpr double Rate = 20.0;
  static constexpr double Burst = 100.0;

  /// Whether another mark may be written; counts it if so.
  bool admit(TimePoint Now);
  /// The lease for a mark that is written at \p Now; nothing if a new one has
  /// to be granted.
  std::optional<StoreLeaseId> lease(TimePoint Now) const;
  /// Handles a lease that the store granted on a call sent at \p SentAt.
  void leaseGranted(StoreLeaseId Granted, Duration TimeToLive,
                    TimePoint SentAt);
  /// Handles a lease that the store no longer knows.
  void leaseGone(StoreLeaseId Gone);

private:
  std::optional<StoreLeaseId> Current;
  /// From then on, marks get another lease.
  TimePoint ReplaceAt;
  double Credit = Burst;
  TimePoint CreditAt;
};

} // namespace banyanworks::pool

#endif
