/// \file
/// Implements the selection of start, stop and pace orders that are due.
#include "pool/PoolScheduler.h"

#include <utility>

namespace banyanworks::pool {

bool PoolScheduler::mayOrder(const WorkerState &Worker,
                             const Job &Owner) const {
  return Worker.Listed && !Worker.Info.Draining && !isFinal(Owner.Status) &&
         !DomainsOutOfService.contains(Worker.Info.Domain);
}

bool PoolScheduler::fitsOnWorker(const WorkerState &Worker) {
  return Worker.Allocated.fitsIn(Worker.Info.Capacity);
}

PoolOrders PoolScheduler::dueOrders(TimePoint Now) {
  InTransit.expire(Now);
  PoolOrders Orders;
  orderStarts(Orders, Now);
  orderStops(Orders, Now);
  orderPaces(Orders, Now);
  pruneOrderSets();
  return Orders;
}

void PoolScheduler::orderStarts(PoolOrders &Orders, TimePoint Now) {
  if (!DirectoryCurrent)
    return;
  for (const WorkerId &Id : WorkersWithPendingOrders) {
    WorkerState &Worker = Workers.at(Id);
    for (auto At = Worker.Runs.begin(); At != Worker.Runs.end();) {
      auto Current = At++;
      PlacedRun &Run = Current->second;
      if (Run.StopRequested || Run.OrderInFlight || Now < Run.NextOrderAt ||
          Run.Phase > RunPhase::Ordered)
        continue;
      // The worker may have crashed under the order, and the next incarnation
      // would crash too.
      if (Run.isUnanswered() && Worker.ReportRequestedAt < *Run.UnansweredAt)
        continue;
      const TaskKey &Task = Current->first.first;
      GroupRef Ref = findGroup(Task);
      if (!Ref.Group ||
          !recordOf(*Ref.Owner, *Ref.Group).hasRecorded(Run.PlannedVersion))
        continue;
      if (!mayOrder(Worker, *Ref.Owner)) {
        abort(*Ref.Owner, *Ref.Group, "worker_not_eligible");
        // The abort may have removed runs of this worker; continue with the
        // rest in the next pass.
        break;
      }
      if (Run.Phase == RunPhase::Planned && !Worker.Life.isCurrent()) {
        abort(*Ref.Owner, *Ref.Group, causeName(LossCause::Restarted));
        break;
      }
      if (!fitsOnWorker(Worker)) {
        // A worker may hold an unanswered run already; its reports show that.
        if (Run.Phase == RunPhase::Ordered &&
            Now < Run.OrderedAt + Limits.GangStartTimeout)
          continue;
        abort(*Ref.Owner, *Ref.Group, "worker_capacity");
        break;
      }
      if (!mayOrderUnderCap(*Ref.Owner, *Ref.Group)) {
        abort(*Ref.Owner, *Ref.Group, "workspace_at_cap");
        break;
      }
      std::string Ticket;
      if (Ref.Owner->Terms->Advice) {
        const std::string *CachedTicket = Advice.ticket(
            {Task.Job, Task.Occurrence, Task.Step}, Worker.Info, Now);
        if (!CachedTicket) {
          abort(*Ref.Owner, *Ref.Group, "ticket_over");
          break;
        }
        Ticket = *CachedTicket;
      }
      if (Run.Phase == RunPhase::Planned) {
        Run.Phase = RunPhase::Ordered;
        Run.OrderedAt = Now;
      }
      Run.Life = Worker.WorkerIncarnation;
      Run.OrderInFlight = true;
      Run.Evidence.ordered(Now);
      InTransit.sent(Id, Current->first, Run.Life, Now);
      Orders.Starts.push_back({Id, Task, Current->first.second,
                               Ref.Owner->Spec.Program, Ref.Group->Checkpoint,
                               std::move(Ticket)});
    }
  }
}

void PoolScheduler::orderStops(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : WorkersWithPendingOrders) {
    WorkerState &Worker = Workers.at(Id);
    for (auto &[Key, Run] : Worker.Runs) {
      if (!Run.StopRequested || Run.OrderInFlight || Run.StopConfirmedAt ||
          Now < Run.NextOrderAt || Worker.Info.Address.empty())
        continue;
      Run.OrderInFlight = true;
      Orders.Stops.push_back({Id, Key.first, Key.second});
    }
  }
}

void PoolScheduler::orderPaces(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : BestEffortWorkers) {
    WorkerState &Worker = Workers.at(Id);
    for (auto &[Key, Run] : Worker.Runs) {
      if (Run.ConfirmedPacePercent == Worker.Throttle.percent() ||
          Run.PaceInFlight || Run.StopRequested ||
          Run.Phase != RunPhase::Confirmed || Now < Run.NextPaceAt ||
          Worker.Info.Address.empty())
        continue;
      GroupRef Ref = findGroup(Key.first);
      if (!Ref.Group || !Ref.Owner->Spec.Steps[Key.first.Step].FillsIdle)
        continue;
      Run.PaceInFlight = true;
      Orders.Paces.push_back(
          {Id, Key.first, Key.second, Worker.Throttle.percent()});
    }
  }
}

bool PoolScheduler::hasIdleCpuFor(const WorkerState &Worker,
                                  const StepSpec &BestEffortStep) const {
  std::int64_t Idle =
      Worker.Info.Capacity.MilliCores - Worker.Allocated.MilliCores;
  for (const auto &Entry : Worker.Runs) {
    auto Owner = Jobs.find(Entry.first.first.Job);
    if (Owner == Jobs.end())
      continue;
    const StepSpec &Step = Owner->second.Spec.Steps[Entry.first.first.Step];
    if (Step.servesUsers())
      return false;
    if (Step.FillsIdle)
      Idle -= Step.PerTask.MilliCores;
  }
  return Idle >= BestEffortStep.PerTask.MilliCores;
}

void PoolScheduler::abortIncompleteGangs(TimePoint Now) {
  for (const WorkerId &Id : WorkersWithPendingOrders) {
    WorkerState &Worker = Workers.at(Id);
    for (auto At = Worker.Runs.begin(); At != Worker.Runs.end();) {
      auto Current = At++;
      const PlacedRun &Run = Current->second;
      if (Run.Phase != RunPhase::Ordered || Run.StopRequested ||
          Now < Run.OrderedAt + Limits.GangStartTimeout)
        continue;
      GroupRef Ref = findGroup(Current->first.first);
      if (!Ref.Group || Ref.Group->Members == 1)
        continue;
      abort(*Ref.Owner, *Ref.Group, "gang_incomplete");
      // The abort may have removed other runs of this worker.
      break;
    }
  }
}

} // namespace banyanworks::pool
