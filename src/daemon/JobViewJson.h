/// \file
/// Defines the JSON views of jobs, workers, workspaces and endpoints in the
/// API. Durations are in milliseconds.
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
/// The state of the failure domain's scheduler, with job and worker counts and
/// the fragmentation of its accelerators.
nlohmann::json domainToJson(const DomainSnapshot &Snapshot, TimePoint Now);
nlohmann::json endpointsToJson(const ServiceSnapshot &Snapshot);

} // namespace banyanworks

#endif
