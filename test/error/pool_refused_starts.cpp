/// \file
/// Workers are lost before they carry out a start order. Guards against a task
/// that is blamed for the crash of a worker on which it never started.
#include "pool/JobProgress.h"
#include "pool/StartEvidence.h"
#include "support/ScriptedPool.h"

#include <criterion/criterion.h>

#include <string>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// A pool in which one worker after another is lost around the start of the
/// same task.
struct RefusedStarts : ScriptedPool {
  static constexpr Resources PerTask{1000, 1024, 1};
  int Listed = 0;
  WorkerId Current;

  RefusedStarts() { submit(1, PerTask); }

  void answerRenewal(OrderResult Result) {
    WorkerReport Report;
    Report.Result = Result;
    Scheduler.workerReported(Current, Report, Now, Now);
  }

  /// Orders the task on a new worker.
  StartOrder order() {
    Now += 5s;
    Current = WorkerId("w" + std::to_string(++Listed));
    list(Current);
    report(Current);
    std::vector<StartOrder> Orders = starts();
    cr_assert_eq(Orders.size(), 1U);
    return Orders.front();
  }

  std::size_t losses() const { return Log.count("task.lost_worker"); }
  std::size_t given() const { return Log.count("task.given_up"); }
};

} // namespace

Test(pool_refused_starts, only_an_order_that_may_have_arrived_starts_a_run) {
  StartEvidence Evidence;
  TimePoint Now{100s};
  cr_assert_not(Evidence.mayHaveStarted());
  Evidence.ordered(Now);
  cr_assert(Evidence.mayHaveStarted());
  cr_assert(Evidence.isOpen(Now + 800ms));
  cr_assert_not(Evidence.isOpen(Now + StartEvidence::AnswerTime));
  for (OrderResult Refusal :
       {OrderResult::NotSent, OrderResult::OtherIncarnation,
        OrderResult::NoCapacity, OrderResult::Unhealthy, OrderResult::Expired,
        OrderResult::NoTicket, OrderResult::Malformed, OrderResult::Fenced}) {
    Evidence.ordered(Now);
    Evidence.answered(Refusal);
    cr_assert_not(Evidence.mayHaveStarted());
  }
  // A refused copy tells nothing of the copy before it.
  Evidence.ordered(Now);
  Evidence.answered(OrderResult::NoAnswer);
  Evidence.ordered(Now);
  Evidence.answered(OrderResult::OtherIncarnation);
  cr_assert(Evidence.mayHaveStarted());
  cr_assert_not(Evidence.isOpen(Now));
}

// A job was shown as failed that no worker had ever started.
Test(pool_refused_starts, task_is_given_up_that_replaced_workers_refused) {
  RefusedStarts Pool;
  for (int Lost = 0; Lost < 6; ++Lost) {
    StartOrder Start = Pool.order();
    Pool.Scheduler.startAnswered(Start, OrderResult::OtherIncarnation,
                                 Pool.Now);
    Pool.answerRenewal(OrderResult::OtherIncarnation);
    cr_assert_eq(Pool.losses(), 0U);
    cr_assert_eq(Pool.given(), 0U);
  }
}

// The same where nothing of the order was sent, as with a closed port.
Test(pool_refused_starts, task_is_given_up_that_no_worker_has_received) {
  RefusedStarts Pool;
  for (int Lost = 0; Lost < 6; ++Lost) {
    StartOrder Start = Pool.order();
    Pool.Scheduler.startAnswered(Start, OrderResult::NotSent, Pool.Now);
    // No run waits for the worker, but it is asked until it answers.
    auto State = Pool.Scheduler.renewalState(Pool.Current);
    cr_assert(State && State->Unresponsive && !State->HoldsRuns);
    Pool.answerRenewal(OrderResult::OtherIncarnation);
  }
  cr_assert_eq(Pool.losses(), 0U);
  cr_assert_eq(Pool.given(), 0U);
}

