/// \file
/// Defines BANYANWORKS_CHECK, an assertion that is also checked in release
/// builds. A failed check aborts the process, so it may only test invariants of
/// the program, never external input.
#ifndef BANYANWORKS_BASE_CHECK_H
#define BANYANWORKS_BASE_CHECK_H

namespace banyanworks {

/// Prints the violated invariant to stderr and aborts.
[[noreturn]] void checkFailed(const char *File, int Line, const char *Condition,
                              const char *Message);

} // namespace banyanworks

/// Aborts the process if \p Condition is false.
#define BANYANWORKS_CHECK(Condition, Message)                                  \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::banyanworks::checkFailed(__FILE__, __LINE__, #Condition, Message);     \
  } while (false)

#endif
