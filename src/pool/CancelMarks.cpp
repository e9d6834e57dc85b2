/// \file
/// Implements CancelMarks.
#include "pool/CancelMarks.h"

#include <algorithm>

namespace banyanworks::pool {

bool CancelMarks::admit(TimePoint Now) {
  Credit = std::min(Burst, Credit + Rate * toSeconds(Now - CreditAt));
  CreditAt = Now;
  if (Credit < 1.0)
    return false;
  Credit -= 1.0;
  return true;
}

std::optional<StoreLeaseId> CancelMarks::lease(TimePoint Now) const {
  return Now < ReplaceAt ? Current : std::nullopt;
}

void CancelMarks::leaseGranted(StoreLeaseId Granted, Duration TimeToLive,
                               TimePoint SentAt) {
  Current = Granted;
  ReplaceAt = SentAt + (TimeToLive - Retention);
}

void CancelMarks::leaseGone(StoreLeaseId Gone) {
  if (Current == Gone)
    Current.reset();
}

} // namespace banyanworks::pool
