/// \file
/// Defines what placement takes and returns: the request of one gang and the
/// place of each member. Placement policies are plug-ins of the kernel.
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

/// The gang to be placed.
struct GangRequest {
  std::shared_ptr<const JobSpec> Spec;
  /// True if the gang counts against its workspace's own guarantee; a gang
  /// beyond it runs on lent capacity and may be reclaimed.
  bool UnderGuarantee = false;
  /// Workers that must not be used, as for a suspect one.
  std::vector<WorkerId> Excluded;
};

/// Where one member goes.
struct MemberPlacement {
  WorkerId Worker;
  AcceleratorMask Accelerators = 0;
};

/// A whole gang's places, in the order of the members, or why there are none.
struct PlacementResult {
  std::vector<MemberPlacement> Members;
  Reason FailureReason = Reason::None;

  bool placed() const { return FailureReason == Reason::None; }
};

/// Places a gang without changing the tree. A placement that would leave some
/// workspace's unused guarantee impossible to carve is not returned.
using PlacementPolicy = std::function<PlacementResult(
    const CellTree &, const GuaranteeLedger &, const GangRequest &)>;

/// A running gang as the choice of victims sees it.
struct RunningGang {
  std::shared_ptr<const JobSpec> Spec;
  std::uint64_t Run = 0;
  bool UnderGuarantee = false;
  TimePoint StartedAt;
  /// Work that would be lost if it were stopped now, for each member.
  Duration AtRisk{};
  /// When it was last reclaimed or migrated; guards against ping-pong.
  TimePoint LastMoved;
  std::vector<MemberPlacement> Members;
};

/// Gangs to reclaim so that a request fits, and where it then goes.
struct VictimPlan {
  std::vector<JobId> Victims;
  PlacementResult Placement;
};

/// Chooses whole gangs on lent capacity to reclaim for a request that its
/// workspace's guarantee covers.
using VictimPolicy = std::function<VictimPlan(
    const CellTree &, const GuaranteeLedger &, const GangRequest &,
    const std::vector<RunningGang> &, TimePoint Now)>;

} // namespace banyanworks

#endif
