/// \file
/// Defines the stored JSON form of a JobSpec.
#ifndef BANYANWORKS_POOL_JOBSPECJSON_H
#define BANYANWORKS_POOL_JOBSPECJSON_H

#include "base/Error.h"

#include <string>

namespace banyanworks::pool {

struct JobSpec;

std::string encodeJobSpec(const JobSpec &Spec);

/// Fails with Reason::InvalidArgument on malformed text.
Outcome<JobSpec> decodeJobSpec(const std::string &Text);

} // namespace banyanworks::pool

#endif
