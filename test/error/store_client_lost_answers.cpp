/// \file
/// A conditional write whose answer was lost is resolved by reading its write
/// identity back from the store.
#include "support/StoreDriver.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

PutRequest create(std::uint64_t Sequence) {
  WriteIdentity Identity{Incarnation(7), Sequence};
  return {"k", stampValue(Identity, "payload"), StoreRevision(0), {}};
}

} // namespace

Test(state_client, lost_answer_of_an_applied_write_is_resolved_as_done) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::LoseAnswer, .MaxCalls = 1});
  StoreOutcome Outcome = Driver.run(create(1), Now);
  cr_assert(Outcome.Status == StoreStatus::Done);
  cr_assert_eq(Driver.client().counters().ResolvedOwn, 1U);
  cr_assert_eq(Store.counters().Writes, 1U);
}

Test(state_client, lost_answer_is_a_false_conflict_without_identity) {
  FakeStore Store;
  StoreClientOptions Options;
  Options.ResolveByIdentity = false;
  StoreDriver Driver(Store, Options);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::LoseAnswer, .MaxCalls = 1});
  StoreOutcome Outcome = Driver.run(create(1), Now);
  cr_assert(Outcome.Status == StoreStatus::Conflict,
            "without the write identity, the client must report a conflict");
}

Test(state_client, lost_call_that_did_not_apply_is_sent_again) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::DropCall, .MaxCalls = 1});
  StoreOutcome Outcome = Driver.run(create(1), Now);
  cr_assert(Outcome.Status == StoreStatus::Done);
  cr_assert_eq(Driver.client().counters().ResolvedUnchanged, 1U);
}

Test(state_client, lost_answer_with_a_foreign_value_is_overwritten) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::LoseAnswer, .MaxCalls = 1});
  StoreOperationId Id =
      Driver.client().submit(create(1), Now, Now + std::chrono::seconds(5));
  Driver.step(Now);
  Store.call(PutRequest{"k", "theirs", {}, {}}, Now);
  for (; Now < Start + std::chrono::seconds(5);
       Now += std::chrono::milliseconds(5)) {
    for (const StoreOutcome &Outcome : Driver.step(Now)) {
      cr_assert(Outcome.Operation == Id);
      cr_assert(Outcome.Status == StoreStatus::Overwritten);
      return;
    }
  }
  cr_assert(false, "the operation must complete within 5 s");
}

Test(state_client, conflict_without_a_lost_answer_is_certain) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Driver.run(create(1), Now);
  StoreOutcome Outcome = Driver.run(create(2), Now);
  cr_assert(Outcome.Status == StoreStatus::Conflict);
}

Test(state_client, write_that_only_ever_times_out_is_unknown) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault({.Fault = StoreFault::DropCall});
  StoreOutcome Outcome = Driver.run(create(1), Now, std::chrono::seconds(2));
  cr_assert(Outcome.Status == StoreStatus::Unknown);
}

Test(state_client, stale_read_is_detected_and_read_again) {
  FakeStore Store;
  StoreDriver Driver(Store);
  TimePoint Now = Start;
  Store.addFault(
      {.Fault = StoreFault::Stale, .MaxCalls = 2, .KeyPrefix = "stale"});
  Driver.run(PutRequest{"stale/k", "new", {}, {}}, Now);
  // The fault rule also matches the write, on which it has no effect.
  StoreOutcome Outcome = Driver.run(GetRequest{"stale/k"}, Now);
  cr_assert(Outcome.Status == StoreStatus::Done);
  const auto &Read = std::get<EntryAnswer>(Outcome.Answer.Result);
  cr_assert(Read.Entry && Read.Entry->Value == "new");
  cr_assert_eq(Driver.client().counters().StaleAnswers, 1U);
}
