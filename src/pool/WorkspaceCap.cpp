/// \file
/// Implements the arithmetic of workspace caps.
#include "pool/WorkspaceCap.h"

#include "pool/JobSpec.h"
#include "pool/PoolConfiguration.h"

#include <algorithm>
#include <limits>

namespace banyanworks::pool {

Resources capWithOverage(const Resources &Cap, double Overage) {
  // Saturates, so that a cap chosen as a very large number is no overflow.
  auto Enlarged = [Overage]<typename Amount>(Amount Component) {
    double Result = static_cast<double>(Component) * (1.0 + Overage);
    return Result >= static_cast<double>(std::numeric_limits<Amount>::max())
               ? std::numeric_limits<Amount>::max()
               : static_cast<Amount>(Result);
  };
  return {Enlarged(Cap.MilliCores), Enlarged(Cap.MemoryMiB),
          Enlarged(Cap.Accelerators)};
}

std::uint32_t tasksWithinCap(const Resources &Held, const Resources &PerTask,
                             const Resources &Cap, std::uint32_t Count) {
  auto Result = static_cast<std::int64_t>(Count);
  // Divides instead of multiplying, since callers choose PerTask and Count.
  auto Limit = [&Result](std::int64_t Used, std::int64_t Needed,
                         std::int64_t Most) {
    if (Most == 0)
      return;
    if (Used > Most)
      Result = 0;
    else if (Needed > 0)
      Result = std::min(Result, (Most - Used) / Needed);
  };
  Limit(Held.MilliCores, PerTask.MilliCores, Cap.MilliCores);
  Limit(Held.MemoryMiB, PerTask.MemoryMiB, Cap.MemoryMiB);
  Limit(Held.Accelerators, PerTask.Accelerators, Cap.Accelerators);
  return static_cast<std::uint32_t>(Result);
}

bool startsTogether(const StepSpec &Step) {
  return Step.Gang && Step.Tasks > 1;
}

bool exceedsWorkspaceCap(const JobSpec &Spec,
                         const PoolConfiguration &Configuration,
                         double Overage) {
  auto Cap = Configuration.Caps.find(Spec.Workspace);
  if (Cap == Configuration.Caps.end())
    return false;
  Resources Limit = capWithOverage(Cap->second, Overage);
  return std::any_of(
      Spec.Steps.begin(), Spec.Steps.end(), [&Limit](const StepSpec &Step) {
        return startsTogether(Step) &&
               tasksWithinCap({}, Step.PerTask, Limit, Step.Tasks) < Step.Tasks;
      });
}

} // namespace banyanworks::pool
