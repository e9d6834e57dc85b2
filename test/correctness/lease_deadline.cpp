/// \file
/// The holder's deadline of a lease precedes the store's, also after a pause of
/// the holder.
#include "state/Lease.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

} // namespace

Test(state_lease, deadline_counts_from_when_the_call_was_sent) {
  Lease OwnerLease(StoreLeaseId(1), 3s, Start);
  // The answer arrived one second after the request; the lease still ends 3 s
  // after the request.
  cr_assert(OwnerLease.isValid(Start + 2999ms));
  cr_assert_not(OwnerLease.isValid(Start + 3s));
}

Test(state_lease, paused_holder_detects_the_expired_lease) {
  Lease OwnerLease(StoreLeaseId(1), 3s, Start);
  OwnerLease.recordRenewal(Start + 1s);
  cr_assert(OwnerLease.deadline() == Start + 4s);
  cr_assert_not(OwnerLease.isValid(Start + 60s));
}

Test(state_lease, answer_to_an_older_renewal_does_not_shorten_it) {
  Lease OwnerLease(StoreLeaseId(1), 3s, Start);
  OwnerLease.recordRenewal(Start + 2s);
  OwnerLease.recordRenewal(Start + 1s);
  cr_assert(OwnerLease.deadline() == Start + 5s);
}

Test(state_lease, late_answer_does_not_renew_a_lost_lease) {
  Lease OwnerLease(StoreLeaseId(1), 3s, Start);
  OwnerLease.reset();
  OwnerLease.recordRenewal(Start + 1s);
  cr_assert_not(OwnerLease.isValid(Start + 1s));
}
