/// \file
/// Defines the internal assertion. It stops the process: only a broken
/// invariant of our own may reach it, never an input.
#ifndef BANYANWORKS_BASE_CHECK_H
#define BANYANWORKS_BASE_CHECK_H

namespace banyanworks {

/// Prints the broken invariant and aborts.
[[noreturn]] void checkFailed(const char *File, int Line, const char *Condition,
                              const char *Message);

} // namespace banyanworks

/// Stops the process if \p Condition does not hold.
#define BANYANWORKS_CHECK(Condition, Why)                                      \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::banyanworks::checkFailed(__FILE__, __LINE__, #Condition, Why);         \
  } while (false)

#endif
