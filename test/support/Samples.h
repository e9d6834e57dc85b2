/// \file
/// Defines sample declaration files.
#ifndef BANYANWORKS_TEST_SUPPORT_SAMPLES_H
#define BANYANWORKS_TEST_SUPPORT_SAMPLES_H

#include "model/Declarations.h"

namespace banyanworks {

/// Returns an operators' file with two failure domains, one workspace, and the
/// endpoints of the service of serviceFile().
inline SourceFile operatorsFile() {
  return {"banyanworks.toml", R"(
[domain.a]
region = "r"
[domain.b]
region = "r"
drain = "stop"
drain_deadline = "90s"
[workspace.shops]
share_weight = 2.5
quota_cores = 64
[[workspace.shops.guarantee]]
level = "group"
accelerators = 4
count = 3
domain = "a"
[endpoints.planner]
slots = 6
[endpoints.planner.addresses]
a = ["127.0.0.1:9000", "127.0.0.1:9001"]
b = ["127.0.0.1:9002"]
)"};
}

/// Returns a service's file that is consistent with operatorsFile().
inline SourceFile serviceFile() {
  return {"planner/banyanworks.toml", R"(
[service]
name = "planner"
workspace = "shops"
[method.total]
deadline = "1.5s"
[job.rank]
max_members = 8
cores = 2.5
memory = "16GiB"
accelerators = 4
adjacency = "rack"
adjacency_required = true
priority = "urgent"
expected_run_time = "2h"
checkpointable = true
)"};
}

} // namespace banyanworks

#endif
