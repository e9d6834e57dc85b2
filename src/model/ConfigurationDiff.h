/// \file
/// Defines the textual difference between two configurations, which operators
/// review before they publish.
#ifndef BANYANWORKS_MODEL_CONFIGURATIONDIFF_H
#define BANYANWORKS_MODEL_CONFIGURATIONDIFF_H

#include <string>
#include <vector>

namespace banyanworks {

struct Configuration;

/// Returns one line for each item that is added (+), removed (-) or changed
/// (~), in a deterministic order; empty if there is no difference.
std::vector<std::string> configurationDiff(const Configuration &Before,
                                           const Configuration &After);

} // namespace banyanworks

#endif
