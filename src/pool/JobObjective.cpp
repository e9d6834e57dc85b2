/// \file
/// Implements the computation of a job's objective.
#include "pool/JobObjective.h"

#include "pool/JobSpec.h"

#include <algorithm>
#include <vector>

namespace banyanworks::pool {

Duration criticalPathFrom(const JobSpec &Spec, std::uint32_t FirstStep) {
  std::vector<Duration> LongestPaths(Spec.Steps.size(), Duration::zero());
  Duration Result{};
  for (std::uint32_t Step = FirstStep; Step < Spec.Steps.size(); ++Step) {
    Duration LongestBefore{};
    bool Reached = Step == FirstStep;
    for (std::uint32_t Earlier : Spec.Steps[Step].After) {
      if (Earlier < FirstStep || LongestPaths[Earlier] == Duration::zero())
        continue;
      Reached = true;
      LongestBefore = std::max(LongestBefore, LongestPaths[Earlier]);
    }
    if (!Reached)
      continue;
    LongestPaths[Step] =
        LongestBefore + std::max(Spec.Steps[Step].Estimate, Duration(1));
    Result = std::max(Result, LongestPaths[Step]);
  }
  return Result;
}

Duration criticalPath(const JobSpec &Spec) {
  Duration LongestPath{};
  for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step)
    if (Spec.Steps[Step].After.empty())
      LongestPath = std::max(LongestPath, criticalPathFrom(Spec, Step));
  return LongestPath;
}

Duration objectiveOf(Duration CriticalPath, const QueueTerms &Terms) {
  return scaled(CriticalPath, Terms.Stretch) + Terms.Slack;
}

} // namespace banyanworks::pool
