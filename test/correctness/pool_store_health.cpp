/// \file
/// Checks when StoreHealth takes the store for unavailable, and that detection
/// changes nothing while the store answers.
#include "pool/StoreHealth.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start(100s);

/// Returns the log lines of a seeded run without faults, in which a slow store
/// responds after \p Latency in each direction.
std::vector<std::string> runLines(bool DetectsOutages, Duration Latency) {
  PoolSimulation Simulation(7, 2, 2);
  Simulation.DetectsOutages = DetectsOutages;
  for (std::size_t Number = 0; Number < 2; ++Number) {
    Simulation.daemon(Number).Store.Faults.Latency = Latency;
    Simulation.restart(Number);
  }
  Simulation.runFor(5s);
  for (std::uint64_t Id = 1; Id <= 60; ++Id) {
    Simulation.submit(Id % 2, Simulation.job(Id, 1 + Id % 5, 4, Id % 3 == 0,
                                             Duration(100ms) * (Id % 20)));
    if (Id % 7 == 0)
      Simulation.cancel(0, JobId(Id - 3));
    Simulation.runFor(100ms);
  }
  Simulation.runFor(20s);
  std::vector<std::string> Lines;
  for (std::size_t Number = 0; Number < 2; ++Number) {
    const RecordingLog &Log = Simulation.daemon(Number).Log;
    cr_assert_eq(Log.count("store.watch.stalled"), 0U);
    cr_assert_eq(Log.count("record.create"), Log.count("tries=1"));
    Lines.insert(Lines.end(), Log.lines().begin(), Log.lines().end());
  }
  return Lines;
}

} // namespace

Test(pool_store_health, nothing_changes_while_the_store_answers) {
  auto With = runLines(true, 2ms);
  cr_assert(With.size() > 100);
  cr_assert(With == runLines(false, 2ms));
}

Test(pool_store_health, slow_store_is_available) {
  // Rejecting jobs because the store takes 0.4 s loses them for nothing.
  StoreHealth Health;
  TimePoint Now = Start;
  for (unsigned Round = 0; Round < 20; ++Round) {
    auto Call = Health.callSent(Now, Now);
    cr_assert(Health.available(Now + 500ms));
    Health.callEnded(Call, true, Now + 500ms);
    Now += 2s;
    cr_assert(Health.available(Now));
  }
}

Test(pool_store_health, single_lost_answer_is_no_outage) {
  StoreHealth Health;
  auto Lost = Health.callSent(Start, Start);
  auto Second = Health.callSent(Start + 100ms, Start + 100ms);
  Health.callEnded(Second, true, Start + 104ms);
  cr_assert(Health.available(Start + 1s));
  Health.callEnded(Lost, false, Start + 1200ms);
  cr_assert(Health.available(Start + 1200ms));
}

Test(pool_store_health, watches_that_are_cut_together_are_no_outage) {
  // The store cuts all watches when it drops its history, and still serves.
  StoreHealth Health;
  std::vector<StoreHealth::CallNumber> Watches;
  for (unsigned Count = 0; Count < 4; ++Count)
    Watches.push_back(Health.callSent(Start, Start + 1s));
  for (auto Watch : Watches)
    Health.callEnded(Watch, false, Start + 300ms);
  cr_assert(Health.available(Start + 300ms));
  auto Retry = Health.callSent(Start + 450ms, Start + 450ms);
  Health.callEnded(Retry, false, Start + 451ms);
  cr_assert_not(Health.available(Start + 451ms));
}

Test(pool_store_health, silent_store_is_unavailable_until_it_answers) {
  StoreHealth Health;
  // A watch may wait for its time; only then is its answer overdue.
  Health.callSent(Start, Start + 1s);
  cr_assert(Health.available(Start + 1500ms));
  cr_assert_not(Health.available(Start + 1600ms));
  auto Probe = Health.callSent(Start + 2s, Start + 2s);
  cr_assert_not(Health.available(Start + 2s));
  Health.callEnded(Probe, true, Start + 2004ms);
  cr_assert(Health.available(Start + 2004ms));
}

Test(pool_store_health, retry_times_are_spread) {
  // Callers that were rejected together and return together reject each other
  // again.
  StoreHealth Health;
  Health.callSent(Start, Start);
  std::set<Duration> Delays;
  for (std::uint64_t Id = 0; Id < 64; ++Id) {
    Duration Delay = Health.retryAfter(Start + 30s, Id);
    cr_assert(Delay >= 1s && Delay <= 4s);
    Delays.insert(Delay);
  }
  cr_assert(Delays.size() >= 16);
}

Test(pool_store_health, arriving_answer_is_taken_for_an_outage) {
  // A large answer over a slow link takes seconds to arrive.
  StoreHealth Health;
  auto Call = Health.callSent(Start, Start + 1s);
  for (Duration Elapsed = 1s; Elapsed < 5s; Elapsed += 500ms) {
    Health.answerArriving(Start + Elapsed);
    cr_assert(Health.available(Start + Elapsed + 400ms));
  }
  Health.callEnded(Call, true, Start + 5s);
  // One that has stopped arriving hides no outage.
  Health.callSent(Start + 5s, Start + 5s);
  Health.answerArriving(Start + 5100ms);
  Health.callSent(Start + 6s, Start + 6s);
  cr_assert_not(Health.available(Start + 6700ms));
}
