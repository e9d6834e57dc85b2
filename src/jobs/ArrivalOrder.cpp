/// \file
/// Registers the baseline queue order "arrival": first come, first served,
/// without urgency, shares, run times or backfill.
#include "jobs/OrderPolicy.h"
#include "kernel/Registry.h"

namespace banyanworks {

namespace {

class ArrivalOrder : public OrderPolicy {
public:
  TimePoint rank(const JobSpec & /*Spec*/, TimePoint SubmittedAt,
                 Duration /*ExpectedRunTime*/) const override {
    return SubmittedAt;
  }
  Duration penalty(const ShareUsage & /*Usage*/) const override {
    return Duration::zero();
  }
  bool allowsBackfill() const override { return false; }
  bool ranksByUrgency() const override { return false; }
};

const Registry<OrderPolicy>::Registration Registered("arrival", [] {
  return std::make_unique<ArrivalOrder>();
});

} // namespace

} // namespace banyanworks
