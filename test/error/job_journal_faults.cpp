/// \file
/// Accepted jobs are recorded before the caller gets an answer, and only once
/// in the deployment, under races, lost answers and outages.
#include "support/JournalSimulation.h"

#include "state/OutageAdmission.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

Test(state_journal, burst_of_1000_takes_at_most_100_writes) {
  JournalSimulation Rig(1);
  Rig.advance(100ms);
  for (std::uint64_t Job = 1; Job <= 1000; ++Job) {
    Rig.submit(0, JobId(Job));
    if (Job % 5 == 0)
      Rig.advance(5ms);
  }
  Rig.advance(1s);
  for (std::uint64_t Job = 1; Job <= 1000; ++Job)
    cr_assert(Rig.answer(0, JobId(Job)) == AcceptResult::Accepted);
  cr_assert_leq(Rig.Store.counters().Writes, 100U);
}

Test(state_journal, concurrent_submission_in_three_domains_is_accepted_once) {
  JournalSimulation Rig(3);
  Rig.advance(100ms);
  for (std::uint64_t Job = 1; Job <= 200; ++Job)
    for (std::size_t Domain = 0; Domain != 3; ++Domain)
      Rig.submit(Domain, JobId(Job));
  Rig.advance(3s);
  for (std::uint64_t Job = 1; Job <= 200; ++Job)
    cr_assert_eq(Rig.schedulingDomains(JobId(Job)), 1U);
}

Test(state_journal, new_owner_loads_accepted_jobs_that_have_not_ended) {
  JournalSimulation Rig(2);
  Rig.advance(100ms);
  Rig.submit(0, JobId(1));
  Rig.submit(0, JobId(2));
  Rig.submit(1, JobId(3));
  Rig.advance(1s);
  Rig.end(0, JobId(2));
  Rig.advance(1s);
  Rig.restart(0);
  Rig.advance(1s);
  cr_assert(Rig.loaded(0)->Complete);
  cr_assert_eq(Rig.loaded(0)->Jobs.size(), 1U);
  cr_assert_eq(Rig.loaded(0)->Jobs.count(JobId(1)), 1U);
  Rig.submit(0, JobId(2));
  Rig.advance(1s);
  cr_assert(Rig.answer(0, JobId(2)) == AcceptResult::AlreadyKnown);
}

Test(state_journal, outage_refuses_at_once_and_leaves_no_record) {
  JournalSimulation Rig(1);
  Rig.advance(100ms);
  Rig.Store.addFault({.Fault = StoreFault::Fail});
  Rig.submit(0, JobId(1));
  Rig.advance(10s);
  Rig.submit(0, JobId(2));
  Rig.advance(100ms);
  cr_assert(Rig.answer(0, JobId(2)) == AcceptResult::Refused);
  Rig.Store.clearFaults();
  Rig.advance(10s);
  Rig.restart(0);
  Rig.advance(1s);
  cr_assert_eq(Rig.loaded(0)->Jobs.count(JobId(2)), 0U);
}

Test(state_journal, ends_delayed_by_an_outage_are_recorded_after_it) {
  JournalSimulation Rig(1);
  Rig.advance(100ms);
  Rig.submit(0, JobId(1));
  Rig.advance(1s);
  Rig.Store.addFault({.Fault = StoreFault::Fail});
  Rig.end(0, JobId(1));
  Rig.advance(60s);
  cr_assert(Rig.ended(0).empty());
  Rig.Store.clearFaults();
  Rig.advance(10s);
  cr_assert_eq(Rig.ended(0).count(JobId(1)), 1U);
}

