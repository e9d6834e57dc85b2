/// \file
/// Defines the JSON codec of job specifications, used in the store's records
/// and in the workers' inventories.
#ifndef BANYANWORKS_MODEL_JOBJSON_H
#define BANYANWORKS_MODEL_JOBJSON_H

#include "base/Error.h"
#include "model/Job.h"

#include <string>
#include <string_view>

namespace banyanworks {

/// Encodes a job specification as a single line.
std::string jobToJson(const JobSpec &Spec);

/// Decodes a job specification; fails with Reason::InvalidArgument if the text
/// is malformed.
Outcome<JobSpec> jobFromJson(std::string_view Text);

} // namespace banyanworks

#endif
