/// \file
/// Defines the compressed form of long texts, so that they fit the store's
/// values and the budget of bytes between daemons. The form is ASCII, since it
/// travels within JSON.
#ifndef BANYANWORKS_EDGE_PACKEDTEXT_H
#define BANYANWORKS_EDGE_PACKEDTEXT_H

#include "base/Error.h"

#include <string>
#include <string_view>

namespace banyanworks {

/// The longest text that is unpacked, in bytes.
inline constexpr std::size_t MaxUnpackedBytes = 64 << 20;

/// Compresses a text. Equal texts give equal results.
std::string packText(std::string_view Text);

/// Restores what packText() gave; Reason::InvalidArgument if \p Packed is
/// damaged or would exceed PackedTextLimit.
Outcome<std::string> unpackText(std::string_view Packed);

} // namespace banyanworks

#endif
