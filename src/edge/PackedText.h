/// \file
/// Defines the compressed form of long texts, which keeps them within the value
/// size of the store and the traffic budget between daemons. The form is ASCII,
/// because it is embedded in JSON.
#ifndef BANYANWORKS_EDGE_PACKEDTEXT_H
#define BANYANWORKS_EDGE_PACKEDTEXT_H

#include "base/Error.h"

#include <string>
#include <string_view>

namespace banyanworks {

/// Largest text that unpackText() accepts, in bytes.
inline constexpr std::size_t MaxUnpackedBytes = 64 << 20;

/// Compresses a text. Equal texts give equal results.
std::string packText(std::string_view Text);

/// Restores a text from packText(); fails with Reason::InvalidArgument if \p
/// Packed is damaged or would exceed MaxUnpackedBytes.
Outcome<std::string> unpackText(std::string_view Packed);

} // namespace banyanworks

#endif
