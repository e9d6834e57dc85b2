/// \file
/// A start permission requires a proof and expires with it; an out-of-service
/// change is accepted by a majority.
#include "state/OutOfServiceTracker.h"
#include "state/StartPermission.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

const DomainId A("a");
const DomainId B("b");
const DomainId C("c");

/// The permission of domain a with version 5 in force, in which a is in
/// service.
StartPermission configured(const StartPermission::Options &Settings = {}) {
  StartPermission Permission(A, Settings);
  Permission.handle(PermissionConfiguration{ConfigVersion(5), true, {A, B, C}},
                    Start);
  return Permission;
}

} // namespace

Test(state_permission, none_without_a_proof) {
  cr_assert_not(configured().mayStart(Start));
}

Test(state_permission, root_read_counts_from_when_it_was_fresh) {
  StartPermission Permission = configured();
  Permission.handle(RootConfirmed{ConfigVersion(5), Start}, Start + 1s);
  cr_assert(Permission.startUntil() == Start + StartPermissionLifetime);
  cr_assert(Permission.source(Start + 1s) == PermissionSource::Store);
}

Test(state_permission, ends_at_once_when_out_is_in_force) {
  StartPermission Permission = configured();
  Permission.handle(RootConfirmed{ConfigVersion(5), Start}, Start);
  Permission.handle(PermissionConfiguration{ConfigVersion(6), false, {A, B, C}},
                    Start);
  cr_assert_not(Permission.mayStart(Start));
}

Test(state_permission, newer_root_counts_only_once_it_is_in_force) {
  StartPermission Permission = configured();
  Permission.handle(RootConfirmed{ConfigVersion(6), Start}, Start);
  cr_assert_not(Permission.mayStart(Start));
  Permission.handle(PermissionConfiguration{ConfigVersion(6), true, {A, B, C}},
                    Start + 500ms);
  cr_assert(Permission.startUntil() == Start + StartPermissionLifetime);
}

Test(state_permission, older_root_is_no_proof) {
  StartPermission Permission = configured();
  Permission.handle(RootConfirmed{ConfigVersion(4), Start}, Start);
  cr_assert_not(Permission.mayStart(Start));
}

Test(state_permission, majority_of_owners_counts_from_its_oldest_question) {
  StartPermission Permission = configured();
  Permission.handle(OwnerVersionReported{B, ConfigVersion(5), Start + 1s},
                    Start + 1s);
  cr_assert_not(Permission.mayStart(Start + 1s),
                "one of three domains is not a majority");
  Permission.handle(OwnerVersionReported{C, ConfigVersion(4), Start},
                    Start + 1s);
  cr_assert(Permission.startUntil() == Start + StartPermissionLifetime);
  cr_assert(Permission.source(Start + 1s) == PermissionSource::Owners);
}

Test(state_permission, owner_with_a_newer_version_is_no_proof) {
  StartPermission Permission = configured();
  Permission.handle(OwnerVersionReported{B, ConfigVersion(5), Start}, Start);
  Permission.handle(OwnerVersionReported{C, ConfigVersion(6), Start}, Start);
  cr_assert_not(Permission.mayStart(Start));
}

Test(state_permission, unknown_domains_have_no_vote) {
  StartPermission Permission = configured();
  Permission.handle(OwnerVersionReported{B, ConfigVersion(5), Start}, Start);
  Permission.handle(
      OwnerVersionReported{DomainId("x"), ConfigVersion(5), Start}, Start);
  cr_assert_not(Permission.mayStart(Start));
}

Test(state_permission, owner_that_may_vote_counts_itself) {
  StartPermission Permission = configured();
  Permission.handle(PermissionOwnershipGained{}, Start);
  Permission.handle(RootConfirmed{ConfigVersion(5), Start}, Start);
  Permission.handle(PermissionOwnershipStatus{false, Start + 9s}, Start + 9s);
  cr_assert_not(Permission.mayStart(Start + 9s));
  Permission.handle(OwnerVersionReported{B, ConfigVersion(5), Start + 9s},
                    Start + 9s);
  cr_assert(Permission.startUntil() == Start + 9s + StartPermissionLifetime);
}

Test(state_permission, new_owner_votes_after_a_majority_of_statements) {
  StartPermission Permission = configured();
  Permission.handle(PermissionOwnershipGained{}, Start);
  Permission.handle(PermissionOwnershipStatus{true, Start}, Start);
  cr_assert_not(Permission.mayVote(Start + 2s));
  Permission.handle(OwnerVersionReported{B, ConfigVersion(5), Start + 2s},
                    Start + 2s);
  cr_assert_not(Permission.mayVote(Start + 2s));
  Permission.handle(OwnerVersionReported{C, ConfigVersion(5), Start + 2s},
                    Start + 2s);
  cr_assert(Permission.mayVote(Start + 2s));
}

Test(state_permission, owner_without_lease_votes_while_in_contact_with_domain) {
  StartPermission Permission = configured();
  Permission.handle(PermissionOwnershipGained{}, Start);
  Permission.handle(RootConfirmed{ConfigVersion(5), Start}, Start);
  Permission.handle(PermissionOwnershipStatus{false, Start + 3s}, Start + 3s);
  cr_assert(Permission.mayVote(Start + 4s));
  cr_assert_not(Permission.mayVote(Start + 5s));
  Permission.handle(PermissionOwnershipStatus{true, Start + 3s}, Start + 5s);
  cr_assert(Permission.mayVote(Start + 5s));
}

