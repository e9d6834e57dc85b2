/// \file
/// Implements LeaseHorizon.
#include "pool/LeaseHorizon.h"

#include "pool/StoreKeys.h"
#include "pool/WorkerLink.h"

namespace banyanworks::pool {

void LeaseHorizon::startTakeover(std::string_view LastHead) {
  EarlierAreLimited = LastHead.empty() || LastHead.ends_with(LeaseLimitMarker);
  EarlierEndBy = TimePoint::max();
}

void LeaseHorizon::takenOver(TimePoint Now) {
  // The predecessor's last renewal was made a full lifetime before its lease
  // ended, if it did not give the lease up; it grants nothing after that.
  EarlierEndBy =
      EarlierAreLimited
          ? grantsEndBy(Now - Times.Ownership) + ExpirySlack
          : Now + Times.RenewWithoutStore +
                scaled(Times.WorkerLease, 1.0 / (1.0 - WorkerClockError));
}

std::string_view LeaseHorizon::markerAt(TimePoint Now) const {
  static_assert(LeaseLimitMarker.ends_with(LeaseBoundsMarker));
  // A version without the limit may have granted leases before this owner's
  // predecessor, until they have ended.
  return EarlierAreLimited || Now >= EarlierEndBy ? LeaseLimitMarker
                                                  : LeaseBoundsMarker;
}

} // namespace banyanworks::pool
