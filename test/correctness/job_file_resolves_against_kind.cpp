/// \file
/// Tests that a job file takes its defaults and limits from the declared kind
/// of job.
#include "base/Reason.h"
#include "model/Configuration.h"
#include "model/JobFile.h"
#include "support/Samples.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

Configuration config() {
  return readDeclarations({operatorsFile(), serviceFile()}).Config;
}

JobRequest read(const std::string &Text) {
  std::vector<Diagnostic> Diagnostics;
  auto Request = readJobFile(Text, "job.toml", Diagnostics);
  cr_assert(Request.has_value());
  return *Request;
}

const char *const Small = "service = \"planner\"\nkind = \"rank\"\n"
                          "key = \"k1\"\nmembers = 2\ncores = 1\n";

} // namespace

Test(job_file, missing_values_come_from_the_kind) {
  auto Spec = resolveJob(read(Small), config(), JobId(7));
  cr_assert(Spec.has_value());
  cr_assert_eq(Spec->Members, 2);
  cr_assert(Spec->PerMember == (Resources{1000, 16384, 4}));
  cr_assert(Spec->Workspace == WorkspaceId("shops"));
  cr_assert(Spec->AdjacencyRequired);
}

Test(job_file, request_survives_json_round_trip) {
  JobRequest Request = read(Small);
  auto Decoded = jobRequestFromJson(jobRequestToJson(Request));
  cr_assert(Decoded.has_value());
  auto Direct = resolveJob(Request, config(), JobId(7));
  auto Remote = resolveJob(*Decoded, config(), JobId(9));
  cr_assert(*Direct == *Remote,
            "the id must depend on the key only, not on the fallback");
}

Test(job_file, more_than_declared_is_refused) {
  JobRequest Request = read(Small);
  Request.Members = 9;
  auto Spec = resolveJob(Request, config(), JobId(7));
  cr_assert_not(Spec.has_value());
  cr_assert(Spec.error().Code == Reason::ExceedsDeclaration);
}

Test(job_file, negative_sizes_are_refused) {
  JobRequest Request = read(Small);
  Request.MemoryMiB = -1;
  auto Spec = resolveJob(Request, config(), JobId(7));
  cr_assert_not(Spec.has_value());
}

Test(job_file, unknown_key_is_an_error) {
  std::vector<Diagnostic> Diagnostics;
  auto Request =
      readJobFile(std::string(Small) + "gpus = 4\n", "job.toml", Diagnostics);
  cr_assert_not(Request.has_value());
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert_eq(Diagnostics[0].Location.Line, 6);
}
