/// \file
/// Implements ReportedLife.
#include "pool/ReportedLife.h"

namespace banyanworks::pool {

void ReportedLife::listed(Incarnation Life, TimePoint Now) {
  if (Life == Listed)
    return;
  Listed = Life;
  bool Known = Life != Incarnation() && Reported != Incarnation();
  if (Known && Life != Reported)
    RestartListedAt = Now;
}

void ReportedLife::reported(Incarnation Life, TimePoint RequestedAt) {
  // A report that was requested earlier may be of the earlier incarnation.
  if (Life != Reported || !RestartListedAt || RequestedAt >= *RestartListedAt)
    RestartListedAt.reset();
  Reported = Life;
}

} // namespace banyanworks::pool
