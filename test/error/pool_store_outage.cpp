/// \file
/// Checks that entries answer submissions in a store outage without leaving
/// outcomes unknown that can be learned. Callers may not send a job with an
/// unknown outcome again, so each such answer loses a job.
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <cstdint>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

/// The write of a request ends this long before its deadline of 3 s.
constexpr Duration ReplyMargin = IntakeLimits().ReplyMargin;

/// Time that an entry needs to learn an outcome from a store that answers.
constexpr Duration LookTime = 150ms;

enum class Outage : std::uint8_t { Silent, Resets, Refuses };

void begin(StoreFaults &Faults, Outage Kind) {
  Faults.Unresponsive = Kind == Outage::Silent;
  Faults.ResetsConnections = Kind == Outage::Resets;
  Faults.RefusesCalls = Kind == Outage::Refuses;
}

void detectOutages(PoolSimulation &Simulation) {
  Simulation.DetectsOutages = true;
  for (std::size_t Number = 0; Number < Simulation.daemonCount(); ++Number)
    Simulation.restart(Number);
  Simulation.runFor(2s);
}

} // namespace

Test(pool_store_outage, known_outage_is_answered_at_once_with_a_retry_time) {
  for (Outage Kind : {Outage::Silent, Outage::Resets, Outage::Refuses}) {
    PoolSimulation Simulation(1, 2, 1);
    detectOutages(Simulation);
    begin(Simulation.daemon(1).Store.Faults, Kind);
    // The first write is sent before the entry can know.
    Simulation.submit(1, Simulation.job(1, 1, 1, false));
    Simulation.runFor(700ms);
    for (std::uint64_t Id = 100; Id < 140; ++Id) {
      auto Answer = Simulation.submit(1, Simulation.job(Id, 1, 1, false));
      Simulation.runFor(10ms);
      cr_assert(*Answer == Reason::StoreUnavailable, "kind %d, job %lu",
                static_cast<int>(Kind), static_cast<unsigned long>(Id));
      cr_assert(Simulation.RetryAfter[JobId(Id)] >= 1s);
    }
    Simulation.runFor(10s);
    Simulation.daemon(1).Store.Faults = StoreFaults();
    // The timeout of a call to a silent store and WatchTiming::RetryDelay.
    Simulation.runFor(1200ms);
    auto Later = Simulation.submit(1, Simulation.job(2, 1, 1, false));
    Simulation.runFor(5s);
    cr_assert(*Later == Reason::None);
    cr_assert(Simulation.visibleStatus(JobId(2)) == JobStatus::Completed);
    for (std::uint64_t Id = 100; Id < 140; ++Id)
      cr_assert_not(Simulation.Pool.firstStart(JobId(Id)));
  }
}

Test(pool_store_outage, outcome_is_known_if_the_store_returns_in_time) {
  // The request was sent when the outage began; a store that answered again
  // just before the deadline was not asked again in time.
  for (Outage Kind : {Outage::Silent, Outage::Resets, Outage::Refuses}) {
    for (Duration Length = 50ms; Length <= 3s - ReplyMargin - LookTime;
         Length += 50ms) {
      PoolSimulation Simulation(1, 2, 1);
      detectOutages(Simulation);
      begin(Simulation.daemon(1).Store.Faults, Kind);
      auto Answer = Simulation.submit(1, Simulation.job(1, 1, 1, false));
      Simulation.runFor(Length);
      Simulation.daemon(1).Store.Faults = StoreFaults();
      Simulation.runFor(3s - Length);
      cr_assert(*Answer && *Answer != Reason::OutcomeUnknown,
                "kind %d, outage of %ld ms", static_cast<int>(Kind),
                static_cast<long>(Length / 1ms));
      Simulation.runFor(8s);
      bool Ran = Simulation.Pool.firstStart(JobId(1)).has_value();
      cr_assert(Ran == (*Answer == Reason::None));
    }
  }
}

Test(pool_store_outage, job_reported_as_not_accepted_survives_no_late_write) {
  // The store executes the first write five seconds late. It answers again
  // only when the deadline is near, so that the entry supersedes the write.
  unsigned RejectedCount = 0;
  for (Duration Length = 100ms; Length < 3s; Length += 100ms) {
    PoolSimulation Simulation(1, 2, 1);
    detectOutages(Simulation);
    StoreFaults &Faults = Simulation.daemon(1).Store.Faults;
    Faults.LostAnswerRate = 1.0;
    Faults.LostWriteDelay = 5s;
    auto Answer = Simulation.submit(1, Simulation.job(1, 1, 1, false));
    Faults = StoreFaults();
    Faults.Unresponsive = true;
    Simulation.runFor(Length);
    Faults = StoreFaults();
    Simulation.runFor(3s - Length);
    cr_assert(Answer->has_value());
    Simulation.runFor(10s);
    bool Ran = Simulation.Pool.firstStart(JobId(1)).has_value();
    if (*Answer == Reason::None)
      cr_assert(Ran);
    if (*Answer == Reason::StoreUnavailable) {
      ++RejectedCount;
      cr_assert_not(Ran, "outage of %ld ms", static_cast<long>(Length / 1ms));
    }
  }
  cr_assert(RejectedCount > 0);
}

Test(pool_store_outage, lost_answer_is_looked_up) {
  // The store executes each write, and loses the answers for two seconds.
  PoolSimulation Simulation(1, 2, 1);
  detectOutages(Simulation);
  Simulation.daemon(1).Store.Faults.LostAnswerRate = 1.0;
  auto Answer = Simulation.submit(1, Simulation.job(1, 1, 1, false));
  Simulation.runFor(2s);
  Simulation.daemon(1).Store.Faults = StoreFaults();
  Simulation.runFor(500ms);
  cr_assert(*Answer == Reason::None);
  Simulation.runFor(5s);
  cr_assert(Simulation.visibleStatus(JobId(1)) == JobStatus::Completed);
}

Test(pool_store_outage, accepted_job_is_confirmed_in_an_outage) {
  PoolSimulation Simulation(1, 2, 1);
  detectOutages(Simulation);
  auto Spec = Simulation.job(1, 1, 1, false);
  Simulation.submit(1, Spec);
  Simulation.runFor(1s);
  Simulation.daemon(1).Store.Faults.Unresponsive = true;
  Simulation.runFor(3s);
  cr_assert(*Simulation.submit(1, Spec) == Reason::None);
}
