/// \file
/// Steps of advised queues run only where the adviser allows it, with tickets
/// that hold.
#include "support/FakeAdviser.h"
#include "support/PoolWorld.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

/// A pool of sixteen workers whose only queue is advised.
struct AdvisedWorld {
  PoolWorld World{1, 1, 2};
  FakeAdviser Policy{World.Clock};

  AdvisedWorld() {
    for (QueueSpec &Queue : World.Configuration.Queues)
      Queue.Terms.Advice = AdviceTerms{20ms, 2ms};
    World.daemon(0).Owner->configure(World.Configuration);
    World.daemon(0).Owner->useAdviser(Policy);
    World.Pool.AcceptsTicket = [this](const StartOrder &Order) {
      return Policy.accepts(Order);
    };
    World.run(2s);
  }
};

} // namespace

Test(pool_advice, tasks_run_only_on_allowed_workers) {
  AdvisedWorld Advised;
  WorkerId Only = Advised.World.Pool.ids().at(5);
  Advised.Policy.Allows = [&](const WorkerId &Id) { return Id == Only; };
  Advised.World.submit(0, Advised.World.job(1, 4, 2, false, 2s));
  Advised.World.run(1s);
  cr_assert_eq(Advised.World.Pool.runningOn(Only), 4);
  Advised.World.run(3s);
  cr_assert(Advised.World.shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Advised.World.Pool.ticketsRefused(), 0);
}

Test(pool_advice, gang_starts_whole_on_allowed_workers) {
  AdvisedWorld Advised;
  std::set<WorkerId> Allowed;
  for (const WorkerId &Id : Advised.World.Pool.ids())
    if (Allowed.size() < 6)
      Allowed.insert(Id);
  Advised.Policy.Allows = [&](const WorkerId &Id) {
    return Allowed.contains(Id);
  };
  Advised.World.submit(0, Advised.World.job(1, 6, 8, true, 1s));
  Advised.World.run(4s);
  cr_assert(Advised.World.shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Advised.World.Pool.starts(), 6);
  cr_assert_eq(Advised.World.Pool.alone(), 0);
}

Test(pool_advice, ticket_that_ran_out_is_asked_for_again) {
  AdvisedWorld Advised;
  Advised.Policy.Validity = 500ms;
  // Twice what the pool takes: the second half starts after a task's time.
  Advised.World.submit(0, Advised.World.job(1, 32, 8, false, 2s));
  Advised.World.run(7s);
  cr_assert(Advised.World.shown(JobId(1)) == JobStatus::Completed);
  cr_assert_eq(Advised.World.Pool.ticketsRefused(), 0);
}

Test(pool_advice, ticket_ends_with_the_life_of_its_worker) {
  AdviceCache Book;
  PoolWorker Worker;
  Worker.Id = WorkerId("w");
  Worker.Life = Incarnation(7);
  StepKey Step{JobId(1), 0, 0};
  TimePoint Now{10s};
  AdviceAnswer Answer{true, {{Worker.Id, "t"}}, 3s};
  Book.recordResponse({Step, {{Worker.Id, Worker.Life}}, {}}, Answer, Now);
  cr_assert(Book.ticket(Step, Worker, Now + 2s));
  cr_assert_not(Book.mayAsk(Step, Worker, Now + 2s));
  cr_assert_not(Book.ticket(Step, Worker, Now + 3s));
  Worker.Life = Incarnation(8);
  cr_assert_not(Book.ticket(Step, Worker, Now + 2s));
  cr_assert(Book.mayAsk(Step, Worker, Now + 2s));
  Book.eraseJob(JobId(1));
  cr_assert(Book.mayAsk(Step, Worker, Now + 2s));
}

Test(pool_advice, worker_that_is_not_allowed_is_not_asked_about_again) {
  AdviceCache Book;
  PoolWorker Worker;
  Worker.Id = WorkerId("w");
  StepKey Step{JobId(1), 0, 0};
  Book.recordResponse({Step, {{Worker.Id, Worker.Life}}, {}}, {true, {}, 3s},
                      TimePoint{10s});
  cr_assert_not(Book.mayAsk(Step, Worker, TimePoint{60s}));
}

Test(pool_advice, one_question_at_a_time_and_again_after_silence) {
  AdvisedWorld Advised;
  Advised.Policy.Silent = true;
  for (std::uint64_t Id = 1; Id <= 5; ++Id)
    Advised.World.submit(0, Advised.World.job(Id, 2, 1, false, 1s));
  Advised.World.run(5s);
  cr_assert_eq(Advised.World.Pool.starts(), 0);
  cr_assert_gt(Advised.Policy.asked(), 1U);
  Advised.Policy.Silent = false;
  Advised.World.run(4s);
  for (std::uint64_t Id = 1; Id <= 5; ++Id)
    cr_assert(Advised.World.shown(JobId(Id)) == JobStatus::Completed);
  cr_assert_eq(Advised.Policy.mostAtOnce(), 1U);
}
