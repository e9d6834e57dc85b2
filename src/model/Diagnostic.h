/// \file
/// Defines Diagnostic, an error in a declaration or job file with its location
/// and a hint.
#ifndef BANYANWORKS_MODEL_DIAGNOSTIC_H
#define BANYANWORKS_MODEL_DIAGNOSTIC_H

#include <cstdint>
#include <string>

namespace banyanworks {

/// A location in a file; line and column count from 1, and 0 means unknown.
struct SourceLocation {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// One error in a file.
struct Diagnostic {
  SourceLocation Location;
  std::string Message;
  /// How to correct the error; may be empty.
  std::string Hint;

  /// Formats the diagnostic as "file:line:column: message; hint".
  std::string str() const {
    std::string Text = Location.File;
    if (Location.Line > 0)
      Text += ":" + std::to_string(Location.Line) + ":" +
              std::to_string(Location.Column);
    Text += ": " + Message;
    if (!Hint.empty())
      Text += "; " + Hint;
    return Text;
  }
};

} // namespace banyanworks

#endif
