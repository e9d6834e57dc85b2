/// \file
/// Implements what a PoolScheduler tells of its load.
#include "pool/PoolScheduler.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// The largest share that \p Some is of \p Whole in any resource.
double dominantShare(const Resources &Some, const Resources &Whole) {
  auto Share = [](std::int64_t Part, std::int64_t All) {
    return All > 0 ? static_cast<double>(Part) / static_cast<double>(All) : 0.0;
  };
  return std::max({Share(Some.MilliCores, Whole.MilliCores),
                   Share(Some.MemoryMiB, Whole.MemoryMiB),
                   Share(Some.Accelerators, Whole.Accelerators)});
}

} // namespace

PoolLoad PoolScheduler::load(TimePoint Now) {
  std::map<ServiceId, Resources> Usable;
  std::map<ServiceId, Resources> Urgent;
  for (const auto &[Id, On] : Workers) {
    if (!On.Listed || On.Info.Draining || DomainsOut.contains(On.Info.Domain))
      continue;
    Usable[On.Info.Service] += On.Info.Capacity;
    for (const auto &[Key, Run] : On.Runs) {
      GroupRef Ref = findGroup(Key.first);
      if (Ref.Group && Ref.Owner->Terms->Priority == 0)
        Urgent[On.Info.Service] += Run.Allocated;
    }
  }
  PoolLoad Result;
  for (const auto &[Service, Whole] : Usable)
    Result.Services[Service].UrgentShare =
        dominantShare(Urgent[Service], Whole);
  for (auto &[Id, Each] : Jobs) {
    if (isFinal(Each.Status) || Each.Spec.scheduled())
      continue;
    const QueueTerms &Terms = *Each.Terms;
    auto Whole = Usable.find(Terms.Service);
    if (Whole == Usable.end())
      continue;
    Duration Work{};
    for (const TaskGroup &Group : Each.Progress.groups()) {
      const StepSpec &Step = Each.Spec.Steps[Group.Step];
      if (Group.State == GroupState::Done || Step.LongRunning || Step.FillsIdle)
        continue;
      const PlacedRun *Run =
          Group.State == GroupState::Active ? runOf(Each, Group, 0) : nullptr;
      Duration Left = Run ? remaining({Group.task(Id, 0), Group.Run}, *Run, Now)
                          : Step.Estimate;
      Work += scaled(Left,
                     dominantShare(Step.held(), Whole->second) * Group.Members);
    }
    Result.Services[Terms.Service].Work[Terms.Priority] += Work;
  }
  return Result;
}

} // namespace banyanworks::pool
