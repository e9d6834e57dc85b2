/// \file
/// Implements ScriptedPool.
#include "support/ScriptedPool.h"

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

ScriptedPool::ScriptedPool(const PoolLimits &Limits) : Limits(Limits) {
  QueueSpec Urgent;
  Urgent.Id = QueueId("urgent");
  Urgent.Terms.Service = ServiceId("service");
  QueueSpec Batch = Urgent;
  Batch.Id = QueueId("batch");
  Batch.Terms.Priority = 2;
  Configuration.Queues = {Urgent, Batch};
  Scheduler.configure(Configuration);
}

void ScriptedPool::list(const WorkerId &Id, const Resources &Capacity,
                        Incarnation Life) {
  PoolWorker Worker;
  Worker.Id = Id;
  Worker.Address = Id.str() + ":1";
  Worker.Service = ServiceId("service");
  Worker.Capacity = Capacity;
  Worker.WorkerIncarnation = Life;
  Scheduler.updateWorker(Worker, Now);
}

void ScriptedPool::report(const WorkerId &Id,
                          const std::vector<StartOrder> &Running,
                          Incarnation Life) {
  WorkerReport Report;
  Report.Result = OrderResult::Done;
  Report.WorkerIncarnation = Life;
  Report.MadeAt = WorkerTime(Now.time_since_epoch());
  for (const StartOrder &Order : Running)
    Report.Running.push_back({Order.Task, Order.Run, "", 10, 0});
  Scheduler.workerReported(Id, Report, Now, Now);
}

pool::JobSpec ScriptedPool::job(std::uint64_t Id, const Resources &PerTask,
                                const char *Queue) const {
  pool::JobSpec Spec;
  Spec.Id = JobId(Id);
  Spec.Queue = QueueId(Queue);
  Spec.Workspace = WorkspaceId("a");
  Spec.Terms = Configuration.findQueue(Spec.Queue)->Terms;
  Spec.AcceptedAt = Wall;
  StepSpec Step;
  Step.PerTask = PerTask;
  Step.Estimate = 10s;
  Spec.Steps = {Step};
  return Spec;
}

void ScriptedPool::submit(std::uint64_t Id, const Resources &PerTask,
                          const char *Queue) {
  Scheduler.submit(job(Id, PerTask, Queue), JobStatus::Queued);
}

void ScriptedPool::commit() {
  constexpr std::size_t Entries = 100;
  Scheduler.committed(Scheduler.changes(Entries), Now);
}

std::vector<StartOrder> ScriptedPool::starts() {
  pass();
  commit();
  return pass().Starts;
}

std::vector<StartOrder> ScriptedPool::startAll() {
  std::vector<StartOrder> Orders = starts();
  for (const StartOrder &Order : Orders)
    Scheduler.startAnswered(Order, OrderResult::Done, Now);
  return Orders;
}

} // namespace banyanworks::testing
