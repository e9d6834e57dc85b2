/// \file
/// The holder's deadline comes before the store's, also after a pause.
#include "state/Lease.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

} // namespace

Test(state_lease, deadline_counts_from_when_the_call_was_sent) {
  Lease Held(StoreLeaseId(1), 3s, Start);
  // The answer took a second to come; the lease still ends 3 s after sending.
  cr_assert(Held.isValid(Start + 2999ms));
  cr_assert_not(Held.isValid(Start + 3s));
}

Test(state_lease, paused_holder_knows_that_it_lost_the_lease) {
  Lease Held(StoreLeaseId(1), 3s, Start);
  Held.recordRenewal(Start + 1s);
  cr_assert(Held.deadline() == Start + 4s);
  cr_assert_not(Held.isValid(Start + 60s));
}

Test(state_lease, answer_of_an_older_renewal_does_not_shorten_it) {
  Lease Held(StoreLeaseId(1), 3s, Start);
  Held.recordRenewal(Start + 2s);
  Held.recordRenewal(Start + 1s);
  cr_assert(Held.deadline() == Start + 5s);
}

Test(state_lease, a_lost_lease_cannot_be_renewed_by_a_late_answer) {
  Lease Held(StoreLeaseId(1), 3s, Start);
  Held.reset();
  Held.recordRenewal(Start + 1s);
  cr_assert_not(Held.isValid(Start + 1s));
}
