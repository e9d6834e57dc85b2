/// \file
/// Defines GuaranteePlan, which gives each guaranteed cell its failure domain
/// when a configuration is published.
#ifndef BANYANWORKS_JOBS_GUARANTEEASSIGNMENT_H
#define BANYANWORKS_JOBS_GUARANTEEASSIGNMENT_H

#include "base/Error.h"
#include "model/Configuration.h"
#include "model/Worker.h"

#include <vector>

namespace banyanworks {

/// Returns the configuration with GuaranteedCell::Domain filled in wherever it
/// was empty, cells of one entry being split over domains if need be. The same
/// input gives the same result. Where \p Former is given, cells stay in the
/// domain that they had there as far as they still fit.
///
/// All cells of all workspaces must fit together on the known workers, those
/// of a failure domain that is out included: a domain that is taken out keeps
/// its share, which is due again when it returns, and no other domain is asked
/// to hold it meanwhile. Fails with Reason::GuaranteesDoNotFit, naming the
/// workspace and the cell, or with Reason::UnknownDomain or
/// Reason::InvalidArgument.
Outcome<Configuration> assignGuarantees(const Configuration &Wanted,
                                        const std::vector<WorkerInfo> &Workers,
                                        const Configuration *Former = nullptr);

} // namespace banyanworks

#endif
