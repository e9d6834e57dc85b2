/// \file
/// Tests that JSON encoding and decoding preserves configurations and job
/// specifications.
#include "model/ConfigurationJson.h"
#include "model/JobJson.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

Configuration sample() {
  Configuration Config;
  Config.Version = ConfigVersion(18446744073709551615ULL);
  FailureDomain Domain;
  Domain.Id = DomainId("kr-south-a");
  Domain.InService = false;
  Domain.Drain = DrainPolicy::Stop;
  Config.Domains[Domain.Id] = Domain;
  Workspace Space;
  Space.Id = WorkspaceId("shops");
  Space.Guarantee.push_back({CellLevel::Rack, 0, 4, "a100", 2, Domain.Id});
  Config.Workspaces[Space.Id] = Space;
  Service Planner;
  Planner.Id = ServiceId("twist-planner");
  Planner.Workspace = Space.Id;
  Planner.Methods[MethodId("total")].Id = MethodId("total");
  Planner.JobKinds[JobKindId("rank")].Id = JobKindId("rank");
  Planner.Endpoints[EndpointId("e1")].Id = EndpointId("e1");
  Config.Services[Planner.Id] = Planner;
  return Config;
}

} // namespace

Test(model_json, configuration_round_trip) {
  Configuration Config = sample();
  auto Decoded = configurationFromJson(configurationToJson(Config));
  cr_assert(Decoded.has_value());
  cr_assert(*Decoded == Config);
}

Test(model_json, job_round_trip) {
  JobSpec Spec;
  Spec.Id = JobId(9007199254740993ULL);
  Spec.Members = 128;
  Spec.PerMember = {4000, 16384, 8};
  Spec.MemberAdjacency = Adjacency::NeighbouringRacks;
  Spec.Urgency = Priority::Urgent;
  Spec.ExpectedRunTime = std::chrono::hours(3);
  auto Decoded = jobFromJson(jobToJson(Spec));
  cr_assert(Decoded.has_value());
  cr_assert(*Decoded == Spec);
}
