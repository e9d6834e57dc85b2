/// \file
/// A job is cancelled while its submission is still on its way. Guards against
/// a job that is accepted after its cancellation was acknowledged, and runs.
#include "pool/JobName.h"
#include "pool/StoreKeys.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <string>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr JobId Subject(1);

/// A pool whose first daemon's writes take effect late and unanswered.
struct LateSubmission {
  PoolSimulation Simulation{7, 3, 1};
  std::size_t Late;
  std::size_t Other;

  LateSubmission() {
    Simulation.runFor(2s);
    std::size_t Owner = *Simulation.owner();
    Late = (Owner + 1) % 3;
    Other = (Owner + 2) % 3;
  }

  /// Hands the job in at a daemon whose write arrives after \p Delay.
  void submitLate(Duration Delay) {
    StoreFaults &Faults = Simulation.daemon(Late).Store.Faults;
    Faults.LostAnswerRate = 1.0;
    Faults.LostWriteDelay = Delay;
    Simulation.submit(Late, Simulation.job(Subject.value(), 1, 1, false, 30s));
    Simulation.runFor(50ms);
  }

  Reason cancel(std::size_t Daemon, JobId Id = Subject) {
    std::optional<Reason> Result;
    Simulation.daemon(Daemon).Intake->cancel(
        Id, Simulation.Clock.now() + 3s,
        [&Result](Reason Outcome) { Result = Outcome; });
    Simulation.runFor(200ms);
    cr_assert(Result.has_value());
    return *Result;
  }

  Reason submitAgain(std::size_t Daemon) {
    auto Answer = Simulation.submit(Daemon, Simulation.spec(Subject));
    Simulation.runFor(200ms);
    cr_assert(Answer->has_value());
    return **Answer;
  }

  std::size_t jobRecords() const {
    return Simulation.Shared.list(std::string(JobPrefix)).Entries.size();
  }
};

} // namespace

Test(pool_cancelled_submissions, late_write_creates_a_cancelled_job) {
  LateSubmission Run;
  Run.submitLate(5s);
  cr_assert(Run.cancel(Run.Other) == Reason::UnknownJob);
  Run.Simulation.runFor(8s);
  cr_assert_eq(Run.Simulation.Pool.starts(), 0U);
}

// The job was refused before, and its next submission is on its way.
Test(pool_cancelled_submissions, refused_job_is_handed_in_again_and_cancelled) {
  LateSubmission Run;
  std::string Key = std::string(JobPrefix) + jobName(Subject);
  Run.Simulation.Shared.put(Key, std::string(RefusalMarker));
  Run.Simulation.runFor(200ms);
  Run.submitLate(5s);
  cr_assert(Run.cancel(Run.Other) == Reason::UnknownJob);
  Run.Simulation.runFor(8s);
  cr_assert_eq(Run.Simulation.Pool.starts(), 0U);
}

Test(pool_cancelled_submissions, all_daemons_give_the_same_answer_afterwards) {
  LateSubmission Run;
  Run.submitLate(5s);
  cr_assert(Run.cancel(Run.Other) == Reason::UnknownJob);
  for (std::size_t Daemon : {Run.Late, Run.Other})
    Run.Simulation.restart(Daemon);
  Run.Simulation.removeDaemonFaults();
  Run.Simulation.runFor(6s);
  for (std::size_t Daemon = 0; Daemon < 3; ++Daemon) {
    cr_assert(Run.submitAgain(Daemon) == Reason::JobCancelled);
    cr_assert(Run.cancel(Daemon) == Reason::UnknownJob);
  }
  cr_assert_eq(Run.Simulation.Pool.starts(), 0U);
}

// A submission that reaches the store first is cancelled like any other job.
Test(pool_cancelled_submissions, job_is_accepted_just_before_its_cancellation) {
  LateSubmission Run;
  StoreFaults &Faults = Run.Simulation.daemon(Run.Other).Store.Faults;
  Faults.WatchesStalledUntil = Run.Simulation.Clock.now() + 3s;
  Faults.StallsAllWatches = true;
  Run.Simulation.submit(Run.Late,
                        Run.Simulation.job(Subject.value(), 1, 1, false, 30s));
  Run.Simulation.runFor(500ms);
  cr_assert(Run.cancel(Run.Other) == Reason::None);
  Run.Simulation.runFor(2s);
  cr_assert_eq(Run.Simulation.Pool.running(), 0U);
  cr_assert(Run.Simulation.visibleStatus(Subject) == JobStatus::Cancelled);
}

Test(pool_cancelled_submissions, daemon_without_the_store_cancels_nothing) {
  LateSubmission Run;
  Run.Simulation.daemon(Run.Other).Store.Faults.RefusesCalls = true;
  cr_assert(Run.cancel(Run.Other) == Reason::StoreUnavailable);
}

// Whoever cancels ids that do not exist must not fill the store.
Test(pool_cancelled_submissions, marks_are_limited_and_expire) {
  LateSubmission Run;
  std::size_t Limited = 0;
  for (std::uint64_t Id = 1000; Id < 1400; ++Id) {
    Run.Simulation.daemon(Run.Other).Intake->cancel(
        JobId(Id), Run.Simulation.Clock.now() + 3s, [&Limited](Reason Outcome) {
          cr_assert(Outcome == Reason::UnknownJob ||
                    Outcome == Reason::RateLimited);
          Limited += Outcome == Reason::RateLimited ? 1 : 0;
        });
  }
  Run.Simulation.runFor(1s);
  cr_assert_geq(Limited, 290U);
  cr_assert_leq(Run.jobRecords(), 110U);
  Run.Simulation.runFor(CancelMarks::LeaseTime);
  cr_assert_eq(Run.jobRecords(), 0U);
}

Test(pool_cancelled_submissions, marks_of_a_while_share_a_lease) {
  CancelMarks Marks;
  TimePoint Now{100s};
  cr_assert_not(Marks.lease(Now).has_value());
  Marks.leaseGranted(StoreLeaseId(5), CancelMarks::LeaseTime, Now);
  TimePoint Last = Now + CancelMarks::LeaseReuse;
  cr_assert(Marks.lease(Last - 1ms) == StoreLeaseId(5));
  cr_assert_not(Marks.lease(Last).has_value());
  Marks.leaseGranted(StoreLeaseId(6), CancelMarks::LeaseTime, Last);
  Marks.leaseGone(StoreLeaseId(5));
  cr_assert(Marks.lease(Last) == StoreLeaseId(6));
  Marks.leaseGone(StoreLeaseId(6));
  cr_assert_not(Marks.lease(Last).has_value());
}
