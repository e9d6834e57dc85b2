/// \file
/// Defines FailedRequest, a placement request for which there is no room.
#ifndef BANYANWORKS_POOL_FAILEDREQUEST_H
#define BANYANWORKS_POOL_FAILEDREQUEST_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/ReclaimHolds.h"
#include "pool/TaskPlacer.h"

#include <optional>
#include <string>

namespace banyanworks::pool {

/// A request that could not be placed, with what decided which resources it may
/// use.
struct FailedRequest {
  PlacementRequest Request;
  ServiceId Service;
  std::string Label;
  Duration Estimate{};
  /// The request failed even with the resources that its guarantee allows it
  /// to reclaim.
  bool Guaranteed = false;
  /// Risky workers were excluded.
  bool AvoidedRisk = false;
  /// The workers of the urgent reserve were excluded.
  bool AvoidedReserve = false;
  /// The hold of the job that could use its own resources and those that are
  /// interchangeable with them.
  std::optional<ReclaimHolds::Hold> Own;

  /// Whether \p Other needs no less than this request, and may use no more.
  bool covers(const FailedRequest &Other) const;
};

} // namespace banyanworks::pool

#endif
