/// \file
/// Implements the JSON codec of job specifications.
#include "model/JobJson.h"

#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

JobSpec decode(const json &In) {
  JobSpec Spec;
  In.at("id").get_to(Spec.Id);
  In.at("workspace").get_to(Spec.Workspace);
  In.at("service").get_to(Spec.Service);
  In.at("kind").get_to(Spec.Kind);
  In.at("key").get_to(Spec.Key);
  In.at("members").get_to(Spec.Members);
  In.at("per_member").get_to(Spec.PerMember);
  In.at("near").get_to(Spec.MemberAdjacency);
  In.at("near_required").get_to(Spec.AdjacencyRequired);
  In.at("urgency").get_to(Spec.Urgency);
  In.at("expected_run_us").get_to(Spec.ExpectedRunTime);
  In.at("checkpointable").get_to(Spec.Checkpointable);
  In.at("max_restarts").get_to(Spec.MaxRestarts);
  In.at("domain").get_to(Spec.Domain);
  return Spec;
}

} // namespace

std::string jobToJson(const JobSpec &Spec) {
  return json{{"id", Spec.Id},
              {"workspace", Spec.Workspace},
              {"service", Spec.Service},
              {"kind", Spec.Kind},
              {"key", Spec.Key},
              {"members", Spec.Members},
              {"per_member", Spec.PerMember},
              {"near", Spec.MemberAdjacency},
              {"near_required", Spec.AdjacencyRequired},
              {"urgency", Spec.Urgency},
              {"expected_run_us", Spec.ExpectedRunTime},
              {"checkpointable", Spec.Checkpointable},
              {"max_restarts", Spec.MaxRestarts},
              {"domain", Spec.Domain}}
      .dump();
}

Outcome<JobSpec> jobFromJson(std::string_view Text) {
  return decodeJson(Text, decode);
}

} // namespace banyanworks
