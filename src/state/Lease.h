/// \file
/// Defines Lease, the holder's view of a store lease. It has a local deadline,
/// so that a holder that was paused detects that its lease may have expired.
#ifndef BANYANWORKS_STATE_LEASE_H
#define BANYANWORKS_STATE_LEASE_H

#include "base/Time.h"
#include "state/Store.h"

namespace banyanworks {

/// The deadline counts from the time at which the grant or renewal was sent, on
/// the holder's monotonic clock. The store counts from the receipt of the call,
/// which is later, so the holder's deadline always precedes the store's.
class Lease {
public:
  Lease() = default;
  /// A lease that was granted by a call sent at \p SentAt.
  Lease(StoreLeaseId Id, Duration TimeToLive, TimePoint SentAt)
      : LeaseId(Id), TimeToLive(TimeToLive), Deadline(SentAt + TimeToLive) {}

  StoreLeaseId id() const { return LeaseId; }
  /// The time from which the holder must not rely on the lease.
  TimePoint deadline() const { return Deadline; }
  bool isValid(TimePoint Now) const {
    return LeaseId != StoreLeaseId() && Now < Deadline;
  }
  /// The time to send the next renewal: one third of the lifetime after the
  /// last grant or renewal.
  TimePoint renewalTime() const {
    return Deadline - TimeToLive + TimeToLive / 3;
  }
  /// Records a successful renewal that was sent at \p SentAt. The answer to
  /// an older renewal does not shorten the lease.
  void recordRenewal(TimePoint SentAt) {
    if (LeaseId != StoreLeaseId() && SentAt + TimeToLive > Deadline)
      Deadline = SentAt + TimeToLive;
  }
  /// Drops the lease after the store reported it gone or the holder released
  /// it.
  void reset() { *this = Lease(); }

private:
  StoreLeaseId LeaseId;
  Duration TimeToLive{};
  TimePoint Deadline;
};

} // namespace banyanworks

#endif
