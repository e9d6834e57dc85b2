/// \file
/// Defines appendField(), which formats a key=value field of a log line.
#ifndef BANYANWORKS_EDGE_LOGLINE_H
#define BANYANWORKS_EDGE_LOGLINE_H

#include <string>
#include <string_view>

namespace banyanworks {

/// Appends " name=value"; values with spaces or quotes are quoted, so that a
/// line can be split into fields.
void appendField(std::string &Line, std::string_view Name,
                 std::string_view Value);

} // namespace banyanworks

#endif
