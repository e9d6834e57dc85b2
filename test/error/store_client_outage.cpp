/// \file
/// During an outage the client stops its calls, fails operations at once and
/// recovers by itself; bursts are limited by the call budget.
#include "support/StoreDriver.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

} // namespace

Test(state_client, breaker_opens_and_later_operations_end_at_once) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::Fail});
  Driver.run(GetRequest{"k"}, Now, std::chrono::seconds(2));
  cr_assert(Driver.client().isUnreachable());
  TimePoint Before = Now;
  StoreOutcome Outcome = Driver.run(GetRequest{"k"}, Now);
  cr_assert(Outcome.Status == StoreStatus::NotApplied);
  cr_assert(Outcome.Cause == Reason::StoreUnavailable);
  cr_assert(Now == Before);
  cr_assert(Outcome.RetryAfter > Duration::zero());
}

Test(state_client, an_outage_of_ten_minutes_costs_few_calls) {
  FakeStore Store;
  StoreDriver Driver(Store);
  Store.addFault({.Fault = StoreFault::Fail});
  TimePoint End = Start + std::chrono::minutes(10);
  for (TimePoint Now = Start; Now < End; Now += std::chrono::milliseconds(50)) {
    Driver.client().submit(GetRequest{"k"}, Now,
                           Now + std::chrono::milliseconds(50));
    Driver.step(Now);
  }
  cr_assert_lt(Store.counters().Calls, 700U);
  Store.clearFaults();
  TimePoint Now = End + std::chrono::seconds(3);
  cr_assert(Driver.run(GetRequest{"k"}, Now).Status == StoreStatus::Done);
}

Test(state_client, burst_is_limited_to_the_budget_except_for_leases) {
  FakeStore Store;
  StoreClientOptions Options;
  Options.CallsPerSecond = 10;
  Options.Burst = 10;
  StoreDriver Driver(Store, Options);
  TimePoint Now = Start;
  for (int I = 0; I != 50; ++I)
    Driver.client().submit(GetRequest{"k"}, Now,
                           Now + std::chrono::seconds(20));
  Driver.client().submit(LeaseGrantRequest{std::chrono::seconds(9)}, Now,
                         Now + std::chrono::seconds(1));
  Driver.step(Now);
  cr_assert_eq(Store.counters().Reads, 10U);
  cr_assert_eq(Store.counters().Leases, 1U);
  for (; Now < Start + std::chrono::seconds(1);
       Now += std::chrono::milliseconds(20))
    Driver.step(Now);
  cr_assert_leq(Store.counters().Reads, 20U);
}

Test(state_client, refusal_over_the_rate_is_known_not_to_apply) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::RateLimit});
  StoreOutcome Outcome =
      Driver.run(PutRequest{"k", "v", StoreRevision(0), {}}, Now);
  cr_assert(Outcome.Status == StoreStatus::NotApplied);
  cr_assert(Store.entries().empty());
}
