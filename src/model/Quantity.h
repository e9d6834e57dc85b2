/// \file
/// Defines the parsers of quantities with a unit in declaration and job files:
/// "90s", "1.5h", "16GiB".
#ifndef BANYANWORKS_MODEL_QUANTITY_H
#define BANYANWORKS_MODEL_QUANTITY_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanworks {

/// Parses a positive duration with the unit ms, s, m, h or d; nullopt if it is
/// malformed or longer than ten years.
std::optional<Duration> parseDuration(std::string_view Text);

/// Parses a size with the unit B, KiB, MiB, GiB or TiB, in bytes; nullopt if it
/// is malformed or above 2^60 bytes.
std::optional<std::uint64_t> parseBytes(std::string_view Text);

/// Formats a duration with the largest unit of which it is a whole multiple, at
/// least milliseconds.
std::string formatDuration(Duration Value);

} // namespace banyanworks

#endif
