/// \file
/// Checks under seeded faults that no order runs twice, that no refusal falsely
/// states that the request did not run, and that no caller gets the answer of
/// another request or a truncated one. Disabling any single protection must
/// make the same runs violate one of these properties.
#include "support/RequestFaultRuns.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

constexpr std::uint64_t Runs = 500;
/// Enough runs for a missing protection to cause a violation.
constexpr std::uint64_t RunsWithout = 25;

} // namespace

Test(requests_at_most_once, holds_in_seeded_fault_runs) {
  FaultRunTotals Totals = runFaults(1, Runs, RequestProtections());
  cr_assert_gt(Totals.Orders, Runs);
  cr_assert_gt(Totals.Answered, 0);
  cr_expect_eq(Totals.RunTwice, 0, "orders that ran twice: %lu",
               Totals.RunTwice);
  cr_expect_eq(Totals.FalseNotRun, 0, "refusals that falsely deny a run: %lu",
               Totals.FalseNotRun);
  cr_expect_eq(Totals.WrongCaller, 0, "answers to the wrong caller: %lu",
               Totals.WrongCaller);
  cr_expect_eq(Totals.TruncatedAsComplete, 0);
  cr_expect_eq(Totals.NeverAnswered, 0, "requests without an answer: %lu",
               Totals.NeverAnswered);
}

Test(requests_at_most_once, round_robin_routing_runs_orders_twice) {
  RequestProtections Protections;
  Protections.Router = false;
  FaultRunTotals Totals = runFaults(1, RunsWithout, Protections);
  cr_assert_gt(Totals.RunTwice, 0);
  cr_assert_gt(Totals.FalseNotRun, 0);
}

Test(requests_at_most_once, claims_are_needed) {
  RequestProtections Protections;
  Protections.Claims = false;
  cr_assert_gt(runFaults(1, RunsWithout, Protections).RunTwice, 0);
}

Test(requests_at_most_once, conditional_writes_are_needed) {
  RequestProtections Protections;
  Protections.ConditionalWrites = false;
  cr_assert_gt(runFaults(1, 200, Protections).RunTwice, 0);
}

Test(requests_at_most_once, attempt_identity_is_needed) {
  RequestProtections Protections;
  Protections.AttemptIdentity = false;
  cr_assert_gt(runFaults(1, RunsWithout, Protections).WrongCaller, 0);
}

Test(requests_at_most_once, truncation_detection_is_needed) {
  RequestProtections Protections;
  Protections.TruncationDetected = false;
  cr_assert_gt(runFaults(1, RunsWithout, Protections).TruncatedAsComplete, 0);
}

Test(requests_at_most_once, proof_of_not_sent_is_needed) {
  RequestProtections Protections;
  Protections.SendTracked = false;
  FaultRunTotals Totals = runFaults(1, RunsWithout, Protections);
  cr_assert_gt(Totals.RunTwice + Totals.FalseNotRun, 0);
}
