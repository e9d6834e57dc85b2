/// \file
/// Implements the computation of a job's objective.
#include "pool/JobObjective.h"

#include "pool/JobSpec.h"

#include <algorithm>
#include <vector>

namespace banyanworks::pool {

Duration criticalPathFrom(const JobSpec &Spec, std::uint32_t From) {
  std::vector<Duration> Longest(Spec.Steps.size(), Duration::zero());
  Duration Result{};
  for (std::uint32_t Step = From; Step < Spec.Steps.size(); ++Step) {
    Duration LongestBefore{};
    bool Reached = Step == From;
    for (std::uint32_t Earlier : Spec.Steps[Step].After) {
      if (Earlier < From || Longest[Earlier] == Duration::zero())
        continue;
      Reached = true;
      LongestBefore = std::max(LongestBefore, Longest[Earlier]);
    }
    if (!Reached)
      continue;
    Longest[Step] =
        LongestBefore + std::max(Spec.Steps[Step].Estimate, Duration(1));
    Result = std::max(Result, Longest[Step]);
  }
  return Result;
}

Duration criticalPath(const JobSpec &Spec) {
  Duration Longest{};
  for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step)
    if (Spec.Steps[Step].After.empty())
      Longest = std::max(Longest, criticalPathFrom(Spec, Step));
  return Longest;
}

Duration objectiveOf(Duration CriticalPath, const QueueTerms &Terms) {
  return scaled(CriticalPath, Terms.Stretch) + Terms.Slack;
}

} // namespace banyanworks::pool