// The renewal finds another incarnation before the start order is answered.
Test(pool_refused_starts, worker_is_found_replaced_while_an_order_is_awaited) {
  RefusedStarts Pool;
  for (int Lost = 0; Lost < 6; ++Lost) {
    StartOrder Start = Pool.order();
    Pool.answerRenewal(OrderResult::OtherIncarnation);
    Pool.Scheduler.startAnswered(Start, OrderResult::OtherIncarnation,
                                 Pool.Now);
    Pool.answerRenewal(OrderResult::OtherIncarnation);
  }
  cr_assert_eq(Pool.losses(), 0U);
  cr_assert_eq(Pool.given(), 0U);
}

// A task that crashes its workers before they answer is still given up.
Test(pool_refused_starts, unanswered_starts_on_replaced_workers_still_count) {
  RefusedStarts Pool;
  for (std::size_t Lost = 1; Lost <= 3; ++Lost) {
    StartOrder Start = Pool.order();
    Pool.Scheduler.startAnswered(Start, OrderResult::NoAnswer, Pool.Now);
    Pool.answerRenewal(OrderResult::OtherIncarnation);
    cr_assert_eq(Pool.losses(), Lost);
  }
  cr_assert_eq(Pool.given(), 1U);
}

// A gang is aborted as a whole, and only its other members have to be stopped.
Test(pool_refused_starts, gang_with_a_refused_member_starts_again) {
  ScriptedPool Pool;
  for (const char *Name : {"w1", "w2"}) {
    Pool.list(WorkerId(Name));
    Pool.report(WorkerId(Name));
  }
  pool::JobSpec Gang = Pool.job(1, ScriptedPool::WholeWorker);
  Gang.Steps.front().Tasks = 2;
  Gang.Steps.front().Gang = true;
  Pool.Scheduler.submit(Gang, JobStatus::Queued);
  std::vector<StartOrder> Orders = Pool.starts();
  cr_assert_eq(Orders.size(), 2U);
  Pool.Scheduler.startAnswered(Orders[0], OrderResult::Done, Pool.Now);
  Pool.Scheduler.startAnswered(Orders[1], OrderResult::OtherIncarnation,
                               Pool.Now);
  std::vector<StopOrder> Stops = Pool.pass().Stops;
  cr_assert_eq(Stops.size(), 1U);
  cr_assert(Stops.front().Task == Orders[0].Task);
  Pool.Scheduler.stopAnswered(Stops.front(), OrderResult::Done, Pool.Now);
  Pool.Now += 1s;
  Pool.report(Orders[0].Worker);
  Pool.list(WorkerId("w3"));
  Pool.report(WorkerId("w3"));
  cr_assert_eq(Pool.starts().size(), 2U);
  cr_assert_eq(Pool.Log.count("task.lost_worker"), 0U);
}

// Earlier versions recorded losses under orders that had done nothing.
Test(pool_refused_starts, losses_of_unknown_age_in_old_records_do_not_count) {
  ScriptedPool Pool;
  pool::JobSpec Job = Pool.job(1, RefusedStarts::PerTask);
  std::string Record = R"({"groups":[[0,0,4,0,0,""]],"losses":[)";
  for (int Number = 1; Number <= 4; ++Number) {
    std::string Digit = std::to_string(Number);
    Record.append(Number == 1 ? "" : ",")
        .append(R"([0,0,"w)")
        .append(Digit)
        .append(R"(",")")
        .append(Digit)
        .append(R"(:1",7,1,false,false,true,)")
        .append(Digit)
        .append("]");
  }
  Record.append(R"(],"lives":[[0]]})");
  auto Progress = JobProgress::decode(Job, Record);
  cr_assert(Progress.has_value());
  Pool.Scheduler.restore(Job, JobStatus::Queued, *Progress, Pool.Now);
  cr_assert_eq(Pool.Log.count("task.given_up"), 0U);
}
