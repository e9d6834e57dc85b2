/// \file
/// Defines Lease, a store lease as its holder sees it: with a deadline of its
/// own, so that a holder that was paused knows that it may have lost it.
#ifndef BANYANWORKS_STATE_LEASE_H
#define BANYANWORKS_STATE_LEASE_H

#include "base/Time.h"
#include "state/Store.h"

namespace banyanworks {

/// The deadline counts from when the grant or renewal was sent, on the
/// holder's monotonic clock. The store counts from when it received the call,
/// which is later, so the holder's deadline always comes first.
class Lease {
public:
  Lease() = default;
  /// A lease granted by a call sent at \p SentAt.
  Lease(StoreLeaseId Id, Duration TimeToLive, TimePoint SentAt)
      : LeaseId(Id), TimeToLive(TimeToLive), Deadline(SentAt + TimeToLive) {}

  StoreLeaseId id() const { return LeaseId; }
  /// When the holder must stop relying on the lease.
  TimePoint deadline() const { return Deadline; }
  bool isValid(TimePoint Now) const {
    return LeaseId != StoreLeaseId() && Now < Deadline;
  }
  /// When the next renewal is to be sent: after a third of the time.
  TimePoint renewalTime() const {
    return Deadline - TimeToLive + TimeToLive / 3;
  }
  /// A renewal sent at \p SentAt was answered; late answers change nothing.
  void recordRenewal(TimePoint SentAt) {
    if (LeaseId != StoreLeaseId() && SentAt + TimeToLive > Deadline)
      Deadline = SentAt + TimeToLive;
  }
  /// The store said that the lease is gone, or the holder gave it up.
  void reset() { *this = Lease(); }

private:
  StoreLeaseId LeaseId;
  Duration TimeToLive{};
  TimePoint Deadline;
};

} // namespace banyanworks

#endif
