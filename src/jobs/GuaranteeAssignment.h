/// \file
/// Defines assignGuarantees, which assigns each guaranteed cell to a failure
/// domain when a configuration is published.
#ifndef BANYANWORKS_JOBS_GUARANTEEASSIGNMENT_H
#define BANYANWORKS_JOBS_GUARANTEEASSIGNMENT_H

#include "base/Error.h"
#include "model/Configuration.h"
#include "model/Worker.h"

#include <vector>

namespace banyanworks {

/// Returns the configuration with every empty GuaranteedCell::Domain set; the
/// cells of one entry may be split over several domains. The result is
/// deterministic. Cells stay in their domain of \p FormerConfig, if given, as
/// long as they still fit.
///
/// All cells of all workspaces must fit together on the known workers,
/// including those of a failure domain that is out of service: such a domain
/// keeps its cells, which are not moved to other domains while it is out of
/// service. Fails with Reason::GuaranteesDoNotFit, naming the workspace and the
/// cell, or with Reason::UnknownDomain or Reason::InvalidArgument.
Outcome<Configuration>
assignGuarantees(const Configuration &Requested,
                 const std::vector<WorkerInfo> &Workers,
                 const Configuration *FormerConfig = nullptr);

} // namespace banyanworks

#endif
