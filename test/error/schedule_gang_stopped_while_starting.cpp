/// \file
/// A gang whose members end before their start was answered did not succeed.
#include "jobs/GangStateMachine.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const JobSpec> oneMember() {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(7);
  return Spec;
}

GangEnd endAfter(TaskEnd Word) {
  SchedulerSettings Settings;
  std::vector<JobAction> Actions;
  GangContext Context{TimePoint(1s), Epoch(1), Settings, TimePoint(1h),
                      Actions};
  WorkerId Worker("worker");
  GangStateMachine Gang(oneMember(), 1, {MemberPlacement{Worker, 1}});
  Gang.begin(Context);
  TaskId Task{JobId(7), 1, 0};
  Gang.onHoldAnswered(Context, HoldAnswered{Task, Worker, OrderResult::Done});
  Gang.onTaskEnded(Context, TaskEnded{Task, Worker, Word, {}});
  cr_assert(Gang.ended());
  return Gang.end();
}

} // namespace

Test(schedule_gang_stopped_while_starting, stopped_is_lost) {
  cr_assert_eq(endAfter(TaskEnd::Stopped), GangEnd::Lost);
}

Test(schedule_gang_stopped_while_starting, failed_is_failed) {
  cr_assert_eq(endAfter(TaskEnd::Failed), GangEnd::Failed);
}

Test(schedule_gang_stopped_while_starting, succeeded_is_succeeded) {
  cr_assert_eq(endAfter(TaskEnd::Succeeded), GangEnd::Succeeded);
}
