/// \file
/// Implements the load report of a PoolScheduler.
#include "pool/JobWork.h"
#include "pool/PoolScheduler.h"

namespace banyanworks::pool {

PoolLoad PoolScheduler::load(TimePoint Now) {
  std::map<ServiceId, Resources> Usable;
  std::map<ServiceId, Resources> Urgent;
  for (const auto &[Id, Worker] : Workers) {
    if (!Worker.Listed || Worker.Info.Draining ||
        DomainsOutOfService.contains(Worker.Info.Domain))
      continue;
    Usable[Worker.Info.Service] += Worker.Info.Capacity;
    for (const auto &[Key, Run] : Worker.Runs) {
      GroupRef Ref = findGroup(Key.first);
      if (Ref.Group && Ref.Owner->Terms->Priority == 0)
        Urgent[Worker.Info.Service] += Run.Allocated;
    }
  }
  PoolLoad Result;
  for (const auto &[Service, Total] : Usable) {
    Result.Services[Service].Usable = Total;
    Result.Services[Service].UrgentShare =
        dominantShare(Urgent[Service], Total);
  }
  for (auto &[Id, Owner] : Jobs) {
    if (isFinal(Owner.Status) || Owner.Spec.isScheduled())
      continue;
    const QueueTerms &Terms = *Owner.Terms;
    auto Total = Usable.find(Terms.Service);
    if (Total == Usable.end())
      continue;
    Duration Work{};
    for (const TaskGroup &Group : Owner.Progress.groups()) {
      const StepSpec &Step = Owner.Spec.Steps[Group.Step];
      if (Group.State == GroupState::Done || Step.LongRunning || Step.FillsIdle)
        continue;
      const PlacedRun *Run =
          Group.State == GroupState::Active ? runOf(Owner, Group, 0) : nullptr;
      Duration RemainingTime =
          Run ? remaining({Group.task(Id, 0), Group.Run}, *Run, Now)
              : Step.Estimate;
      Work += stepWork(Step, Group.Members, RemainingTime, Total->second);
    }
    Result.Services[Terms.Service].Work[Terms.Priority] += Work;
  }
  return Result;
}

} // namespace banyanworks::pool
