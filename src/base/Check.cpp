/// \file
/// Implements the fatal invariant check.
#include "base/Check.h"

#include <cstdio>
#include <cstdlib>

namespace banyanworks {

void checkFailed(const char *File, int Line, const char *Condition,
                 const char *Message) {
  std::fprintf(stderr, "%s:%d: invariant violated: %s (%s)\n", File, Line,
               Condition, Message);
  std::abort();
}

} // namespace banyanworks
