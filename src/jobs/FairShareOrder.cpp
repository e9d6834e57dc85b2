/// \file
/// Registers the order "fair-share": short jobs first with aging, and
/// workspaces beyond their fair share later.
#include "jobs/OrderPolicy.h"
#include "kernel/Registry.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// A job waits at most this many times the difference of the run times longer
/// for shorter ones that arrive after it.
constexpr int AgingFactor = 2;

/// Run times beyond this are not told apart, so that no job waits for days.
constexpr Duration MaxRankedRunTime = std::chrono::hours(6);

/// How far a workspace is put back for each whole share it is over its own.
constexpr Duration PenaltyPerShare = std::chrono::hours(1);
constexpr Duration MaxPenalty = std::chrono::hours(12);

class FairShareOrder : public OrderPolicy {
public:
  TimePoint rank(const JobSpec & /*Spec*/, TimePoint SubmittedAt,
                 Duration ExpectedRunTime) const override {
    return SubmittedAt +
           AgingFactor * std::min(ExpectedRunTime, MaxRankedRunTime);
  }
  Duration penalty(const ShareUsage &Standing) const override {
    double Excess = std::max(0.0, Standing.FairShareRatio - 1.0);
    double MaxSeconds = std::chrono::duration<double>(MaxPenalty).count();
    double Seconds =
        Excess * std::chrono::duration<double>(PenaltyPerShare).count();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(Seconds, MaxSeconds)));
  }
  bool allowsBackfill() const override { return true; }
  bool ranksByUrgency() const override { return true; }
};

const Registry<OrderPolicy>::Registration Registered("fair-share", [] {
  return std::make_unique<FairShareOrder>();
});

} // namespace

} // namespace banyanworks
