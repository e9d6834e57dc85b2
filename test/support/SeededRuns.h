/// \file
/// Defines expectNoViolations(), which runs a simulation for many seeds.
#ifndef BANYANWORKS_TEST_SUPPORT_SEEDEDRUNS_H
#define BANYANWORKS_TEST_SUPPORT_SEEDEDRUNS_H

#include <criterion/criterion.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Calls \p Run, which returns the invariants that a seed violates, for the
/// seeds 1 to \p Seeds. Logs all violations and fails if there are any.
inline void expectNoViolations(
    std::uint64_t Seeds,
    const std::function<std::vector<std::string>(std::uint64_t)> &Run) {
  std::size_t ViolationCount = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const std::string &Violation : Run(Seed)) {
      cr_log_error("seed %lu: %s", static_cast<unsigned long>(Seed),
                   Violation.c_str());
      ++ViolationCount;
    }
  }
  cr_assert_eq(ViolationCount, 0);
}

} // namespace banyanworks::testing

#endif
