/// \file
/// Implements RetryBudget.
#include "requests/RetryBudget.h"

#include <algorithm>

namespace banyanworks {

RetryBudget::RetryBudget(const RetryOptions &Options)
    : Options(Options), Tokens(Options.BudgetBurst) {}

void RetryBudget::onAdmitted() {
  Tokens = std::min(Tokens + Options.BudgetShare, Options.BudgetBurst);
}

bool RetryBudget::trySpend() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

Duration RetryBudget::backoff(std::uint32_t Attempts, Random &Rng) const {
  // The first retry uses another endpoint and needs no back-off.
  if (Attempts <= 1)
    return Duration::zero();
  std::uint32_t Doublings = std::min(Attempts - 2, 16U);
  Duration MaxPause =
      std::min(Options.InitialBackoff * (1 << Doublings), Options.MaxBackoff);
  return scaled(MaxPause, Rng.uniform());
}

} // namespace banyanworks
