/// \file
/// The stand-in store brings about each fault that it promises.
#include "support/FakeStore.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

/// The result of a call that is answered at once.
StoreResult ask(FakeStore &Store, StoreRequest Request, TimePoint Now = Start) {
  Store.call(std::move(Request), Now);
  auto Answers = Store.takeAnswers(Now);
  cr_assert_eq(Answers.size(), 1U);
  return Answers.front().Answer.Result;
}

} // namespace

Test(state_fake_store, conditional_write_conflicts_with_the_current_value) {
  FakeStore Store;
  ask(Store, PutRequest{"a", "1", StoreRevision(0), {}});
  StoreResult Second = ask(Store, PutRequest{"a", "2", StoreRevision(0), {}});
  const auto *Conflict = std::get_if<ConflictAnswer>(&Second);
  cr_assert(Conflict && Conflict->Current);
  cr_assert(Conflict->Current->Value == "1");
}

Test(state_fake_store, lost_answer_took_effect) {
  FakeStore Store;
  Store.addFault({.Fault = StoreFault::LoseAnswer, .Calls = 1});
  Store.call(PutRequest{"a", "1", {}, {}}, Start);
  cr_assert(Store.takeAnswers(Start + std::chrono::hours(1)).empty());
  cr_assert_eq(Store.entries().count("a"), 1U);
}

Test(state_fake_store, lapsed_lease_deletes_its_keys_and_wakes_a_watch) {
  FakeStore Store;
  StoreResult Granted = ask(Store, LeaseGrantRequest{std::chrono::seconds(3)});
  StoreLeaseId Lease = std::get<LeaseAnswer>(Granted).Lease;
  ask(Store, PutRequest{"a", "1", {}, Lease});
  Store.call(WatchRequest{"a", Store.revision(), std::chrono::seconds(30)},
             Start);
  cr_assert(Store.takeAnswers(Start + std::chrono::seconds(2)).empty());
  auto Answers = Store.takeAnswers(Start + std::chrono::seconds(3));
  cr_assert_eq(Answers.size(), 1U);
  const auto &Events = std::get<EventsAnswer>(Answers[0].Answer.Result).Events;
  cr_assert_eq(Events.size(), 1U);
  cr_assert_not(Events[0].Entry.has_value());
}

Test(state_fake_store, stale_read_carries_the_old_revision) {
  FakeStore Store;
  ask(Store, PutRequest{"a", "1", {}, {}});
  StoreRevision Old = Store.revision();
  Store.addFault({.Fault = StoreFault::Stale, .KeyPrefix = "a"});
  ask(Store, PutRequest{"a", "2", {}, {}});
  Store.call(GetRequest{"a"}, Start);
  auto Answers = Store.takeAnswers(Start);
  cr_assert_eq(Answers.size(), 1U);
  cr_assert(Answers[0].Answer.Revision == Old);
  cr_assert(Store.revision() > Old);
  const auto &Read = std::get<EntryAnswer>(Answers[0].Answer.Result);
  cr_assert(Read.Entry && Read.Entry->Value == "1");
}

Test(state_fake_store, calls_over_the_rate_are_refused_and_counted) {
  FakeStore Store;
  Store.setRateLimit(2);
  ask(Store, GetRequest{"a"});
  ask(Store, GetRequest{"a"});
  StoreResult Third = ask(Store, GetRequest{"a"});
  cr_assert(std::holds_alternative<RefusedAnswer>(Third));
  cr_assert_eq(Store.counters().Calls, 3U);
  cr_assert_eq(Store.counters().Refused, 1U);
}

Test(state_fake_store, watch_before_the_kept_changes_is_told_to_list_again) {
  FakeStore Store;
  Store.setEventsKept(2);
  for (int I = 0; I != 5; ++I)
    ask(Store, PutRequest{"a", "1", {}, {}});
  StoreResult Result = ask(Store, WatchRequest{"a", StoreRevision(1), {}});
  cr_assert(std::get<EventsAnswer>(Result).Compacted);
}
