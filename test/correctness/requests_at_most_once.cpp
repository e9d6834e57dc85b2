/// \file
/// Under seeded faults no order runs twice, no refusal says 'not run' falsely,
/// and no caller gets another's or a truncated answer. Each protection is
/// needed: without it the same runs break the promise.
#include "support/RequestFaultRuns.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

constexpr std::uint64_t Runs = 500;
/// Enough runs to see what a missing protection does.
constexpr std::uint64_t RunsWithout = 25;

} // namespace

Test(requests_at_most_once, holds_in_seeded_fault_runs) {
  FaultRunTotals Totals = runFaults(1, Runs, RequestProtections());
  cr_assert_gt(Totals.Orders, Runs);
  cr_assert_gt(Totals.Answered, 0);
  cr_expect_eq(Totals.RunTwice, 0, "run twice: %lu", Totals.RunTwice);
  cr_expect_eq(Totals.FalseNotRun, 0, "false: %lu", Totals.FalseNotRun);
  cr_expect_eq(Totals.WrongCaller, 0, "wrong: %lu", Totals.WrongCaller);
  cr_expect_eq(Totals.TruncatedAsWhole, 0);
  cr_expect_eq(Totals.NeverAnswered, 0, "silent: %lu", Totals.NeverAnswered);
}

Test(requests_at_most_once, naive_routing_runs_orders_twice) {
  RequestProtections With;
  With.Router = false;
  FaultRunTotals Totals = runFaults(1, RunsWithout, With);
  cr_assert_gt(Totals.RunTwice, 0);
  cr_assert_gt(Totals.FalseNotRun, 0);
}

Test(requests_at_most_once, claims_are_needed) {
  RequestProtections With;
  With.Claims = false;
  cr_assert_gt(runFaults(1, RunsWithout, With).RunTwice, 0);
}

Test(requests_at_most_once, conditional_writes_are_needed) {
  RequestProtections With;
  With.ConditionalWrites = false;
  cr_assert_gt(runFaults(1, 200, With).RunTwice, 0);
}

Test(requests_at_most_once, attempt_identity_is_needed) {
  RequestProtections With;
  With.AttemptIdentity = false;
  cr_assert_gt(runFaults(1, RunsWithout, With).WrongCaller, 0);
}

Test(requests_at_most_once, truncation_must_be_noticed) {
  RequestProtections With;
  With.TruncationDetected = false;
  cr_assert_gt(runFaults(1, RunsWithout, With).TruncatedAsWhole, 0);
}

Test(requests_at_most_once, proof_of_not_sent_is_needed) {
  RequestProtections With;
  With.SendTracked = false;
  FaultRunTotals Totals = runFaults(1, RunsWithout, With);
  cr_assert_gt(Totals.RunTwice + Totals.FalseNotRun, 0);
}
