/// \file
/// Defines how jobs, workers, workspaces and endpoints are shown by the API.
#ifndef BANYANWORKS_DAEMON_JOBVIEWJSON_H
#define BANYANWORKS_DAEMON_JOBVIEWJSON_H

#include "base/Time.h"

#include <nlohmann/json_fwd.hpp>

namespace banyanworks {

struct DomainSnapshot;
struct JobExplanation;
struct JobView;
struct ServiceSnapshot;

nlohmann::json jobViewToJson(const JobView &View, TimePoint Now);
nlohmann::json explanationToJson(const JobExplanation &Explained,
                                 TimePoint Now);
nlohmann::json workersToJson(const DomainSnapshot &Snapshot);
nlohmann::json workspacesToJson(const DomainSnapshot &Snapshot);
/// The scheduler as a whole, with counts and fragmentation.
nlohmann::json domainToJson(const DomainSnapshot &Snapshot, TimePoint Now);
nlohmann::json endpointsToJson(const ServiceSnapshot &Snapshot);

} // namespace banyanworks

#endif
