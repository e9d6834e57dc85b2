/// \file
/// Defines the JSON codec of configurations, used in the platform's store and
/// between daemons.
#ifndef BANYANWORKS_MODEL_CONFIGURATIONJSON_H
#define BANYANWORKS_MODEL_CONFIGURATIONJSON_H

#include "base/Error.h"
#include "model/Configuration.h"

#include <string>
#include <string_view>

namespace banyanworks {

/// Encodes a configuration; equal configurations have equal encodings.
std::string configurationToJson(const Configuration &Config);

/// Decodes a configuration; fails with Reason::InvalidArgument if the text is
/// malformed.
Outcome<Configuration> configurationFromJson(std::string_view Text);

} // namespace banyanworks

#endif
