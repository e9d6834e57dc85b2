/// \file
/// Implements FailedRequest.
#include "pool/FailedRequest.h"

#include <cstdint>

namespace banyanworks::pool {

namespace {

std::uint32_t minTasks(const PlacementRequest &Request) {
  return Request.AllOrNothing ? Request.Count : 1;
}

} // namespace

bool FailedRequest::covers(const FailedRequest &Other) const {
  const PlacementRequest &Asked = Other.Request;
  return Request.PerTask.fitsIn(Asked.PerTask) &&
         minTasks(Request) <= minTasks(Asked) && Request.MaxPerWorker == 0 &&
         (Request.MaySpanRacks || !Request.SameRack ||
          (Asked.SameRack && !Asked.MaySpanRacks)) &&
         Service == Other.Service && (Guaranteed || !Other.Guaranteed) &&
         (!AvoidedRisk || Other.AvoidedRisk) &&
         (!AvoidedReserve || Other.AvoidedReserve) &&
         (!Other.Own || (Own && Other.Own->isInterchangeable(*Own))) &&
         (Label.empty() || Label == Other.Label) && Estimate <= Other.Estimate;
}

} // namespace banyanworks::pool