Test(state_journal, lost_answers_neither_lose_nor_duplicate_a_job) {
  for (std::uint32_t Seed = 0; Seed != 30; ++Seed) {
    JournalSimulation Rig(3);
    Rig.advance(100ms);
    StoreFault Fault = Seed % 3 == 0   ? StoreFault::LoseAnswer
                       : Seed % 3 == 1 ? StoreFault::FailAfterApplying
                                       : StoreFault::DropCall;
    Rig.Store.addFault({.Fault = Fault, .Probability = 0.1 + 0.025 * Seed});
    for (std::uint64_t Job = 1; Job <= 40; ++Job) {
      Rig.submit(Job % 3, JobId(Job));
      Rig.submit((Job + 1) % 3, JobId(Job));
      Rig.advance(20ms);
    }
    Rig.advance(20s);
    Rig.Store.clearFaults();
    Rig.advance(20s);
    for (std::uint64_t Job = 1; Job <= 40; ++Job) {
      std::size_t InStore = 0;
      for (std::uint64_t Page = 0; Page != JournalPages; ++Page) {
        auto Found = Rig.Store.entries().find(journalPageKey(Page));
        if (Found == Rig.Store.entries().end())
          continue;
        auto Decoded = JournalPage::decode(Found->second.Value);
        InStore += Decoded->entries().count(JobId(Job));
      }
      cr_assert_eq(Rig.schedulingDomains(JobId(Job)), InStore,
                   "seed %u job %lu", Seed, static_cast<unsigned long>(Job));
    }
    for (std::size_t Domain = 0; Domain != 3; ++Domain)
      cr_assert_eq(Rig.journal(Domain).pending(), 0U);
  }
}

Test(state_journal, ended_jobs_are_dropped_oldest_first) {
  JournalPage Page;
  for (std::uint64_t Job = 1; Job <= EndedJobsPerPage + 10; ++Job) {
    Page.accept(JobId(Job), DomainId("a"), "payload");
    Page.end(JobId(Job), DomainId("a"), JobPhase::Failed, Reason::WorkerLost);
  }
  Page.accept(JobId(9999), DomainId("a"), "payload");
  cr_assert_eq(Page.entries().size(), EndedJobsPerPage + 1);
  cr_assert_eq(Page.entries().count(JobId(10)), 0U);
  cr_assert_eq(Page.entries().count(JobId(11)), 1U);
  auto Read = JournalPage::decode(Page.encode({Incarnation(1), 1}));
  cr_assert(Read && Read->entries() == Page.entries());
  cr_assert_eq(Read->bytes(), Page.bytes());
}

Test(state_journal, full_page_refuses_instead_of_overflowing) {
  JournalSimulation Rig(1);
  Rig.advance(100ms);
  std::size_t Refused = 0;
  for (std::uint64_t Job = 1; Job <= 30000; ++Job) {
    Rig.submit(0, JobId(Job));
    if (Job % 3000 == 0)
      Rig.advance(300ms);
  }
  Rig.advance(1s);
  for (std::uint64_t Job = 1; Job <= 30000; ++Job)
    Refused += Rig.answer(0, JobId(Job)) == AcceptResult::Refused ? 1 : 0;
  cr_assert_gt(Refused, 0U);
  for (const auto &[Key, Entry] : Rig.Store.entries())
    cr_assert_leq(Entry.Value.size(), MaxStoreValueBytes);
}

Test(state_outage_admission, keyed_job_needs_the_response_of_every_domain) {
  std::vector<DomainId> All{DomainId("a"), DomainId("b"), DomainId("c")};
  JobId Job(7);
  DomainId HomeDomain = outageHomeDomain(Job, All);
  std::map<DomainId, JobKnowledge> Answers;
  for (const DomainId &Domain : All)
    Answers[Domain] = JobKnowledge::Absent;
  using Kind = OutageDecision::Kind;
  cr_assert(decideOutageAdmission(Job, true, HomeDomain, All, Answers).Action ==
            Kind::AcceptWhenHeld);
  for (const DomainId &Other : All) {
    if (Other == HomeDomain)
      continue;
    cr_assert(decideOutageAdmission(Job, true, Other, All, Answers).Action ==
              Kind::Forward);
    for (JobKnowledge Bad :
         {JobKnowledge::Unreachable, JobKnowledge::Incomplete}) {
      auto Changed = Answers;
      Changed[Other] = Bad;
      OutageDecision Decision =
          decideOutageAdmission(Job, true, HomeDomain, All, Changed);
      cr_assert(Decision.Action == Kind::Refuse);
      cr_assert(Decision.Cause == Reason::StoreUnavailable);
    }
    auto KnownAnswers = Answers;
    KnownAnswers[Other] = JobKnowledge::Known;
    cr_assert(decideOutageAdmission(Job, true, HomeDomain, All, KnownAnswers)
                  .Domain == Other);
  }
}

Test(state_outage_admission, job_without_a_key_is_accepted_anywhere) {
  std::vector<DomainId> All{DomainId("a"), DomainId("b")};
  cr_assert(
      decideOutageAdmission(JobId(1), false, DomainId("b"), All, {}).Action ==
      OutageDecision::Kind::AcceptWhenHeld);
}
