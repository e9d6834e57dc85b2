/// \file
/// Implements which orders of a PoolScheduler are due: to start, to stop and to
/// change a pace.
#include "pool/PoolScheduler.h"

#include <utility>

namespace banyanworks::pool {

bool PoolScheduler::mayOrder(const Slot &On, const Job &Owner) const {
  return On.Listed && !On.Info.Draining && !isFinal(Owner.Status) &&
         !DomainsOut.contains(On.Info.Domain);
}

void PoolScheduler::orderStarts(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : Ordering) {
    Slot &On = Slots.at(Id);
    for (auto At = On.Runs.begin(); At != On.Runs.end();) {
      auto Current = At++;
      PlacedRun &Run = Current->second;
      if (Run.StopWanted || Run.OrderOut || Now < Run.NextOrder ||
          Run.Phase > RunPhase::Ordered)
        continue;
      const TaskKey &Task = Current->first.first;
      GroupRef Ref = find(Task);
      if (!Ref.Group || Ref.Owner->Committed < Run.PlannedVersion)
        continue;
      if (!mayOrder(On, *Ref.Owner)) {
        abort(*Ref.Owner, *Ref.Group, "worker_not_eligible");
        // Members on this worker may be gone; look at the rest next turn.
        break;
      }
      std::string Ticket;
      if (Ref.Owner->Terms->Advice) {
        const std::string *Held =
            Advice.ticket({Task.Job, Task.Occurrence, Task.Step}, On.Info, Now);
        if (!Held) {
          abort(*Ref.Owner, *Ref.Group, "ticket_over");
          break;
        }
        Ticket = *Held;
      }
      if (Run.Phase == RunPhase::Planned) {
        Run.Phase = RunPhase::Ordered;
        Run.OrderedAt = Now;
      }
      Run.OrderOut = true;
      Orders.Starts.push_back({Id, Task, Current->first.second,
                               Ref.Owner->Spec.Program, Ref.Group->Checkpoint,
                               std::move(Ticket)});
    }
  }
}

void PoolScheduler::orderStops(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : Ordering) {
    Slot &On = Slots.at(Id);
    for (auto &[Key, Run] : On.Runs) {
      if (!Run.StopWanted || Run.OrderOut || Run.StopConfirmedAt ||
          Now < Run.NextOrder || On.Info.Address.empty())
        continue;
      Run.OrderOut = true;
      Orders.Stops.push_back({Id, Key.first, Key.second});
    }
  }
}

void PoolScheduler::orderPaces(PoolOrders &Orders, TimePoint Now) {
  for (const WorkerId &Id : Filled) {
    Slot &On = Slots.at(Id);
    for (auto &[Key, Run] : On.Runs) {
      if (Run.PacePercent == On.Filling.percent() || Run.PaceOut ||
          Run.StopWanted || Run.Phase != RunPhase::Confirmed ||
          Now < Run.NextPace || On.Info.Address.empty())
        continue;
      GroupRef Ref = find(Key.first);
      if (!Ref.Group || !Ref.Owner->Spec.Steps[Key.first.Step].FillsIdle)
        continue;
      Run.PaceOut = true;
      Orders.Paces.push_back({Id, Key.first, Key.second, On.Filling.percent()});
    }
  }
}

bool PoolScheduler::idleFor(const Slot &On, const StepSpec &Filler) const {
  std::int64_t Idle = On.Info.Capacity.MilliCores - On.Used.MilliCores;
  for (const auto &Entry : On.Runs) {
    auto Owner = Jobs.find(Entry.first.first.Job);
    if (Owner == Jobs.end())
      continue;
    const StepSpec &Step = Owner->second.Spec.Steps[Entry.first.first.Step];
    if (Step.serves())
      return false;
    if (Step.FillsIdle)
      Idle -= Step.PerTask.MilliCores;
  }
  return Idle >= Filler.PerTask.MilliCores;
}

void PoolScheduler::giveUpGangs(TimePoint Now) {
  for (const WorkerId &Id : Ordering) {
    Slot &On = Slots.at(Id);
    for (auto At = On.Runs.begin(); At != On.Runs.end(); ++At) {
      const PlacedRun &Run = At->second;
      if (Run.Phase != RunPhase::Ordered || Run.StopWanted ||
          Now < Run.OrderedAt + Limits.GangStartLimit)
        continue;
      GroupRef Ref = find(At->first.first);
      if (!Ref.Group || Ref.Group->Members == 1)
        continue;
      abort(*Ref.Owner, *Ref.Group, "gang_incomplete");
    }
  }
}

} // namespace banyanworks::pool
