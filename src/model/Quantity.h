/// \file
/// Defines the readers of quantities with a unit, as people write them in
/// files: "90s", "1.5h", "16GiB".
#ifndef BANYANWORKS_MODEL_QUANTITY_H
#define BANYANWORKS_MODEL_QUANTITY_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanworks {

/// Reads a positive span with the unit ms, s, m, h or d; nothing if it is
/// malformed or longer than ten years.
std::optional<Duration> parseDuration(std::string_view Text);

/// Reads a size with the unit B, KiB, MiB, GiB or TiB, in bytes; nothing if it
/// is malformed or above 2^60 bytes.
std::optional<std::uint64_t> parseBytes(std::string_view Text);

/// Writes a span with the largest unit that keeps it exact.
std::string formatDuration(Duration Value);

} // namespace banyanworks

#endif
