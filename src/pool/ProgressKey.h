/// \file
/// Defines ProgressPart, which names a stored part of a job's progress, and the
/// store keys of these parts.
#ifndef BANYANWORKS_POOL_PROGRESSKEY_H
#define BANYANWORKS_POOL_PROGRESSKEY_H

#include "base/Ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanworks::pool {

struct ProgressPart {
  JobId Job;
  std::size_t Part = 0;
};

std::string progressKey(const ProgressPart &Part);
/// Returns nullopt if \p Key is not the key of a part.
std::optional<ProgressPart> parseProgressKey(std::string_view Key);

} // namespace banyanworks::pool

#endif