Test(state_permission, owners_are_asked_only_while_the_store_is_unavailable) {
  StartPermission Permission = configured();
  std::size_t AskCount = 0;
  for (TimePoint Now = Start; Now < Start + 10s; Now += 100ms) {
    Permission.handle(RootConfirmed{ConfigVersion(5), Now}, Now);
    for (const auto &Action : Permission.handle(PermissionTick{}, Now))
      AskCount += std::holds_alternative<AskOwners>(Action) ? 1 : 0;
  }
  cr_assert_eq(AskCount, 0U);
  for (TimePoint Now = Start + 10s; Now < Start + 20s; Now += 100ms)
    for (const auto &Action : Permission.handle(PermissionTick{}, Now))
      AskCount += std::holds_alternative<AskOwners>(Action) ? 1 : 0;
  cr_assert(AskCount >= 10 && AskCount <= 13);
}

Test(state_out, recorded_until_a_majority_has_it_at_one_time) {
  OutOfServiceTracker Tracker(ConfigVersion(6), {A, B, C}, {DaemonId("a1")});
  Epoch Term(1);
  Tracker.ownerConfirmed(B, Term, ConfigVersion(6), Start, Start + 1s);
  Tracker.ownerConfirmed(A, Term, ConfigVersion(5), Start, Start + 1s);
  Tracker.ownerConfirmed(C, Term, ConfigVersion(6), Start, Start + 1s);
  OutOfServiceReport Report = Tracker.report(Start + 1s);
  cr_assert(Report.Phase == OutOfServicePhase::Recorded);
  cr_assert_eq(Report.VotesMissing, 1U);
  cr_assert_not(Report.LatestStart.has_value());
  Tracker.ownerConfirmed(B, Term, ConfigVersion(6), Start + 2s, Start + 3s);
  cr_assert(Tracker.report(Start + 3s).Phase == OutOfServicePhase::Recorded);
  Tracker.ownerConfirmed(C, Term, ConfigVersion(6), Start + 2s, Start + 3s);
  cr_assert(Tracker.report(Start + 3s).Phase == OutOfServicePhase::Accepted);
}

Test(state_out, confirmation_of_an_owner_that_was_replaced_does_not_count) {
  OutOfServiceTracker Tracker(ConfigVersion(6), {A, B, C}, {});
  Tracker.ownerConfirmed(B, Epoch(1), ConfigVersion(6), Start, Start);
  Tracker.ownerConfirmed(C, Epoch(1), ConfigVersion(6), Start + 1s, Start + 1s);
  Tracker.ownerConfirmed(B, Epoch(2), ConfigVersion(6), Start + 2s, Start + 2s);
  cr_assert(Tracker.report(Start + 2s).Phase == OutOfServicePhase::Recorded);
  Tracker.ownerConfirmed(C, Epoch(1), ConfigVersion(6), Start + 3s, Start + 3s);
  cr_assert(Tracker.report(Start + 3s).Phase == OutOfServicePhase::Recorded);
  Tracker.ownerConfirmed(B, Epoch(2), ConfigVersion(6), Start + 3s, Start + 3s);
  cr_assert(Tracker.report(Start + 3s).Phase == OutOfServicePhase::Accepted);
}

Test(state_out, accepted_with_the_end_of_the_missing_daemons_permission) {
  OutOfServiceTracker Tracker(ConfigVersion(6), {A, B, C},
                              {DaemonId("a1"), DaemonId("a2")});
  for (TimePoint AskedAt : {Start, Start + 100ms}) {
    Tracker.ownerConfirmed(B, Epoch(1), ConfigVersion(6), AskedAt, AskedAt);
    Tracker.ownerConfirmed(C, Epoch(1), ConfigVersion(7), AskedAt,
                           AskedAt + 50ms);
  }
  Tracker.daemonConfirmed(DaemonId("a1"), ConfigVersion(6));
  OutOfServiceReport Report = Tracker.report(Start + 200ms);
  cr_assert(Report.Phase == OutOfServicePhase::Accepted);
  cr_assert(Report.Unconfirmed == std::vector{DaemonId("a2")});
  cr_assert(Report.LatestStart == Start + 150ms + MaxStartDelayAfterOut);
  cr_assert(MaxStartDelayAfterOut < 3s);
  cr_assert(Tracker.report(Start + 3s).Phase == OutOfServicePhase::InForce);
}

Test(state_out, in_force_at_once_when_every_daemon_confirmed) {
  OutOfServiceTracker Tracker(ConfigVersion(6), {A}, {DaemonId("a1")});
  Tracker.ownerConfirmed(A, Epoch(1), ConfigVersion(6), Start, Start);
  Tracker.ownerConfirmed(A, Epoch(1), ConfigVersion(6), Start + 1s, Start + 1s);
  Tracker.daemonConfirmed(DaemonId("a1"), ConfigVersion(6));
  cr_assert(Tracker.report(Start + 1s).Phase == OutOfServicePhase::InForce);
}
