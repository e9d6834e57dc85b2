/// \file
/// Registers the queue order "fair-share": shortest job first with aging; jobs
/// of workspaces above their fair share are delayed.
#include "jobs/OrderPolicy.h"
#include "kernel/Registry.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// Weight of the run time in the rank. A job is overtaken only by shorter jobs
/// that arrive within this factor times the difference of the run times.
constexpr int AgingFactor = 2;

/// Run times are capped to this value in the rank, so that aging bounds the
/// wait of long jobs to hours rather than days.
constexpr Duration MaxRankedRunTime = std::chrono::hours(6);

/// Rank penalty per whole fair share that a workspace uses in excess of its
/// own.
constexpr Duration PenaltyPerShare = std::chrono::hours(1);
constexpr Duration MaxPenalty = std::chrono::hours(12);

class FairShareOrder : public OrderPolicy {
public:
  TimePoint rank(const JobSpec & /*Spec*/, TimePoint SubmittedAt,
                 Duration ExpectedRunTime) const override {
    return SubmittedAt +
           AgingFactor * std::min(ExpectedRunTime, MaxRankedRunTime);
  }
  Duration penalty(const ShareUsage &Usage) const override {
    double Excess = std::max(0.0, Usage.FairShareRatio - 1.0);
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
