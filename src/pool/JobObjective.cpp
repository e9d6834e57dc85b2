/// \file
/// Implements the objective of a job.
#include "pool/JobObjective.h"

#include "pool/JobSpec.h"

#include <algorithm>
#include <vector>

namespace banyanworks::pool {

Duration chainFrom(const JobSpec &Spec, std::uint32_t From) {
  std::vector<Duration> Longest(Spec.Steps.size(), Duration::zero());
  Duration Best{};
  for (std::uint32_t Step = From; Step < Spec.Steps.size(); ++Step) {
    Duration Before{};
    bool Reached = Step == From;
    for (std::uint32_t Earlier : Spec.Steps[Step].After) {
      if (Earlier < From || Longest[Earlier] == Duration::zero())
        continue;
      Reached = true;
      Before = std::max(Before, Longest[Earlier]);
    }
    if (!Reached)
      continue;
    Longest[Step] = Before + std::max(Spec.Steps[Step].Estimate, Duration(1));
    Best = std::max(Best, Longest[Step]);
  }
  return Best;
}

Duration longestChain(const JobSpec &Spec) {
  Duration Longest{};
  for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step)
    if (Spec.Steps[Step].After.empty())
      Longest = std::max(Longest, chainFrom(Spec, Step));
  return Longest;
}

Duration objectiveOf(Duration Chain, const QueueTerms &Terms) {
  return scaled(Chain, Terms.Stretch) + Terms.Slack;
}

} // namespace banyanworks::pool
