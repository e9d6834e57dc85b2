/// \file
/// Defines the interface of placement and victim policies: the request of one
/// gang and the placement of each member. Policies are registered in the
/// kernel's Registry.
#ifndef BANYANWORKS_JOBS_PLACEMENT_H
#define BANYANWORKS_JOBS_PLACEMENT_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "base/Units.h"
#include "model/Job.h"
#include "model/Worker.h"

#include <functional>
#include <memory>
#include <vector>

namespace banyanworks {

class CellTree;
class GuaranteeLedger;

/// A gang to place.
struct GangRequest {
  std::shared_ptr<const JobSpec> Spec;
  /// True if the gang counts against its workspace's guarantee. Any other gang
  /// runs on borrowed capacity and may be reclaimed.
  bool UnderGuarantee = false;
  /// Workers that must not be used, such as suspect ones.
  std::vector<WorkerId> Excluded;
};

/// The worker and accelerators of one member.
struct MemberPlacement {
  WorkerId Worker;
  AcceleratorMask Accelerators = 0;
};

/// The placements of all members in order, or the reason why the gang was not
/// placed.
struct PlacementResult {
  std::vector<MemberPlacement> Members;
  Reason FailureReason = Reason::None;

  bool placed() const { return FailureReason == Reason::None; }
};

/// Places a gang without changing the tree. Under a guarantee, a placement
/// after which the unused guarantees could not be packed is not returned.
using PlacementPolicy = std::function<PlacementResult(
    const CellTree &, const GuaranteeLedger &, const GangRequest &)>;

/// A running gang, as input of victim policies and migrations.
struct RunningGang {
  std::shared_ptr<const JobSpec> Spec;
  std::uint64_t Run = 0;
  bool UnderGuarantee = false;
  TimePoint StartedAt;
  /// Work of each member that would be lost if the gang were stopped now.
  Duration AtRisk{};
  /// Time of the last reclaim or migration; prevents repeated moves of the same
  /// gang.
  TimePoint LastMoved;
  std::vector<MemberPlacement> Members;
};

/// Gangs to reclaim for a request, and the resulting placement.
struct VictimPlan {
  std::vector<JobId> Victims;
  PlacementResult Placement;
};

/// Chooses the borrowing gangs to reclaim for a request that its workspace's
/// guarantee covers.
using VictimPolicy = std::function<VictimPlan(
    const CellTree &, const GuaranteeLedger &, const GangRequest &,
    const std::vector<RunningGang> &, TimePoint Now)>;

} // namespace banyanworks

#endif
