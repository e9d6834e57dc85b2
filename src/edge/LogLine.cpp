/// \file
/// Implements appendField().
#include "edge/LogLine.h"

namespace banyanworks {

void appendField(std::string &Line, std::string_view Name,
                 std::string_view Value) {
  Line += ' ';
  Line += Name;
  Line += '=';
  if (Value.find_first_of(" \"\n=") == std::string_view::npos) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char Letter : Value) {
    if (Letter == '"' || Letter == '\\')
      Line += '\\';
    Line += Letter == '\n' ? ' ' : Letter;
  }
  Line += '"';
}

} // namespace banyanworks
