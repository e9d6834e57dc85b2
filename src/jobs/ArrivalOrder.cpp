/// \file
/// Registers the naive order "arrival": first come, first served, without
/// regard to urgency, shares or run times, and without backfill.
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
  Duration penalty(const ShareUsage & /*Standing*/) const override {
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
