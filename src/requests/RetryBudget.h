/// \file
/// Defines RetryBudget, which limits retries to a fraction of the admitted
/// requests and computes the back-off before a retry.
#ifndef BANYANWORKS_REQUESTS_RETRYBUDGET_H
#define BANYANWORKS_REQUESTS_RETRYBUDGET_H

#include "base/Random.h"
#include "base/Time.h"
#include "requests/RouterSettings.h"

namespace banyanworks {

/// A token bucket: admitted requests add tokens, each retry takes one.
class RetryBudget {
public:
  explicit RetryBudget(const RetryOptions &Options);

  void onAdmitted();
  /// Takes a token for one retry. Returns false if the budget is spent.
  bool trySpend();
  /// The pause, with full jitter, before the next attempt after \p Attempts
  /// attempts.
  Duration backoff(std::uint32_t Attempts, Random &Rng) const;

private:
  RetryOptions Options;
  double Tokens;
};

} // namespace banyanworks

#endif
