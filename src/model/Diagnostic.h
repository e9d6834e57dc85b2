/// \file
/// Defines Diagnostic, one fault of a file that people wrote: where it stands,
/// what is wrong and what would be right.
#ifndef BANYANWORKS_MODEL_DIAGNOSTIC_H
#define BANYANWORKS_MODEL_DIAGNOSTIC_H

#include <cstdint>
#include <string>

namespace banyanworks {

/// A place in a file; line and column count from 1, and 0 means unknown.
struct SourceLocation {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// One fault of a file.
struct Diagnostic {
  SourceLocation Location;
  std::string Message;
  /// What would be right; may be empty.
  std::string Hint;

  /// The fault as "file:line:column: wrong; right".
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
