/// \file
/// Implements jobWork() and dominantShare().
#include "pool/JobWork.h"

#include "pool/JobSpec.h"

#include <algorithm>

namespace banyanworks::pool {

double dominantShare(const Resources &Used, const Resources &Total) {
  auto Share = [](std::int64_t Part, std::int64_t All) {
    return All > 0 ? static_cast<double>(Part) / static_cast<double>(All) : 0.0;
  };
  return std::max({Share(Used.MilliCores, Total.MilliCores),
                   Share(Used.MemoryMiB, Total.MemoryMiB),
                   Share(Used.Accelerators, Total.Accelerators)});
}

Duration stepWork(const StepSpec &Step, std::uint32_t Tasks, Duration RunTime,
                  const Resources &Usable) {
  return scaled(RunTime,
                dominantShare(Step.allocatedResources(), Usable) * Tasks);
}

Duration jobWork(const JobSpec &Spec, const Resources &Usable) {
  Duration Work{};
  if (Spec.isScheduled())
    return Work;
  for (const StepSpec &Step : Spec.Steps)
    if (!Step.LongRunning && !Step.FillsIdle)
      Work += stepWork(Step, Step.Tasks, Step.Estimate, Usable);
  return Work;
}

} // namespace banyanworks::pool
