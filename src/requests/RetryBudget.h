/// \file
/// Defines RetryBudget, which holds retries to a share of the traffic, and the
/// back-off before a retry.
#ifndef BANYANWORKS_REQUESTS_RETRYBUDGET_H
#define BANYANWORKS_REQUESTS_RETRYBUDGET_H

#include "base/Random.h"
#include "base/Time.h"
#include "requests/RouterSettings.h"

namespace banyanworks {

/// A bucket that admitted requests fill and retries empty.
class RetryBudget {
public:
  explicit RetryBudget(const RetryOptions &Options);

  void onAdmitted();
  /// Takes one retry out of the budget; false if it is spent.
  bool trySpend();
  /// The jittered span before the attempt that follows \p Attempts attempts.
  Duration backoff(std::uint32_t Attempts, Random &Rng) const;

private:
  RetryOptions Options;
  double Tokens;
};

} // namespace banyanworks

#endif
